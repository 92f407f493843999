import { describe, expect, it } from 'vitest';

import { createPeerLoads } from '../../src/app/gateway/peer-loads';
import { createSlotAdmission } from '../../src/app/gateway/slot-admission';
import type { GroupCandidate } from '../../src/core/gateway/balance';
import { brandAs, later } from '../../src/core/ids';
import type { EpochTime, ZoneId } from '../../src/core/ids';
import { at, instance, makeContext, SMALL } from './support';

function setUp() {
  let now = at(0);
  const clock = { now: () => now, epoch: () => brandAs<EpochTime>(0) };
  const ctx = makeContext({ clock });
  return {
    rooms: createSlotAdmission(ctx),
    loads: createPeerLoads(ctx),
    pass: (ms: number): void => {
      now = later(now, ms);
    },
  };
}

function group(id: string, freePlaces: number): GroupCandidate {
  return {
    ...{ head: instance(id), zone: brandAs<ZoneId>('a'), running: 0, batchSize: 18 },
    ...{
      freeCapacity: freePlaces,
      freeSlots: freePlaces,
      pendingPrefill: 0,
      maxPendingPrefill: 9_000,
      slowdown: 1,
      isTried: false,
    },
  };
}

const GROUPS = [group('1', 6), group('2', 0)];
const LOCAL = { waiting: 4, perSecond: 20 };
/** Far more on the other daemons than there is room for. */
const BURST = { local: LOCAL, remote: { waiting: 4, perSecond: 20 }, slackMs: 200 };
/** Few that can be on time, and a backlog of late ones. */
const BACKLOG = {
  local: { waiting: 40, perSecond: 1 },
  remote: { waiting: 0, perSecond: 1 },
  slackMs: 200,
};

describe('the room that a daemon may use', () => {
  const heads = (groups: readonly GroupCandidate[]) => groups.map(({ head }) => head);

  it('is what it was granted, less what it took, and the places that its streams gave back', () => {
    const { rooms } = setUp();
    rooms.noteLoads(400);
    const admit = () => heads(rooms.admit(SMALL, GROUPS, { ...BURST, isLate: false }).groups);
    expect(admit()).toEqual(['1']);
    expect(rooms.grantedSlots(instance('1'))).toBe(3);
    for (let n = 0; n < 3; n++) rooms.noteSent(instance('1'));
    expect(admit()).toEqual([]);
    rooms.noteSlotFreed(instance('2'));
    expect(admit()).toEqual(['2']);
  });

  it('is granted anew only once loads show what was sent since', () => {
    const { rooms, pass } = setUp();
    rooms.noteLoads(400);
    rooms.admit(SMALL, GROUPS, { ...BURST, isLate: false });
    rooms.noteSent(instance('1'));
    pass(200);
    rooms.noteLoads(400);
    expect(rooms.grantedSlots(instance('1'))).toBe(2);
    pass(200);
    rooms.noteLoads(400);
    expect(rooms.grantedSlots(instance('1'))).toBe(0);
  });

  it('is none for late requests while others can be on time, and some of what these leave', () => {
    const { rooms } = setUp();
    rooms.noteLoads(400);
    expect(rooms.admit(SMALL, GROUPS, { ...BURST, isLate: true }).groups).toEqual([]);
    const { rooms: other } = setUp();
    other.noteLoads(400);
    let sent = 0;
    for (let n = 0; n < 20; n++) {
      const { groups, noteSent } = other.admit(SMALL, GROUPS, { ...BACKLOG, isLate: true });
      if (groups.length === 0) continue;
      noteSent();
      sent += 1;
    }
    expect(sent).toBeGreaterThanOrEqual(4);
    expect(sent).toBeLessThanOrEqual(6);
  });
});

describe('the loads of the other daemons', () => {
  const sums = (running: number) => ({
    running: [[instance('1'), running, 0] as [ReturnType<typeof instance>, number, number]],
    paces: [],
    waiting: [],
  });

  it('are those last summed by a leader, while there is none', () => {
    const { loads, pass } = setUp();
    loads.apply(sums(12), { coversMost: true, isLeaderless: false });
    pass(8_000);
    expect(loads.apply(sums(1), { coversMost: false, isLeaderless: true })).toBe(false);
    expect(loads.running(instance('1'))).toBe(12);
    expect(loads.areFresh()).toBe(false);
  });

  it('are those of the peers that are heard, where no leader summed them for long', () => {
    const { loads, pass } = setUp();
    loads.apply(sums(12), { coversMost: true, isLeaderless: false });
    pass(15_000);
    expect(loads.apply(sums(1), { coversMost: false, isLeaderless: true })).toBe(true);
    expect(loads.running(instance('1'))).toBe(1);
  });

  it('are what a leader tells, also of few daemons: the others are lost', () => {
    const { loads } = setUp();
    loads.apply(sums(12), { coversMost: true, isLeaderless: false });
    loads.apply(sums(2), { coversMost: false, isLeaderless: false });
    expect(loads.running(instance('1'))).toBe(2);
  });
});

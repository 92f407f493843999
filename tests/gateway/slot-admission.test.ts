import { describe, expect, it } from 'vitest';

import { createPeerLoads } from '../../src/app/gateway/peer-loads';
import { createSlotAdmission } from '../../src/app/gateway/slot-admission';
import { listEligible } from '../../src/core/gateway/balance';
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
/** The other daemons have far more requests than there are free slots. */
const OVERLOAD = { local: LOCAL, remote: { waiting: 4, perSecond: 20 }, slackMs: 200 };
/** Few requests that can be on time, and a backlog of late ones. */
const BACKLOG = {
  local: { waiting: 40, perSecond: 1 },
  remote: { waiting: 0, perSecond: 1 },
  slackMs: 200,
};

describe('the slots that a daemon may use', () => {
  const heads = (groups: readonly GroupCandidate[]) => groups.map(({ head }) => head);

  // Guards against senders of a cold server that divide their own requests among all daemons, so
  // that hardly any is sent while callers wait.
  it.each([
    { isLate: false, offered: OVERLOAD },
    { isLate: true, offered: OVERLOAD },
  ])('include all of its own part of a limit (late: $isLate)', ({ isLate, offered }) => {
    const { rooms: admission } = setUp();
    admission.noteLoads(400);
    const own = { ...group('3', 1), isOwnShare: true };
    const remote = { waiting: 400, perSecond: 200 };
    const admit = () => admission.admit(SMALL, [own], { ...offered, remote, isLate });
    expect(heads(admit().groups)).toEqual(['3']);
    admit().noteSent();
    expect(heads(admit().groups)).toEqual(['3']);
    const eligible = listEligible(admit().groups, (head) => admission.grantedSlots(head), 100);
    expect(heads(eligible)).toEqual(['3']);
  });

  // Guards against idle tokens of a cold server: no other daemon may use them, so more urgent
  // requests elsewhere gain nothing from them.
  it('include its own part of a limit although more urgent requests need all slots', () => {
    const { rooms: admission } = setUp();
    const own = { ...group('3', 1), isOwnShare: true };
    const urgent = [{ priority: 0, waiting: 400, perSecond: 2_000 }];
    const rank = { priority: 1, urgent, lessUrgent: [] };
    const admitted = admission.admit(SMALL, [...GROUPS, own], {
      ...{ ...OVERLOAD, rank, isLate: false },
    });
    expect(heads(admitted.groups)).toEqual(['3']);
  });

  // Guards against urgent requests that fill groups chosen from outdated loads beyond their slots,
  // while a slot that a stream of this daemon released stays empty.
  it('are first those that it has already, also for a class that has enough', () => {
    const { rooms: admission } = setUp();
    const lessUrgent = [{ priority: 2, waiting: 400, perSecond: 2_000 }];
    const load = { waiting: 0, perSecond: 1 };
    const admit = () =>
      admission.admit(SMALL, GROUPS, {
        ...{ local: load, remote: load, slackMs: 200, isLate: false },
        rank: { priority: 0, urgent: [], lessUrgent },
      });
    expect(admit().usesGrants).toBe(false);
    admission.noteSlotFreed(instance('2'));
    expect(admit()).toMatchObject({ usesGrants: true, groups: GROUPS });
  });

  it('are those granted, minus those taken, plus those released by its streams', () => {
    const { rooms: admission } = setUp();
    admission.noteLoads(400);
    const admit = () =>
      heads(admission.admit(SMALL, GROUPS, { ...OVERLOAD, isLate: false }).groups);
    expect(admit()).toEqual(['1']);
    expect(admission.grantedSlots(instance('1'))).toBe(3);
    for (let n = 0; n < 3; n++) admission.noteSent(instance('1'));
    expect(admit()).toEqual([]);
    admission.noteSlotFreed(instance('2'));
    expect(admit()).toEqual(['2']);
  });

  it('are granted again only once the loads include what was sent since', () => {
    const { rooms: admission, pass: advance } = setUp();
    admission.noteLoads(400);
    admission.admit(SMALL, GROUPS, { ...OVERLOAD, isLate: false });
    admission.noteSent(instance('1'));
    advance(200);
    admission.noteLoads(400);
    expect(admission.grantedSlots(instance('1'))).toBe(2);
    advance(200);
    admission.noteLoads(400);
    expect(admission.grantedSlots(instance('1'))).toBe(0);
  });

  it('are none for late requests while others can be on time, and part of what these leave', () => {
    const { rooms: admission } = setUp();
    admission.noteLoads(400);
    expect(admission.admit(SMALL, GROUPS, { ...OVERLOAD, isLate: true }).groups).toEqual([]);
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

  it('stay those last summed by a leader while there is none', () => {
    const { loads: peerLoads, pass: advance } = setUp();
    peerLoads.apply(sums(12), { coversMost: true, isLeaderless: false });
    advance(8_000);
    expect(peerLoads.apply(sums(1), { coversMost: false, isLeaderless: true })).toBe(false);
    expect(peerLoads.running(instance('1'))).toBe(12);
    expect(peerLoads.areFresh()).toBe(false);
  });

  it('are those of the known peers if no leader summed them for long', () => {
    const { loads: peerLoads, pass: advance } = setUp();
    peerLoads.apply(sums(12), { coversMost: true, isLeaderless: false });
    advance(15_000);
    expect(peerLoads.apply(sums(1), { coversMost: false, isLeaderless: true })).toBe(true);
    expect(peerLoads.running(instance('1'))).toBe(1);
  });

  it("are those of the leader's sum even if it covers few daemons", () => {
    const { loads: peerLoads } = setUp();
    peerLoads.apply(sums(12), { coversMost: true, isLeaderless: false });
    peerLoads.apply(sums(2), { coversMost: false, isLeaderless: false });
    expect(peerLoads.running(instance('1'))).toBe(2);
  });
});

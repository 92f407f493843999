import { describe, expect, it } from 'vitest';

import { createEngineFleet } from '../../stand-ins/users-platform/engines';
import type { EngineFleet } from '../../stand-ins/users-platform/engines';
import { collectFreeServers } from '../../src/core/gateway/forming/members';
import { createFormingState, draftOf } from '../../src/core/gateway/forming/state';
import type { OrderResult } from '../../src/core/gateway/orders';
import type { BackendServer, MemberState } from '../../src/core/gateway/types';
import type { InstanceId } from '../../src/core/ids';
import { brandAs } from '../../src/core/ids';
import type { GroupId } from '../../src/core/ids';
import { createLeader } from './leader';
import { at, ENGINE, FLEET, inGroup, LARGE, makeServer, SMALL } from './support';

/** A fleet with further entries, whose servers answer all orders with `result`. */
function withEntries(
  fleet: EngineFleet,
  entries: readonly BackendServer[],
  result: OrderResult,
): EngineFleet {
  const isOdd = (id: InstanceId): boolean => entries.some((entry) => entry.id === id);
  return {
    ...fleet,
    rows: () => new Map([...fleet.rows(), ...entries.map((entry) => [entry.id, entry] as const)]),
    take: (effect, lateMs) => (isOdd(effect.server.id) ? result : fleet.take(effect, lateMs)),
  };
}

const STATES: readonly MemberState[] = ['joining', 'ready', 'open', 'closing', 'broken'];
const LOAD = new Map([
  [LARGE, 1],
  [SMALL, 0.5],
]);
const RESULTS: readonly OrderResult[] = ['not-sent', 'unknown', 'refused'];
const CASES = [LARGE, SMALL].flatMap((model) =>
  STATES.flatMap((state) =>
    [0, 1, 7].flatMap((rank) => RESULTS.map((result) => ({ model, state, rank, result }))),
  ),
);

describe('an entry that nobody answers for, of a member of a group without others', () => {
  // Guards against a model that is not served because its servers are kept for a group that never ends.
  it.each(CASES)(
    'keeps no servers: $state, rank $rank, $result',
    ({ model, state, rank, result }) => {
      const odd = makeServer('a0', { model, ...inGroup('g', rank, state) });
      const size = model === LARGE ? 6 : 3;
      const fleet = createEngineFleet({ ...FLEET, domains: [size], hasTraffic: true });
      const leader = createLeader(withEntries(fleet, [odd], result), { hasTraffic: true });
      leader.run(30_000);
      expect(fleet.serving(LARGE) + fleet.serving(SMALL)).toBeGreaterThan(0);
      expect(fleet.violations).toEqual([]);
    },
  );

  // Guards against a group that is ended so that another model gets its servers and one that never comes.
  it('ends no group of another model', () => {
    const odd = makeServer('a0', inGroup('g', 1, 'open'));
    const fleet = createEngineFleet({ ...FLEET, domains: [5, 3], hasTraffic: true });
    const all = withEntries(fleet, [odd], 'not-sent');
    const leader = createLeader(all, { hasTraffic: true, offeredLoad: LOAD });
    leader.run(40_000);
    expect(fleet.serving(SMALL)).toBe(2);
    leader.run(10_000);
    expect(fleet.serving(SMALL)).toBe(2);
  });

  // Guards against spares that are kept for losses of servers which are not there.
  it('keeps no servers where there are many of them', () => {
    const odd = Array.from({ length: 100 }, (_, n) =>
      makeServer(`a${n}`, { model: LARGE, ...inGroup(`g${n}`, 1 + (n % 9), 'open') }),
    );
    const fleet = createEngineFleet({ ...FLEET, domains: [], hasTraffic: true });
    const leader = createLeader(withEntries(fleet, odd, 'unknown'), { hasTraffic: true });
    leader.run(3_000);
    for (let n = 0; n < 10; n++) fleet.add('d0');
    leader.run(40_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual([1, 1]);
    expect(fleet.violations).toEqual([]);
  });
});

describe('an entry that names the group of others', () => {
  // Guards against servers that join another group while the head of their own serves.
  it.each([
    { epochs: 1, rank: 1 },
    { epochs: -1, rank: 1 },
    { epochs: 1, rank: 0 },
  ])('with another epoch ($epochs, rank $rank) does not end it', ({ epochs, rank }) => {
    const fleet = createEngineFleet({ ...FLEET, domains: [11], hasTraffic: true });
    const entries: BackendServer[] = [];
    const leader = createLeader(withEntries(fleet, entries, 'done'), { hasTraffic: true });
    leader.run(40_000);
    const before = [fleet.serving(LARGE), fleet.serving(SMALL)];
    for (const { joined } of [...fleet.servers.values()])
      if (joined && joined.members.length > 1 && entries.length === 0) {
        const { group, epoch, model } = joined;
        entries.push(
          makeServer('a0', { model, ...inGroup(group, rank, 'broken', epoch + epochs) }),
        );
      }
    leader.run(30_000);
    expect([fleet.serving(LARGE), fleet.serving(SMALL)]).toEqual(before);
    expect(fleet.violations).toEqual([]);
  });

  // Guards against a server that is ordered to join another group while it may serve as the head of its own.
  it.each([
    { epoch: 7, isFree: true },
    { epoch: 8, isFree: false },
  ])('leaves its server free when that group has ended: $isFree', ({ epoch, isFree }) => {
    const server = makeServer('a0', inGroup('group-7', 0, 'open', epoch));
    const dissolved = new Map([[brandAs<GroupId>('group-7'), at(0)]]);
    const view = {
      servers: new Map([[server.id, server]]),
      ...{ lapsed: new Map(), ended: new Map(), engine: ENGINE, fencing: 1, hasTraffic: true },
    };
    const draft = draftOf({ ...createFormingState(), dissolved }, view, at(1_000));
    expect(collectFreeServers(draft).size).toBe(isFree ? 1 : 0);
  });
});

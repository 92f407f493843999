import { describe, expect, it } from 'vitest';

import { createArrivals } from '../../src/app/gateway/arrivals';
import { sumLoads, toReport, withoutOwn } from '../../src/app/gateway/loads';
import { lateQuota, shareLeft, slotAccessFor } from '../../src/core/gateway/capacity';
import { isHeldBack } from '../../src/core/gateway/priority-classes';
import { brandAs } from '../../src/core/ids';
import type { OrganisationId } from '../../src/core/ids';
import { createFleetModel, TARGET_MS } from './fleet-model';
import type { ModelRequest } from './fleet-model';
import { fakeTime } from './fake-time';
import { makeContext, makeState, SMALL } from './support';

fakeTime();

const [A, B] = [brandAs<OrganisationId>('a'), brandAs<OrganisationId>('b')];
const KINDS = [
  { priority: 0, organisation: A, share: 0.3 },
  { priority: 1, organisation: A, share: 0.4 },
  { priority: 2, organisation: B, share: 0.3 },
];
const FROM_MS = 3_000;
const UNTIL_MS = 9_000;
const DRAIN_MS = 3_000;

function runOverload(daemons: number, load: number, swing: number) {
  const fleet = createFleetModel({ daemons, groups: 15, load, swing, seed: 1, kinds: KINDS });
  fleet.run(UNTIL_MS + DRAIN_MS);
  const shares = (isCounted: (request: ModelRequest) => boolean): readonly number[] =>
    KINDS.map(({ priority }) => {
      const own = fleet.requests.filter(
        ({ kind, arrivedAt }) =>
          kind.priority === priority && arrivedAt >= FROM_MS && arrivedAt < UNTIL_MS,
      );
      return own.filter(isCounted).length / own.length;
    });
  return {
    onTime: shares(({ outcome }) => outcome === 'on time'),
    served: shares(({ outcome }) => outcome === 'on time' || outcome === 'late'),
    refusedAtOnce: shares(
      ({ arrivedAt, refusedAt = Infinity }) => refusedAt - arrivedAt <= TARGET_MS / 10,
    ),
  };
}

describe('an overloaded fleet with three priorities', () => {
  // Guards against less urgent requests at one daemon that take the slots of more urgent ones at
  // another.
  it.each([
    [7, 1.25, 0],
    [66, 1.25, 0],
    [66, 2, 0],
    [66, 1.25, 0.55],
    [122, 1.5, 0],
  ])('serves them in their order, with %i daemons at load %d, swing %d', (...run) => {
    const { onTime, served } = runOverload(...run);
    const [urgent = 0, usual = 0, last = 1] = served;
    expect(onTime[0]).toBeGreaterThan(0.93);
    expect(urgent).toBeGreaterThan(0.97);
    expect(usual).toBeGreaterThanOrEqual(last - 0.05);
  });
});

describe('requests of a class that is not served at all', () => {
  // Guards against callers who wait for a slot in vain until they give up.
  it('are refused on arrival, and none of a class that is served completely is', () => {
    const { served, refusedAtOnce } = runOverload(66, 2, 0);
    expect(refusedAtOnce[0]).toBe(0);
    expect(refusedAtOnce[2]).toBeGreaterThan(0.85 * (1 - (served[2] ?? 0)));
  });
});

describe('the slots that a less urgent class may use', () => {
  const contention = {
    freeCapacity: 20,
    local: { onTime: 2, late: 4 },
    remote: { onTime: 4, late: 0 },
  };

  it('are what more urgent requests of all daemons that can be on time leave over', () => {
    const urgent = (onTime: number, late = 0) => ({ ...contention, urgent: { onTime, late } });
    expect(shareLeft(urgent(15))).toBe(0.25);
    expect(slotAccessFor(urgent(10), false)).toBe('all');
    expect(slotAccessFor(urgent(15), false)).toBe('granted');
    expect(slotAccessFor(urgent(20), false)).toBe('none');
    expect(slotAccessFor(urgent(10, 90), false)).toBe('all');
  });

  // Guards against late requests of an urgent class that take the slots of timely less urgent ones.
  it('are for late requests what all timely and the more urgent late ones leave over', () => {
    expect(lateQuota({ ...contention, urgent: { onTime: 10, late: 2 } }, 0)).toBe(2);
    expect(lateQuota({ ...contention, lessUrgent: { onTime: 12, late: 9 } }, 0)).toBe(2);
    expect(slotAccessFor({ ...contention, lessUrgent: { onTime: 12, late: 0 } }, true)).toBe(
      'surplus',
    );
    expect(slotAccessFor({ ...contention, lessUrgent: { onTime: 10, late: 9 } }, true)).toBe('all');
  });
});

describe('a daemon without a current view of the others', () => {
  const unknown = { hasPeerLoads: false, occupancy: 0.95 };

  it('holds the less urgent half of its classes back while the groups are nearly full', () => {
    expect([0, 1, 2].map((one) => isHeldBack([0, 1, 2], one, unknown))).toEqual([
      false,
      false,
      true,
    ]);
    expect([0, 4].map((one) => isHeldBack([0, 4], one, unknown))).toEqual([false, true]);
    expect(isHeldBack([1], 1, unknown)).toBe(false);
    expect(isHeldBack([0, 4], 4, { ...unknown, hasPeerLoads: true })).toBe(false);
    expect(isHeldBack([0, 4], 4, { ...unknown, occupancy: 0.9 })).toBe(false);
  });
});

describe('the loads by priority', () => {
  // Guards against a demand for a model that leaves out all classes but the most urgent one.
  it('are those of all classes if no priority is named', () => {
    const arrivals = createArrivals(makeContext());
    for (const priority of [0, 1, 1, 2]) arrivals.note(SMALL, priority);
    expect(arrivals.rate(SMALL, 1)).toBeCloseTo(2, 0);
    expect(arrivals.rate(SMALL)).toBeCloseTo(4, 0);
  });

  const waiting = {
    waiting: () => [[SMALL, 3, 2]] as const,
    count: (_: unknown, priority?: number) => (priority === 2 ? 3 : 0),
  };
  const arrivals = {
    rates: () => [[SMALL, 1.5, 0]] as const,
    rate: (_: unknown, priority?: number) => (priority === 0 ? 1.5 : 0),
  };
  const own = makeState({ waiting: toReport(waiting, arrivals) });

  // Guards against loads of different classes that are added up, and against a class that is
  // subtracted from another one.
  it('are summed and subtracted by class, and class 0 has no field of its own', () => {
    expect(own.waiting).toEqual([
      [SMALL, 3, 0, 2],
      [SMALL, 0, 1.5],
    ]);
    const sums = sumLoads([own, own]);
    expect(sums.waiting).toEqual([
      [SMALL, 2, 6, 0, 2],
      [SMALL, 0, 0, 3],
    ]);
    expect(withoutOwn(sums, own).waiting).toEqual([
      [SMALL, 1, 3, 0, 2],
      [SMALL, 0, 0, 1.5],
    ]);
  });
});

import { describe, expect, it } from 'vitest';

import { compareWaiting } from '../../src/core/gateway/waiting-order';
import { noteServed, rankByUse } from '../../src/core/gateway/fair-order';
import type { RecentUse } from '../../src/core/gateway/fair-order';
import { brandAs } from '../../src/core/ids';
import type { OrganisationId } from '../../src/core/ids';
import { createFleetModel } from './fleet-model';
import { fakeTime } from './fake-time';
import { at } from './support';

fakeTime();

const KINDS = [
  { priority: 1, organisation: brandAs<OrganisationId>('big'), share: 0.8 },
  { priority: 1, organisation: brandAs<OrganisationId>('mid'), share: 0.15 },
  { priority: 1, organisation: brandAs<OrganisationId>('small'), share: 0.05 },
];
const [FROM_MS, UNTIL_MS, DRAIN_MS] = [3_000, 9_000, 3_000];

describe('an overloaded fleet with organisations of different size', () => {
  // Guards against a large organisation that displaces a small one: the small one was on time less
  // often than the mean.
  it.each([
    [7, 1.5],
    [66, 2],
  ])('serves the smallest at least as well as the mean, with %i daemons at load %d', (...run) => {
    const [daemons, load] = run;
    const fleet = createFleetModel({ daemons, groups: 15, load, seed: 1, kinds: KINDS });
    fleet.run(UNTIL_MS + DRAIN_MS);
    const mean = fleet.onTime(FROM_MS, UNTIL_MS);
    const shares = KINDS.map(({ organisation }) => {
      const own = fleet.requests.filter(
        ({ kind, arrivedAt }) =>
          kind.organisation === organisation && arrivedAt >= FROM_MS && arrivedAt < UNTIL_MS,
      );
      return own.filter(({ outcome }) => outcome === 'on time').length / own.length;
    });
    expect(shares.at(-1)).toBeGreaterThan(mean);
    expect(shares[0]).toBeGreaterThan(0.8 * mean);
  });
});

describe('the order among organisations', () => {
  const useOf = (requests: number): RecentUse | undefined =>
    Array.from({ length: requests }).reduce<RecentUse | undefined>(
      (use) => noteServed(use, at(0)),
      undefined,
    );
  const request = (arrivedAt: number, requests: number, more = {}) => ({
    ...{ priority: 1, arrivedAt: at(arrivedAt), onTimeUntil: at(arrivedAt + 400), holdMs: 0 },
    organisationRank: rankByUse(useOf(requests), at(0)),
    ...more,
  });

  it('puts the one that was served less first, but not before more urgent or timely requests', () => {
    expect(compareWaiting(request(100, 1), request(0, 40), at(200))).toBeLessThan(0);
    expect(
      compareWaiting(request(100, 1), request(0, 40, { priority: 0 }), at(200)),
    ).toBeGreaterThan(0);
    expect(compareWaiting(request(0, 1), request(100, 40), at(450))).toBeGreaterThan(0);
  });

  it('is that of arrival among organisations of similar use, and forgets use over time', () => {
    expect(compareWaiting(request(100, 36), request(0, 40), at(200))).toBeGreaterThan(0);
    expect(rankByUse(useOf(40), at(60_000))).toBe(0);
  });
});

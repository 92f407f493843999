import { describe, expect, it } from 'vitest';

import { createRandom } from '../../src/adapters/runtime';
import type { EngineSpec } from '../../src/core/gateway/types';
import { createEngineFleet } from '../../stand-ins/users-platform/engines';
import { createLeader } from './leader';
import { ENGINE, FLEET, LARGE, SMALL } from './support';

/** Groups of 16 servers for the large model and of four for the small one, as in the largest fleets. */
const LARGE_ENGINE: EngineSpec = {
  ...ENGINE,
  batchSize: 9,
  stepsPerPass: 10,
  loadsPerS: 73,
  loadsAtOnce: 109,
  models: [
    { name: LARGE, size: 16, pace: 1, share: 0.5, loadMs: 16_000, warmMs: 1_600 },
    { name: SMALL, size: 4, pace: 0.6, share: 0.5, loadMs: 12_000, warmMs: 1_100 },
  ],
};
const DOMAINS = Array.from({ length: 25 }, () => 35);
/** Offered load in groups: slightly over half of the groups that the servers could form. */
const OFFERED_LOAD = new Map([
  [LARGE, 13],
  [SMALL, 60],
]);

describe('875 servers, six or seven of which are lost every three seconds', () => {
  it.each([
    { orders: 'all orders answered', lateShare: 0 },
    { orders: 'a third of the orders late', lateShare: 0.35 },
  ])(
    'always have enough open groups for the load of both models: $orders',
    ({ lateShare }) => {
      const random = createRandom(5);
      const engine = LARGE_ENGINE;
      const fleet = createEngineFleet({ ...FLEET, engine, domains: DOMAINS, hasTraffic: false });
      const lateMs = (): number => (random.next() < lateShare ? 2_000 + 10_000 * random.next() : 0);
      const leader = createLeader(fleet, {
        engine,
        offeredLoad: OFFERED_LOAD,
        ...(lateShare > 0 && { lateMs }),
      });
      leader.run(16_000);
      leader.beginTraffic();
      fleet.beginTraffic();
      fleet.setLate(lateShare > 0);
      const minServing = { large: Infinity, small: Infinity };
      for (let second = 0; second < 30; second++) {
        const joined = [...fleet.servers.values()].filter(
          ({ isAlive, joined: membership }) => isAlive && (membership?.members.length ?? 0) > 1,
        );
        for (let n = 0; n < 6 + (second % 2) && second % 3 === 0; n++) {
          const victim = joined[Math.floor(random.next() * joined.length)];
          if (victim) fleet.kill(victim.id);
        }
        if (second % 3 === 1) for (let n = 0; n < 6; n++) fleet.add(`d${n * 4}`);
        leader.run(1_000);
        minServing.large = Math.min(minServing.large, fleet.serving(LARGE));
        minServing.small = Math.min(minServing.small, fleet.serving(SMALL));
      }
      expect(minServing.large).toBeGreaterThanOrEqual(OFFERED_LOAD.get(LARGE) ?? 0);
      expect(minServing.small).toBeGreaterThanOrEqual(OFFERED_LOAD.get(SMALL) ?? 0);
      expect(fleet.violations).toEqual([]);
    },
    60_000,
  );

  it('are sent orders less and less often while they do not respond', () => {
    const engine = LARGE_ENGINE;
    const fleet = createEngineFleet({ ...FLEET, engine, domains: [35, 35], hasTraffic: false });
    const leader = createLeader(fleet, { engine });
    leader.run(16_000);
    const heads = [...fleet.servers.values()].filter(({ id, joined }) => joined?.members[0] === id);
    for (const { id, joined } of heads) {
      fleet.cut(id, true);
      const member = joined?.members[1];
      if (member !== undefined) fleet.kill(member);
    }
    const before = leader.orders();
    leader.run(6_000);
    // Resent every 200 ms, there would be thirty orders to each head that does not answer.
    expect(leader.orders() - before).toBeLessThan(heads.length * 20);
    expect(fleet.violations).toEqual([]);
  });
});

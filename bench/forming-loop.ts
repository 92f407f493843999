/**
 * Simulates 90 s of servers lost and added in three domains while the group planner runs. Measures
 * the fraction of the time in which each model had the groups that its load needs.
 */

import { createRandom } from '../src/adapters/runtime';
import type { FormingMechanism } from '../src/core/gateway/forming/settings';
import { createEngineFleet } from '../stand-ins/users-platform/engines';
import { createLeader } from '../tests/gateway/leader';
import { FLEET, LARGE, SMALL } from '../tests/gateway/support';

export interface LossesOptions {
  readonly seed: number;
  readonly disabledMechanisms?: readonly FormingMechanism[];
  /** Fraction of commands that get no response and are executed 2 to 12 s late. */
  readonly lateShare?: number;
}

export interface LossesResult {
  /** Fractions of the time, 0 to 1. */
  readonly largeServed: number;
  readonly smallServed: number;
  readonly loads: number;
  readonly violations: readonly string[];
}

const SECONDS = 90;
/** Interval at which a group member is lost and a server is added to a random domain. */
const LOSS_EVERY_S = 5;
const [LATE_LEAST_MS, LATE_SPREAD_MS] = [2_000, 10_000];
/** Offered load of each model, in fully used groups. */
const WORK = new Map([
  [LARGE, 2],
  [SMALL, 1.5],
]);

export function runLosses({
  seed,
  disabledMechanisms = [],
  lateShare = 0,
}: LossesOptions): LossesResult {
  const random = createRandom(seed);
  const fleet = createEngineFleet({ ...FLEET, domains: [11, 11, 11], hasTraffic: false });
  const lateMs = (): number =>
    random.next() < lateShare ? LATE_LEAST_MS + LATE_SPREAD_MS * random.next() : 0;
  const leader = createLeader(fleet, {
    offeredLoad: WORK,
    disabledMechanisms,
    ...(lateShare > 0 && { lateMs }),
  });
  leader.run(15_000);
  leader.beginTraffic();
  fleet.beginTraffic();
  fleet.setLate(lateShare > 0);
  const loads = fleet.loads();
  const served = { large: 0, small: 0 };
  for (let second = 0; second < SECONDS; second++) {
    if (second % LOSS_EVERY_S === 0) {
      const joined = [...fleet.servers.values()].filter(
        ({ isAlive, joined: membership }) => isAlive && (membership?.members.length ?? 0) > 1,
      );
      const victim = joined[Math.floor(random.next() * joined.length)];
      if (victim) fleet.kill(victim.id);
    }
    if (second % LOSS_EVERY_S === 2) fleet.add(`d${Math.floor(random.next() * 3)}`);
    leader.run(1_000);
    if (fleet.serving(LARGE) >= 2) served.large += 1;
    if (fleet.serving(SMALL) >= 2) served.small += 1;
  }
  return {
    largeServed: served.large / SECONDS,
    smallServed: served.small / SECONDS,
    loads: fleet.loads() - loads,
    violations: fleet.violations,
  };
}

/** Ablation of the group planner's mechanisms: the same losses with all of them and without each one. */

import type { FormingMechanism } from '../src/core/gateway/forming/settings';
import { runLosses } from './forming-loop';
import { mean, summarise } from './statistics';

const MECHANISMS: readonly FormingMechanism[] = [
  'held-spares',
  'reserve',
  'wanted',
  'rebalance',
  'staged-members',
  'spares',
];
const SEEDS = Array.from({ length: 12 }, (_, i) => i + 1);
/** Fractions of commands that are late: none, and about a third. */
const LATE_SHARES = [0, 0.35];

function measure(disabledMechanisms: readonly FormingMechanism[], lateShare: number): object {
  const runs = SEEDS.map((seed) => runLosses({ seed, disabledMechanisms, lateShare }));
  return {
    without: disabledMechanisms.join(' '),
    lateShare,
    seeds: SEEDS.length,
    largeServed: summarise(runs.map(({ largeServed }) => largeServed)),
    smallServed: summarise(runs.map(({ smallServed }) => smallServed)),
    loads: mean(runs.map(({ loads }) => loads)),
    violations: runs.flatMap(({ violations }) => violations).length,
  };
}

/** One row with all mechanisms and one per omitted mechanism, for each fraction of late commands. */
export function benchForming(): readonly object[] {
  const sets: readonly (readonly FormingMechanism[])[] = [[], ...MECHANISMS.map((each) => [each])];
  return LATE_SHARES.flatMap((lateShare) => sets.map((disabled) => measure(disabled, lateShare)));
}

/** Compares routing policies with round robin and least-in-flight by time to first token. */

import type { RoutingOptions } from '../src/core/routing/types';
import { runRouting } from './routing-loop';
import type { RoutingLoopOptions, RoutingResult } from './routing-loop';
import { quantile, summarise } from './statistics';
import type { Summary } from './statistics';

const SEEDS = [1, 2, 3, 4, 5];

/** All policies, and ablations of the one in use. */
export const ROUTING_VARIANTS: Readonly<Record<string, Partial<RoutingOptions>>> = {
  'round-robin': { policy: 'round-robin' },
  'least-in-flight': { policy: 'least-in-flight' },
  'least-estimated': { policy: 'least-estimated' },
  'two-choices': { policy: 'two-choices' },
  'bounded-affinity': { policy: 'bounded-affinity' },
  affinity: { policy: 'affinity' },
  'affinity, no ejection': { policy: 'affinity', maxEjectedShare: 0 },
  'affinity, no cache belief': { policy: 'affinity', cacheBonus: 0 },
};

export const ROUTING_BASE: Omit<RoutingLoopOptions, 'routing' | 'seed'> = {
  daemons: 6,
  groups: 12,
  maxBatch: 8,
  load: 0.7,
  stragglers: 0,
  slowFactor: 4,
  reportLagMs: 500,
  prefixes: 240,
  cacheSize: 40,
  eventLagMs: 1_000,
  eventLoss: 0.1,
  endMs: 60_000,
};

export const ROUTING_SCENES: Readonly<Record<string, Partial<RoutingLoopOptions>>> = {
  even: {},
  'one straggler': { stragglers: 1 },
  'one hangs': { stragglers: 1, slowFactor: 100 },
  'stale reports': { reportLagMs: 5_000 },
  'straggler and stale reports': { stragglers: 1, reportLagMs: 5_000 },
  'no shared prefixes': { prefixes: 1_000_000 },
  'high load': { load: 0.9 },
  'many daemons': { daemons: 60 },
  'many daemons, stale reports': { daemons: 60, reportLagMs: 5_000 },
  'many daemons, straggler': { daemons: 60, stragglers: 1 },
  'large batches': { daemons: 12, maxBatch: 64, endMs: 30_000 },
  'large batches, straggler': { daemons: 12, maxBatch: 64, endMs: 30_000, stragglers: 1 },
};

export interface RoutingRow {
  readonly scene: string;
  readonly variant: string;
  /** Time to first token, milliseconds. */
  readonly medianMs: Summary;
  readonly p95Ms: Summary;
  readonly hitRate: Summary;
  readonly slowPart: Summary;
}

function row(scene: string, variant: string): RoutingRow {
  const opts = { ...ROUTING_BASE, ...ROUTING_SCENES[scene] };
  const routing = { reportLagMs: opts.reportLagMs, ...ROUTING_VARIANTS[variant] };
  const runs: readonly RoutingResult[] = SEEDS.map((seed) =>
    runRouting({ ...opts, routing, seed }),
  );
  return {
    scene,
    variant,
    medianMs: summarise(
      runs.map((run) => quantile(run.firstTokenMs, 0.5)),
      0,
    ),
    p95Ms: summarise(
      runs.map((run) => quantile(run.firstTokenMs, 0.95)),
      0,
    ),
    hitRate: summarise(runs.map((run) => run.hitRate)),
    slowPart: summarise(runs.map((run) => run.slowPart)),
  };
}

/** Measures the time to first token of each policy in each scenario, over five seeds. */
export function compareRouting(): readonly RoutingRow[] {
  return Object.keys(ROUTING_SCENES).flatMap((scene) =>
    Object.keys(ROUTING_VARIANTS).map((variant) => row(scene, variant)),
  );
}

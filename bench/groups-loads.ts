/** Compares orders of weight loads after a fabric domain lost power and all instances restart without weights. */

import type { LoadPolicy, ModelPlan } from '../src/core/groups/domain-types';
import { groupsOf } from '../src/core/groups/health';
import { policiesOf } from '../src/core/groups/policies';
import { restart } from '../tests/support/control-engine';
import { configure, createLoop, isServing, look, modelOf } from './groups-loop';
import type { Loop } from './groups-loop';

export interface LoadsBenchRow {
  readonly loads: LoadPolicy;
  /** Maximum number of members that fetch weights concurrently. */
  readonly maxLoads: number;
  /** Seconds until each model's groups serve again, summed over its groups. */
  readonly urgentDowntime: number;
  readonly bulkDowntime: number;
  /** Both sums, weighted by worth. */
  readonly cost: number;
}

const MEMBERS = 4;
const INSTANCES = 16;
const URGENT_WORTH = 10;
const SETTLE_S = 900;
const LONGEST_S = 3_600;

function plansOf(loads: LoadPolicy): readonly [bulk: ModelPlan, urgent: ModelPlan] {
  const plan = (id: string, replicas: number, downtime: number): ModelPlan => {
    const weights = { downtime, stranded: 1 };
    const policies = { ...policiesOf({ weights, policies: {} }), loads };
    return modelOf(id, { membersPerReplica: MEMBERS, replicas, weights, policies });
  };
  return [plan('bulk', 3, 1), plan('urgent', 1, URGENT_WORTH)];
}

function advance(loop: Loop, seconds: number): void {
  for (let i = 0; i < seconds; i++) {
    look(loop);
    loop.now++;
  }
}

function simulate(loads: LoadPolicy, maxLoads: number): LoadsBenchRow {
  const [bulk, urgent] = plansOf(loads);
  const loop = createLoop({ instances: INSTANCES, models: [bulk], settings: { maxLoads } });
  advance(loop, SETTLE_S);
  // The urgent model is added last, so its group is last in arrival order.
  configure(loop, [bulk, urgent]);
  advance(loop, SETTLE_S);
  for (const engine of loop.engines.values()) restart(engine, loop.now);
  const downtime = { bulk: 0, urgent: 0 };
  for (let i = 0; i < LONGEST_S; i++) {
    advance(loop, 1);
    for (const row of groupsOf(loop.state)) {
      if (!isServing(loop, row)) downtime[row.model === bulk.id ? 'bulk' : 'urgent']++;
    }
  }
  return {
    loads,
    maxLoads,
    urgentDowntime: downtime.urgent,
    bulkDowntime: downtime.bulk,
    cost: downtime.urgent * URGENT_WORTH + downtime.bulk,
  };
}

/** Measures both orders, with loads limited to one group at a time and unlimited. */
export function benchLoads(): readonly LoadsBenchRow[] {
  return (['arrival', 'value-first'] as const).flatMap((loads) =>
    [MEMBERS, INSTANCES].map((maxLoads) => simulate(loads, maxLoads)),
  );
}

/** Keeps the running totals of downtime and stranded accelerators, and hands them to the metrics. */

import { ZERO_TOTALS, addShortfall, shortfallOf } from '../../core/groups/shortfall';
import type { Shortfall, ShortfallTotals } from '../../core/groups/shortfall';
import type { DomainState } from '../../core/groups/domain-types';
import type { ModelId, MonoTime } from '../../core/ids';
import type { ControlContext } from './context';

export interface Measures {
  /** Adds what the held domains lacked since the last call. */
  add(held: readonly DomainState[]): void;
  totals(): ShortfallTotals;
}

const DOWNTIME = 'nutmegstack_group_downtime_seconds_total';
const STRANDED = 'nutmegstack_stranded_accelerator_seconds_total';
const MS_PER_SECOND = 1_000;

export function createMeasures(ctx: ControlContext): Measures {
  let totals = ZERO_TOTALS;
  let last: MonoTime | undefined;
  return {
    add: (held) => {
      const now = ctx.clock.now();
      const ms = last === undefined ? 0 : now - last;
      last = now;
      for (const state of held) {
        const short = shortfallOf(state, now);
        totals = addShortfall(totals, short, ms);
        count(ctx, short, ms / MS_PER_SECOND);
      }
    },
    totals: () => totals,
  };
}

function count(ctx: ControlContext, short: Shortfall, seconds: number): void {
  const { metrics } = ctx;
  if (!metrics) return;
  for (const [model, groups] of Object.entries(short.down)) {
    countShared(ctx, DOWNTIME, model as ModelId, groups * seconds);
  }
  for (const [model, accelerators] of Object.entries(short.stranded)) {
    countShared(ctx, STRANDED, model as ModelId, accelerators * seconds);
  }
  metrics.count(STRANDED, { model: '', organisation: '' }, short.unassigned * seconds);
}

/** Each organisation bears the share of a model's replicas that it asked for. */
function countShared(ctx: ControlContext, name: string, model: ModelId, amount: number): void {
  const { organisations, models } = ctx.config.current();
  const replicas = models[model]?.replicas ?? 0;
  if (replicas === 0) {
    ctx.metrics?.count(name, { model, organisation: '' }, amount);
    return;
  }
  for (const organisation of Object.values(organisations)) {
    const share = (organisation.replicas[model] ?? 0) / replicas;
    if (share > 0)
      ctx.metrics?.count(name, { model, organisation: organisation.id }, amount * share);
  }
}

/** Keeps running totals of downtime and stranded accelerators, and exports them as metrics. */

import { ZERO_TOTALS, addShortfall, shortfallOf } from '../../core/groups/shortfall';
import type { Shortfall, ShortfallTotals } from '../../core/groups/shortfall';
import type { DomainState } from '../../core/groups/domain-types';
import type { ModelId, MonoTime } from '../../core/ids';
import type { ControlContext } from './context';

/** Totals of the shortfall in held domains since the start of this daemon. */
export interface ShortfallMetrics {
  /** Adds the shortfall of the held domains over the time since the last call. */
  add(held: readonly DomainState[]): void;
  totals(): ShortfallTotals;
}

const DOWNTIME = 'nutmegstack_group_downtime_seconds_total';
const UNREACHABLE = 'nutmegstack_stranded_accelerator_seconds_total';
const MS_PER_SECOND = 1_000;

export function createShortfallMetrics(ctx: ControlContext): ShortfallMetrics {
  let totals = ZERO_TOTALS;
  let lastAt: MonoTime | undefined;
  return {
    add: (held) => {
      const now = ctx.clock.now();
      const ms = lastAt === undefined ? 0 : now - lastAt;
      lastAt = now;
      for (const state of held) {
        const shortfall = shortfallOf(state, now);
        totals = addShortfall(totals, shortfall, ms);
        countShortfall(ctx, shortfall, ms / MS_PER_SECOND);
      }
    },
    totals: () => totals,
  };
}

function countShortfall(ctx: ControlContext, shortfall: Shortfall, seconds: number): void {
  const { metrics } = ctx;
  if (!metrics) return;
  for (const [model, groups] of Object.entries(shortfall.down)) {
    countByOrganisation(ctx, DOWNTIME, model as ModelId, groups * seconds);
  }
  for (const [model, accelerators] of Object.entries(shortfall.stranded)) {
    countByOrganisation(ctx, UNREACHABLE, model as ModelId, accelerators * seconds);
  }
  metrics.count(UNREACHABLE, { model: '', organisation: '' }, shortfall.unassigned * seconds);
}

/** Splits an amount among organisations by their share of the model's configured replicas. */
function countByOrganisation(
  ctx: ControlContext,
  name: string,
  model: ModelId,
  amount: number,
): void {
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

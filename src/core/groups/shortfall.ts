/** Running totals of group downtime and stranded accelerators, by model. */

import type { InstanceId, ModelId, MonoTime } from '../ids';
import type { DomainState } from './domain-types';
import { groupsOf, isWanted, isServing } from './health';

/** Groups and accelerators of one domain that do not serve at an instant. */
export interface Shortfall {
  /** By model: groups that exist but cannot serve. */
  readonly down: Readonly<Record<ModelId, number>>;
  /** By model: accelerators of the instances in such groups. */
  readonly stranded: Readonly<Record<ModelId, number>>;
  /** Accelerators of listed instances in no group. */
  readonly unassigned: number;
}

/** Group-seconds and accelerator-seconds since this daemon started, of domains while it held them. */
export interface ShortfallTotals {
  readonly downtime: Readonly<Record<ModelId, number>>;
  readonly stranded: Readonly<Record<ModelId, number>>;
  readonly unassigned: number;
}

/** Totals at the start of a daemon. */
export const ZERO_TOTALS: ShortfallTotals = { downtime: {}, stranded: {}, unassigned: 0 };

const MS_PER_SECOND = 1_000;
const DEFAULT_ACCELERATORS = 1;

/** The current shortfall of a domain as its holder sees it. */
export function shortfallOf(state: DomainState, now: MonoTime): Shortfall {
  const down: Record<ModelId, number> = {};
  const stranded: Record<ModelId, number> = {};
  const grouped = new Set<InstanceId>();
  for (const row of groupsOf(state)) {
    const instances = row.members.map(({ instance }) => instance);
    for (const id of instances) grouped.add(id);
    if (isServing(state, row, now)) continue;
    const accelerators = instances.reduce((sum, id) => sum + acceleratorsOf(state, id), 0);
    if (isWanted(state, row)) down[row.model] = (down[row.model] ?? 0) + 1;
    stranded[row.model] = (stranded[row.model] ?? 0) + accelerators;
  }
  const free = (Object.keys(state.instances) as InstanceId[]).filter((id) => !grouped.has(id));
  const unassigned = free.reduce((sum, id) => sum + acceleratorsOf(state, id), 0);
  return { down, stranded, unassigned };
}

/** Zero for an instance that is no longer on the platform's list: nobody pays for it. */
function acceleratorsOf(state: DomainState, instance: InstanceId): number {
  const view = state.instances[instance];
  return view?.listing ? view.listing.accelerators || DEFAULT_ACCELERATORS : 0;
}

/** The totals after a shortfall that lasted for `ms` milliseconds. */
export function addShortfall(
  totals: ShortfallTotals,
  short: Shortfall,
  ms: number,
): ShortfallTotals {
  const seconds = ms / MS_PER_SECOND;
  return {
    downtime: addScaled(totals.downtime, short.down, seconds),
    stranded: addScaled(totals.stranded, short.stranded, seconds),
    unassigned: totals.unassigned + short.unassigned * seconds,
  };
}

function addScaled(
  sums: Readonly<Record<ModelId, number>>,
  add: Readonly<Record<ModelId, number>>,
  by: number,
): Readonly<Record<ModelId, number>> {
  const after: Record<ModelId, number> = { ...sums };
  for (const model of Object.keys(add) as ModelId[]) {
    after[model] = (after[model] ?? 0) + (add[model] ?? 0) * by;
  }
  return after;
}

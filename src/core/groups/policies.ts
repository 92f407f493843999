/**
 * Placement and replacement policies, in lookup tables. Each table also holds the simple policy
 * that the others are measured against; `docs/GROUPS.md` has the figures.
 */

import type { ModelSpec } from '../config/types';
import type { InstanceId, MonoTime } from '../ids';
import { freeInstances, isWarm, unresponsiveMembers, planOf, isServing } from './health';
import type {
  ChoosePolicy,
  DomainSettings,
  DomainState,
  LoadPolicy,
  ModelPlan,
  PolicyNames,
  ReplacePolicy,
  SparePolicy,
} from './domain-types';
import type { GroupRow } from './types';

/** An unresponsive member and the instance that could replace it. */
export interface ReplacementCase {
  readonly unresponsiveMs: number;
  /** Whether the instance that would replace it holds the weights. */
  readonly warm: boolean;
  readonly settings: DomainSettings;
}

/** Whether to replace a member now; until then it may still return. */
export const REPLACE_POLICIES: Readonly<
  Record<ReplacePolicy, (replacement: ReplacementCase) => boolean>
> = {
  timeout: ({ unresponsiveMs, settings }) => unresponsiveMs >= settings.replaceAfterMs,
  // A cold spare loads weights meanwhile; whichever is ready first, spare or member, serves.
  preload: ({ unresponsiveMs, warm, settings }) =>
    unresponsiveMs >= (warm ? settings.confirmMs : settings.replaceAfterMs),
  wait: () => false,
};

/** Free instances in order of preference for a model. */
export const CHOOSE_POLICIES: Readonly<
  Record<
    ChoosePolicy,
    (state: DomainState, plan: ModelPlan, now: MonoTime) => readonly InstanceId[]
  >
> = {
  'lowest-id': (state, _plan, now) => freeInstances(state, now),
  'warm-first': warmFirst,
  lend: warmFirst,
};

function warmFirst(state: DomainState, plan: ModelPlan, now: MonoTime): readonly InstanceId[] {
  const free = freeInstances(state, now);
  const warm = free.filter((id) => isWarm(state, id, plan.id));
  return [...warm, ...free.filter((id) => !isWarm(state, id, plan.id))];
}

/** Cost of one second of downtime of the group. */
function downtimeCost(state: DomainState, row: GroupRow): number {
  return planOf(state, row)?.weights.downtime ?? 0;
}

/**
 * The group to take members from when the domain has no free instance for `row`: one that cannot
 * serve either or, once replacement is due, a serving one of lower value.
 */
export function findLender(
  state: DomainState,
  row: GroupRow,
  rows: readonly GroupRow[],
  unresponsiveMs: number,
  now: MonoTime,
): GroupRow | undefined {
  const plan = planOf(state, row);
  if (plan?.policies.choose !== 'lend' || unresponsiveMs < state.settings.confirmMs)
    return undefined;
  const others = rows.filter((other) => other.id !== row.id && other.phase !== 'draining');
  const byDowntimeCost = others
    .filter((other) => downtimeCost(state, other) <= downtimeCost(state, row))
    .sort((a, b) => downtimeCost(state, a) - downtimeCost(state, b) || (a.id < b.id ? 1 : -1));
  const brokenLender = byDowntimeCost.find((other) => isBrokenLender(state, row, other, now));
  if (brokenLender || unresponsiveMs < state.settings.replaceAfterMs) return brokenLender;
  return byDowntimeCost.find(
    (other) =>
      downtimeCost(state, other) < downtimeCost(state, row) && isServing(state, other, now),
  );
}

/** Of two broken groups of equal value the one with the greater id lends, never both. */
function isBrokenLender(
  state: DomainState,
  row: GroupRow,
  other: GroupRow,
  now: MonoTime,
): boolean {
  const missing = unresponsiveMembers(state, other, now).length;
  if (missing === 0 || missing === other.members.length) return false;
  return downtimeCost(state, other) < downtimeCost(state, row) || other.id > row.id;
}

/** Groups in the order in which they load their weights. */
export const LOAD_POLICIES: Readonly<
  Record<LoadPolicy, (state: DomainState, rows: readonly GroupRow[]) => readonly GroupRow[]>
> = {
  arrival: (_state, rows) => rows,
  'value-first': (state, rows) =>
    [...rows].sort(
      (a, b) => costPerLoad(state, b) - costPerLoad(state, a) || (a.id < b.id ? -1 : 1),
    ),
};

/** Downtime cost per load that the group needs: Smith's rule, weight over processing time. */
function costPerLoad(state: DomainState, row: GroupRow): number {
  const cold = row.members.filter(({ instance }) => !isWarm(state, instance, row.model)).length;
  return downtimeCost(state, row) / Math.max(cold, 1);
}

/** How many instances a domain keeps free, and how. */
export interface Reserve {
  readonly count: number;
  /** Kept even if a replica then cannot form. */
  readonly isHard: boolean;
  /** Whether reserved instances preload weights. */
  readonly warm: boolean;
}

/** The reserve that each policy keeps. */
export const SPARE_POLICIES: Readonly<Record<SparePolicy, Reserve>> = {
  none: { count: 0, isHard: false, warm: false },
  one: { count: 1, isHard: true, warm: false },
  warm: { count: 1, isHard: false, warm: true },
};

/** Warm spares are kept if downtime weighs more than this many stranded accelerators. */
const WARM_SPARE_RATIO = 8;

const DEFAULTS: PolicyNames = {
  replace: 'preload',
  choose: 'lend',
  loads: 'value-first',
  spares: 'none',
};

/** The policies that a model's configuration names; for the others, defaults by its weights. */
export function policiesOf(spec: Pick<ModelSpec, 'weights' | 'policies'>): PolicyNames {
  const { downtime, stranded } = spec.weights;
  const spares: SparePolicy = downtime > stranded * WARM_SPARE_RATIO ? 'warm' : 'none';
  const configured = spec.policies;
  return {
    replace: pick(REPLACE_POLICIES, configured.replace, DEFAULTS.replace),
    choose: pick(CHOOSE_POLICIES, configured.choose, DEFAULTS.choose),
    loads: pick(LOAD_POLICIES, configured.loads, DEFAULTS.loads),
    spares: pick(SPARE_POLICIES, configured.spares, spares),
  };
}

function pick<K extends string>(
  table: Readonly<Record<K, unknown>>,
  name: string | undefined,
  fallback: K,
): K {
  return name !== undefined && Object.hasOwn(table, name) ? (name as K) : fallback;
}

/** The part of a model's configuration that group planning uses. */
export function planFor(spec: ModelSpec): ModelPlan {
  return {
    id: spec.id,
    membersPerReplica: spec.membersPerReplica,
    replicas: spec.replicas,
    weights: spec.weights,
    policies: policiesOf(spec),
  };
}

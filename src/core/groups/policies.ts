/**
 * Policies of placing and replacing, behind lookup tables: each new one stands beside the plain one
 * it is measured against. `docs/GROUPS.md` has the figures.
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

/** What is known when a member is silent and an instance could replace it. */
export interface ReplacementCase {
  readonly silentMs: number;
  /** Whether the instance that would replace it holds the weights. */
  readonly warm: boolean;
  readonly settings: DomainSettings;
}

/** Whether to replace now; otherwise the member may still come back. */
export const REPLACE_POLICIES: Readonly<
  Record<ReplacePolicy, (found: ReplacementCase) => boolean>
> = {
  timeout: ({ silentMs, settings }) => silentMs >= settings.replaceAfterMs,
  // A cold spare fetches weights while the member may still return; whichever is first serves.
  preload: ({ silentMs, warm, settings }) =>
    silentMs >= (warm ? settings.confirmMs : settings.replaceAfterMs),
  wait: () => false,
};

/** Free instances in the order in which they should be used for a model. */
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

/** Cost of one second without a group of this model. */
function worthOf(state: DomainState, row: GroupRow): number {
  return planOf(state, row)?.weights.downtime ?? 0;
}

/**
 * The group whose members help `row` most when the domain has no free instance: one that cannot
 * serve either, or, once the silence is long, a serving one of lower value.
 */
export function findLender(
  state: DomainState,
  row: GroupRow,
  rows: readonly GroupRow[],
  silence: number,
  now: MonoTime,
): GroupRow | undefined {
  const plan = planOf(state, row);
  if (plan?.policies.choose !== 'lend' || silence < state.settings.confirmMs) return undefined;
  const others = rows.filter((other) => other.id !== row.id && other.phase !== 'draining');
  const byWorth = others
    .filter((other) => worthOf(state, other) <= worthOf(state, row))
    .sort((a, b) => worthOf(state, a) - worthOf(state, b) || (a.id < b.id ? 1 : -1));
  const idle = byWorth.find((other) => isBrokenLender(state, row, other, now));
  if (idle || silence < state.settings.replaceAfterMs) return idle;
  return byWorth.find(
    (other) => worthOf(state, other) < worthOf(state, row) && isServing(state, other, now),
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
  return worthOf(state, other) < worthOf(state, row) || other.id > row.id;
}

/** Order in which groups fetch their weights; the first goes first. */
export const LOAD_POLICIES: Readonly<
  Record<LoadPolicy, (state: DomainState, rows: readonly GroupRow[]) => readonly GroupRow[]>
> = {
  arrival: (_state, rows) => rows,
  'value-first': (state, rows) =>
    [...rows].sort((a, b) => gainOf(state, b) - gainOf(state, a) || (a.id < b.id ? -1 : 1)),
};

/** Value won by each fetch: Smith's rule, weight over processing time. */
function gainOf(state: DomainState, row: GroupRow): number {
  const cold = row.members.filter(({ instance }) => !isWarm(state, instance, row.model)).length;
  return worthOf(state, row) / Math.max(cold, 1);
}

/** How many instances a domain keeps free, and what for. */
export interface Reserve {
  readonly count: number;
  /** Kept even if a replica then cannot be formed. */
  readonly isHard: boolean;
  /** Whether kept instances fetch weights ahead. */
  readonly warm: boolean;
}

export const SPARE_POLICIES: Readonly<Record<SparePolicy, Reserve>> = {
  none: { count: 0, isHard: false, warm: false },
  one: { count: 1, isHard: true, warm: false },
  warm: { count: 1, isHard: false, warm: true },
};

/** Downtime weighs more than this many stranded accelerators: keep warm spares. */
const DOWNTIME_HEAVY = 8;

const DEFAULTS: PolicyNames = {
  replace: 'preload',
  choose: 'lend',
  loads: 'value-first',
  spares: 'none',
};

/** The policies that a model's configuration names, the rest chosen by its weights. */
export function policiesOf(spec: Pick<ModelSpec, 'weights' | 'policies'>): PolicyNames {
  const { downtime, stranded } = spec.weights;
  const spares: SparePolicy = downtime > stranded * DOWNTIME_HEAVY ? 'warm' : 'none';
  const named = spec.policies;
  return {
    replace: pick(REPLACE_POLICIES, named.replace, DEFAULTS.replace),
    choose: pick(CHOOSE_POLICIES, named.choose, DEFAULTS.choose),
    loads: pick(LOAD_POLICIES, named.loads, DEFAULTS.loads),
    spares: pick(SPARE_POLICIES, named.spares, spares),
  };
}

function pick<K extends string>(
  table: Readonly<Record<K, unknown>>,
  name: string | undefined,
  fallback: K,
): K {
  return name !== undefined && Object.hasOwn(table, name) ? (name as K) : fallback;
}

/** What the planner needs of a model. */
export function planFor(spec: ModelSpec): ModelPlan {
  return {
    id: spec.id,
    membersPerReplica: spec.membersPerReplica,
    replicas: spec.replicas,
    weights: spec.weights,
    policies: policiesOf(spec),
  };
}

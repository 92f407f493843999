/**
 * Bringing engines to what the rows say, by orders that are repeated until the reports match. Also
 * what corrects engines that ignore fencing numbers and took an order from a former holder.
 */

import type { InstanceId, ModelId, MonoTime } from '../ids';
import { CHOOSE_POLICIES, LOAD_POLICIES, SPARE_POLICIES } from './policies';
import type { DomainState, InstanceView, ModelPlan, PlannedOrder } from './domain-types';
import {
  freeInstances,
  groupsOf,
  healthOf,
  isWarm,
  leavingMembers,
  unresponsiveMembers,
  planOf,
} from './health';
import type { GroupRow } from './types';

export interface AddressedOrder {
  readonly instance: InstanceId;
  readonly order: PlannedOrder;
}

/** All orders that the domain's engines need now; those sent a moment ago included. */
export function planOrders(state: DomainState, now: MonoTime): readonly AddressedOrder[] {
  const rows = inLoadOrder(state);
  const joins = joinOrders(state, rows, now);
  return [
    ...joins,
    ...rows.flatMap((row) => drainOrders(state, row, now)),
    ...releaseOrders(state),
    ...preloadOrders(state, rows, now),
  ];
}

function inLoadOrder(state: DomainState): readonly GroupRow[] {
  const rows = groupsOf(state);
  const first = rows.map((row) => planOf(state, row)).find((plan) => plan !== undefined);
  return first ? LOAD_POLICIES[first.policies.loads](state, rows) : rows;
}

function isUnheard(state: DomainState, instance: InstanceId): boolean {
  const view = state.instances[instance];
  return !view?.report || view.silentSince !== undefined;
}

/** Instances fetching weights now, here, as far as their reports tell or their orders. */
export function countLoads(state: DomainState, now: MonoTime): number {
  const views = Object.values<DomainState['instances'][InstanceId]>(state.instances);
  return views.filter((view) => isFetching(view, now)).length;
}

function isFetching({ report, order }: InstanceView, now: MonoTime): boolean {
  if (report?.state === 'loading' && report.model !== undefined) {
    // With its weights it only waits for the others.
    return !report.weights.includes(report.model);
  }
  // An idle one does not say; most have no weights at all before the fetch is done.
  const isTold = order?.kind === 'preload' && now < order.retryAt;
  return isTold && report?.state === 'idle' && report.weights.length === 0;
}

/** At least one member may always load, however busy the other domains say they are. */
function loadLimit({ settings, models, loadsElsewhere }: DomainState): number {
  const sizes = Object.values<ModelPlan>(models).map((plan) => plan.membersPerReplica);
  const here = settings.maxLoads ?? Math.max(...sizes, 1);
  return Math.max(Math.min(here, settings.maxLoadsOverall - loadsElsewhere), 1);
}

function joinOrders(
  state: DomainState,
  rows: readonly GroupRow[],
  now: MonoTime,
): readonly AddressedOrder[] {
  const orders: AddressedOrder[] = [];
  let budget = loadLimit(state) - countLoads(state, now);
  for (const row of rows) {
    if (row.phase === 'draining') continue;
    for (const order of joinsOf(state, row, now)) {
      const cold = order.order.kind === 'join' && !isWarm(state, order.instance, row.model);
      if (cold && budget <= 0) continue;
      if (cold) budget--;
      orders.push(order);
    }
    // Rank 0 must not lose its turn to the next group while it waits for the others to join.
    if (isFirstToCome(state, row, now)) budget--;
  }
  return orders;
}

/** Whether rank 0 has yet to join and to fetch weights, and nobody is missing. */
function isFirstToCome(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  const first = row.members[0]?.instance;
  if (first === undefined || isWarm(state, first, row.model)) return false;
  if (row.members.some(({ instance }) => isUnheard(state, instance))) return false;
  return healthOf(state, row, first, now) !== 'loading';
}

/** Rank 0 goes last: it watches the others from the moment it joins. */
function joinsOf(state: DomainState, row: GroupRow, now: MonoTime): readonly AddressedOrder[] {
  const joined = row.members.map(({ instance }) =>
    ['well', 'loading', 'draining'].includes(healthOf(state, row, instance, now)),
  );
  const othersJoined = joined.slice(1).every(Boolean);
  return row.members.flatMap(({ instance }, rank) => {
    if (joined[rank] || (rank === 0 && !othersJoined) || isUnheard(state, instance)) return [];
    const report = state.instances[instance]?.report;
    // A newer epoch than the row's: the rows are out of date, or the engine is another's.
    if (!report || (report.group === row.id && (report.epoch ?? 0) >= row.epoch)) return [];
    const foreign = report.group !== undefined && report.group !== row.id;
    return foreign ? releaseOf(state, instance) : [{ instance, order: joinOf(row, rank) }];
  });
}

function joinOf(row: GroupRow, rank: number): PlannedOrder {
  const { id, epoch, model, members } = row;
  return { kind: 'join', group: id, epoch, model, rank, members };
}

function drainOrders(state: DomainState, row: GroupRow, now: MonoTime): readonly AddressedOrder[] {
  if (row.phase !== 'draining' && leavingMembers(state, row).length === 0) return [];
  return row.members.flatMap(({ instance }) => {
    const runs = healthOf(state, row, instance, now) === 'well';
    if (!runs || isUnheard(state, instance)) return [];
    return [{ instance, order: { kind: 'drain' as const, group: row.id, epoch: row.epoch } }];
  });
}

/** Instances that hold a group though their row says that none holds them. */
function releaseOrders(state: DomainState): readonly AddressedOrder[] {
  const ids = Object.keys(state.instances) as InstanceId[];
  return ids.flatMap((instance) => {
    const row = state.instanceRows[instance]?.row;
    return row && row.group === undefined ? releaseOf(state, instance) : [];
  });
}

function releaseOf(state: DomainState, instance: InstanceId): readonly AddressedOrder[] {
  const report = state.instances[instance]?.report;
  if (isUnheard(state, instance) || report?.group === undefined) return [];
  const { group, epoch } = report;
  return epoch === undefined ? [] : [{ instance, order: { kind: 'release', group, epoch } }];
}

/** Weights fetched ahead by instances that will likely be needed. */
function preloadOrders(
  state: DomainState,
  rows: readonly GroupRow[],
  now: MonoTime,
): readonly AddressedOrder[] {
  if (state.darkSince !== undefined) return [];
  const wanted = new Map<InstanceId, ModelId>();
  for (const row of rows) wantReplacements(state, row, now, wanted);
  wantSpare(state, rows, now, wanted);
  return [...wanted]
    .filter(([id, model]) => !isWarm(state, id, model) && !isLoading(state, id))
    .map(([instance, model]) => ({ instance, order: { kind: 'preload', model } }));
}

function isLoading(state: DomainState, instance: InstanceId): boolean {
  return state.instances[instance]?.report?.state === 'loading';
}

function wantReplacements(
  state: DomainState,
  row: GroupRow,
  now: MonoTime,
  wanted: Map<InstanceId, ModelId>,
): void {
  const plan = planOf(state, row);
  if (plan?.policies.replace !== 'preload') return;
  const needed = new Set([...unresponsiveMembers(state, row, now), ...leavingMembers(state, row)])
    .size;
  const free = CHOOSE_POLICIES[plan.policies.choose](state, plan, now).filter(
    (id) => !wanted.has(id),
  );
  for (const id of free.slice(0, needed)) wanted.set(id, plan.id);
}

/** One free instance holds the weights of the model whose downtime costs the domain most. */
function wantSpare(
  state: DomainState,
  rows: readonly GroupRow[],
  now: MonoTime,
  wanted: Map<InstanceId, ModelId>,
): void {
  const plans = rows.flatMap((row) => planOf(state, row) ?? []);
  const kept = plans
    .filter((plan) => SPARE_POLICIES[plan.policies.spares].warm)
    .sort((a, b) => b.weights.downtime - a.weights.downtime)[0];
  if (!kept) return;
  const free = freeInstances(state, now).filter((id) => !wanted.has(id));
  if (free.some((id) => isWarm(state, id, kept.id))) return;
  const spare = free[0];
  if (spare !== undefined) wanted.set(spare, kept.id);
}

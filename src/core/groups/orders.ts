/**
 * Reconciles engines with the rows by orders that are repeated until the reports match. This also
 * corrects engines that ignore fencing numbers and followed an order of a former holder.
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

/** An order and the instance that it goes to. */
export interface AddressedOrder {
  readonly instance: InstanceId;
  readonly order: PlannedOrder;
}

/** All orders that the domain's engines need now, including those sent recently. */
export function planOrders(state: DomainState, now: MonoTime): readonly AddressedOrder[] {
  const rows = sortByLoadOrder(state);
  const joins = joinOrders(state, rows, now);
  return [
    ...joins,
    ...rows.flatMap((row) => drainOrders(state, row, now)),
    ...releaseOrders(state),
    ...preloadOrders(state, rows, now),
  ];
}

function sortByLoadOrder(state: DomainState): readonly GroupRow[] {
  const rows = groupsOf(state);
  const first = rows.map((row) => planOf(state, row)).find((plan) => plan !== undefined);
  return first ? LOAD_POLICIES[first.policies.loads](state, rows) : rows;
}

function isUnreachable(state: DomainState, instance: InstanceId): boolean {
  const view = state.instances[instance];
  return !view?.report || view.unresponsiveSince !== undefined;
}

/** Number of the domain's instances that load weights now, as reports and orders show it. */
export function countLoads(state: DomainState, now: MonoTime): number {
  const views = Object.values<DomainState['instances'][InstanceId]>(state.instances);
  return views.filter((view) => isLoadingWeights(view, now)).length;
}

function isLoadingWeights({ report, order }: InstanceView, now: MonoTime): boolean {
  if (report?.state === 'loading' && report.model !== undefined) {
    // Once it holds the weights it only waits for the other members.
    return !report.weights.includes(report.model);
  }
  // An idle instance does not report a preload; most hold no weights at all until it completes.
  const hasPreloadOrder = order?.kind === 'preload' && now < order.retryAt;
  return hasPreloadOrder && report?.state === 'idle' && report.weights.length === 0;
}

/** Concurrent loads allowed here: at least one, however many loads other domains report. */
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
      const isCold = order.order.kind === 'join' && !isWarm(state, order.instance, row.model);
      if (isCold && budget <= 0) continue;
      if (isCold) budget--;
      orders.push(order);
    }
    // Reserved for rank 0: the next group must not take this load while rank 0 waits to join.
    if (isRankZeroPending(state, row, now)) budget--;
  }
  return orders;
}

/** Whether rank 0 has yet to join and to load weights, and all members are reachable. */
function isRankZeroPending(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  const first = row.members[0]?.instance;
  if (first === undefined || isWarm(state, first, row.model)) return false;
  if (row.members.some(({ instance }) => isUnreachable(state, instance))) return false;
  return healthOf(state, row, first, now) !== 'loading';
}

/** Rank 0 joins last, because it monitors the others from the moment it joins. */
function joinsOf(state: DomainState, row: GroupRow, now: MonoTime): readonly AddressedOrder[] {
  const joined = row.members.map(({ instance }) =>
    ['healthy', 'loading', 'draining'].includes(healthOf(state, row, instance, now)),
  );
  const othersJoined = joined.slice(1).every(Boolean);
  return row.members.flatMap(({ instance }, rank) => {
    if (joined[rank] || (rank === 0 && !othersJoined) || isUnreachable(state, instance)) return [];
    const report = state.instances[instance]?.report;
    // A newer epoch than the row's: the rows are stale, or another holder commands the engine.
    if (!report || (report.group === row.id && (report.epoch ?? 0) >= row.epoch)) return [];
    const isForeign = report.group !== undefined && report.group !== row.id;
    return isForeign ? releaseOf(state, instance) : [{ instance, order: joinOf(row, rank) }];
  });
}

function joinOf(row: GroupRow, rank: number): PlannedOrder {
  const { id, epoch, model, members } = row;
  return { kind: 'join', group: id, epoch, model, rank, members };
}

function drainOrders(state: DomainState, row: GroupRow, now: MonoTime): readonly AddressedOrder[] {
  if (row.phase !== 'draining' && leavingMembers(state, row).length === 0) return [];
  return row.members.flatMap(({ instance }) => {
    const isRunning = healthOf(state, row, instance, now) === 'healthy';
    if (!isRunning || isUnreachable(state, instance)) return [];
    return [{ instance, order: { kind: 'drain' as const, group: row.id, epoch: row.epoch } }];
  });
}

/** Releases instances that report a group although their row names none. */
function releaseOrders(state: DomainState): readonly AddressedOrder[] {
  const ids = Object.keys(state.instances) as InstanceId[];
  return ids.flatMap((instance) => {
    const row = state.instanceRows[instance]?.row;
    return row && row.group === undefined ? releaseOf(state, instance) : [];
  });
}

function releaseOf(state: DomainState, instance: InstanceId): readonly AddressedOrder[] {
  const report = state.instances[instance]?.report;
  if (isUnreachable(state, instance) || report?.group === undefined) return [];
  const { group, epoch } = report;
  return epoch === undefined ? [] : [{ instance, order: { kind: 'release', group, epoch } }];
}

/** Has instances that will probably be needed load weights in advance. */
function preloadOrders(
  state: DomainState,
  rows: readonly GroupRow[],
  now: MonoTime,
): readonly AddressedOrder[] {
  if (state.downSince !== undefined) return [];
  const preloads = new Map<InstanceId, ModelId>();
  for (const row of rows) addReplacementPreloads(state, row, now, preloads);
  addSparePreload(state, rows, now, preloads);
  return [...preloads]
    .filter(([id, model]) => !isWarm(state, id, model) && !isLoading(state, id))
    .map(([instance, model]) => ({ instance, order: { kind: 'preload', model } }));
}

function isLoading(state: DomainState, instance: InstanceId): boolean {
  return state.instances[instance]?.report?.state === 'loading';
}

function addReplacementPreloads(
  state: DomainState,
  row: GroupRow,
  now: MonoTime,
  preloads: Map<InstanceId, ModelId>,
): void {
  const plan = planOf(state, row);
  if (plan?.policies.replace !== 'preload') return;
  const needed = new Set([...unresponsiveMembers(state, row, now), ...leavingMembers(state, row)])
    .size;
  const free = CHOOSE_POLICIES[plan.policies.choose](state, plan, now).filter(
    (id) => !preloads.has(id),
  );
  for (const id of free.slice(0, needed)) preloads.set(id, plan.id);
}

/** Keeps the weights of the model with the costliest downtime on one free instance. */
function addSparePreload(
  state: DomainState,
  rows: readonly GroupRow[],
  now: MonoTime,
  preloads: Map<InstanceId, ModelId>,
): void {
  const plans = rows.flatMap((row) => planOf(state, row) ?? []);
  const costliest = plans
    .filter((plan) => SPARE_POLICIES[plan.policies.spares].warm)
    .sort((a, b) => b.weights.downtime - a.weights.downtime)[0];
  if (!costliest) return;
  const free = freeInstances(state, now).filter((id) => !preloads.has(id));
  if (free.some((id) => isWarm(state, id, costliest.id))) return;
  const spare = free[0];
  if (spare !== undefined) preloads.set(spare, costliest.id);
}

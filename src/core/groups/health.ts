/** Health of instances and groups, derived from the members' reports. */

import type { GroupId, InstanceId, ModelId, MonoTime } from '../ids';
import { MIN_OUTAGE_INSTANCES } from './domain-types';
import type { DomainState, InstanceView, ModelPlan } from './domain-types';
import type { GroupRow, Member } from './types';

/**
 * `unknown`: not probed yet; `silent`: no answer to probes, by this daemon's or any peer's
 * observation; `misassigned`: answers, but holds no group, or another group or epoch.
 */
export type MemberHealth =
  'unknown' | 'silent' | 'misassigned' | 'loading' | 'broken' | 'draining' | 'healthy';

/** The health of a member of the group in `row`. */
export function healthOf(
  state: DomainState,
  row: GroupRow,
  instance: InstanceId,
  now: MonoTime,
): MemberHealth {
  const view = state.instances[instance];
  if (view && unresponsiveFor(state, view, now) !== undefined) return 'silent';
  const report = view?.report;
  if (!report) return 'unknown';
  if (report.group !== row.id || report.epoch !== row.epoch) return 'misassigned';
  if (report.state === 'serving') return 'healthy';
  return report.state === 'idle' ? 'misassigned' : report.state;
}

/**
 * How long an instance has been unresponsive, milliseconds; undefined below the threshold, and
 * while a peer's observation shows it as healthy.
 */
export function unresponsiveFor(
  state: DomainState,
  view: InstanceView,
  now: MonoTime,
): number | undefined {
  if (view.unresponsiveSince === undefined) return undefined;
  const elapsedMs = now - view.unresponsiveSince;
  if (elapsedMs < state.settings.unresponsiveMs) return undefined;
  return view.peerConfirmedUntil !== undefined && now < view.peerConfirmedUntil
    ? undefined
    : elapsedMs;
}

/** Whether an operator, a peer, the engine or the platform says that the instance is leaving. */
export function isLeaving(view: InstanceView | undefined): boolean {
  if (!view) return false;
  return view.isDrainRequested || view.report?.leaving === true || view.listing?.leaving === true;
}

/** Whether an instance is unresponsive and off the platform's list: it will not return. */
export function isRemoved(
  state: DomainState,
  view: InstanceView | undefined,
  now: MonoTime,
): boolean {
  return view !== undefined && !view.listing && unresponsiveFor(state, view, now) !== undefined;
}

/** Whether an instance may join a group: present, and in none by its row and its fresh report. */
export function isFree(state: DomainState, instance: InstanceId, now: MonoTime): boolean {
  const view = state.instances[instance];
  const report = view?.report;
  if (!view?.listing || !report || view.reportedAt === undefined) return false;
  if (state.instanceRows[instance]?.row.group !== undefined) return false;
  if (isLeaving(view) || view.unresponsiveSince !== undefined) return false;
  if (now - view.reportedAt > state.settings.unresponsiveMs) return false;
  return report.group === undefined && (report.state === 'idle' || report.state === 'loading');
}

/** All free instances of the domain, sorted by id. */
export function freeInstances(state: DomainState, now: MonoTime): readonly InstanceId[] {
  const ids = Object.keys(state.instances) as InstanceId[];
  return ids.filter((id) => isFree(state, id, now)).sort();
}

/** Whether an instance holds the weights of the model. */
export function isWarm(state: DomainState, instance: InstanceId, model: ModelId): boolean {
  return state.instances[instance]?.report?.weights.includes(model) ?? false;
}

/** The instance as a member of a group's row. */
export function memberOf(state: DomainState, instance: InstanceId): Member {
  const view = state.instances[instance];
  return { instance, address: view?.listing?.address ?? '' };
}

/** The plan of the group's model; undefined if the model is no longer configured. */
export function planOf(state: DomainState, row: GroupRow): ModelPlan | undefined {
  return state.models[row.model];
}

/** Whether the configuration still has this group's model, size and slot. */
export function isWanted(state: DomainState, row: GroupRow): boolean {
  const plan = planOf(state, row);
  if (!plan) return false;
  return row.members.length === plan.membersPerReplica && (row.slot ?? 0) < plan.replicas;
}

/** Unresponsive members: the group cannot serve until they are replaced or return. */
export function unresponsiveMembers(
  state: DomainState,
  row: GroupRow,
  now: MonoTime,
): readonly InstanceId[] {
  return row.members
    .map(({ instance }) => instance)
    .filter((instance) => healthOf(state, row, instance, now) === 'silent');
}

/** Members of the group that are leaving. */
export function leavingMembers(state: DomainState, row: GroupRow): readonly InstanceId[] {
  return row.members
    .map(({ instance }) => instance)
    .filter((instance) => isLeaving(state.instances[instance]));
}

/** Whether no member serves or has requests; those that cannot report any count as drained. */
export function isDrained(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  return row.members.every(({ instance }) => {
    const health = healthOf(state, row, instance, now);
    if (health === 'healthy') return false;
    const report = state.instances[instance]?.report;
    return health === 'silent' || !report || report.inFlight + report.queued === 0;
  });
}

/** Whether all members of the group are healthy. */
export function isServing(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  return row.members.every(({ instance }) => healthOf(state, row, instance, now) === 'healthy');
}

/** Whether so many members are unresponsive that the domain, or this daemon's link, is at fault. */
export function isDomainDown(state: DomainState, now: MonoTime): boolean {
  const grouped = Object.values<{ row: GroupRow }>(state.groups).flatMap(({ row }) => row.members);
  const unresponsive = grouped.filter(({ instance }) => {
    const view = state.instances[instance];
    return view !== undefined && unresponsiveFor(state, view, now) !== undefined;
  });
  if (unresponsive.length < MIN_OUTAGE_INSTANCES) return false;
  return unresponsive.length > grouped.length * state.settings.outageShare;
}

/** Groups of the domain, sorted by id. */
export function groupsOf(state: DomainState): readonly GroupRow[] {
  const ids = Object.keys(state.groups) as GroupId[];
  return ids.sort().flatMap((id) => state.groups[id]?.row ?? []);
}

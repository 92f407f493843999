/** What the holder makes of the reports of a group's members. */

import type { GroupId, InstanceId, ModelId, MonoTime } from '../ids';
import { MIN_OUTAGE_INSTANCES } from './domain-types';
import type { DomainState, InstanceView, ModelPlan } from './domain-types';
import type { GroupRow, Member } from './types';

/**
 * `unknown`: not probed yet; `silent`: no answer, and nobody vouches for it; `astray`: answers, but
 * holds another group or epoch or none.
 */
export type MemberHealth =
  'unknown' | 'silent' | 'astray' | 'loading' | 'broken' | 'draining' | 'well';

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
  if (report.group !== row.id || report.epoch !== row.epoch) return 'astray';
  if (report.state === 'serving') return 'well';
  return report.state === 'idle' ? 'astray' : report.state;
}

/** How long an instance has been silent, milliseconds; undefined while that is not settled. */
export function unresponsiveFor(
  state: DomainState,
  view: InstanceView,
  now: MonoTime,
): number | undefined {
  if (view.silentSince === undefined) return undefined;
  const silence = now - view.silentSince;
  if (silence < state.settings.unresponsiveMs) return undefined;
  return view.peerConfirmedUntil !== undefined && now < view.peerConfirmedUntil
    ? undefined
    : silence;
}

export function isLeaving(view: InstanceView | undefined): boolean {
  if (!view) return false;
  return view.isDrainRequested || view.report?.leaving === true || view.facts?.leaving === true;
}

/** Off the platform's list and silent: it will not come back. */
export function isRemoved(
  state: DomainState,
  view: InstanceView | undefined,
  now: MonoTime,
): boolean {
  return view !== undefined && !view.facts && unresponsiveFor(state, view, now) !== undefined;
}

/** Held by no group by its row and by its own fresh report, and fit to join one. */
export function isFree(state: DomainState, instance: InstanceId, now: MonoTime): boolean {
  const view = state.instances[instance];
  const report = view?.report;
  if (!view?.facts || !report || view.reportedAt === undefined) return false;
  if (state.instanceRows[instance]?.row.group !== undefined) return false;
  if (isLeaving(view) || view.silentSince !== undefined) return false;
  if (now - view.reportedAt > state.settings.unresponsiveMs) return false;
  return report.group === undefined && (report.state === 'idle' || report.state === 'loading');
}

/** All free instances of the domain, by id. */
export function freeInstances(state: DomainState, now: MonoTime): readonly InstanceId[] {
  const ids = Object.keys(state.instances) as InstanceId[];
  return ids.filter((id) => isFree(state, id, now)).sort();
}

export function isWarm(state: DomainState, instance: InstanceId, model: ModelId): boolean {
  return state.instances[instance]?.report?.weights.includes(model) ?? false;
}

export function memberOf(state: DomainState, instance: InstanceId): Member {
  const view = state.instances[instance];
  return { instance, address: view?.facts?.address ?? '' };
}

export function planOf(state: DomainState, row: GroupRow): ModelPlan | undefined {
  return state.models[row.model];
}

/** Whether the configuration still asks for this group as it is. */
export function isWanted(state: DomainState, row: GroupRow): boolean {
  const plan = planOf(state, row);
  if (!plan) return false;
  return row.members.length === plan.membersPerReplica && (row.slot ?? 0) < plan.replicas;
}

/** Members that keep the group from serving until they are replaced or come back. */
export function unresponsiveMembers(
  state: DomainState,
  row: GroupRow,
  now: MonoTime,
): readonly InstanceId[] {
  return row.members
    .map(({ instance }) => instance)
    .filter((instance) => healthOf(state, row, instance, now) === 'silent');
}

export function leavingMembers(state: DomainState, row: GroupRow): readonly InstanceId[] {
  return row.members
    .map(({ instance }) => instance)
    .filter((instance) => isLeaving(state.instances[instance]));
}

/** Whether nothing is in flight in the group, or nobody is there to say so. */
export function isDrained(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  return row.members.every(({ instance }) => {
    const health = healthOf(state, row, instance, now);
    if (health === 'well') return false;
    const report = state.instances[instance]?.report;
    return health === 'silent' || !report || report.inFlight + report.queued === 0;
  });
}

export function isServing(state: DomainState, row: GroupRow, now: MonoTime): boolean {
  return row.members.every(({ instance }) => healthOf(state, row, instance, now) === 'well');
}

/** Whether so many instances fell silent together that the fault is the domain's, or our own. */
export function isDomainDown(state: DomainState, now: MonoTime): boolean {
  const grouped = Object.values<{ row: GroupRow }>(state.groups).flatMap(({ row }) => row.members);
  const silent = grouped.filter(({ instance }) => {
    const view = state.instances[instance];
    return view !== undefined && unresponsiveFor(state, view, now) !== undefined;
  });
  if (silent.length < MIN_OUTAGE_INSTANCES) return false;
  return silent.length > grouped.length * state.settings.outageShare;
}

/** Groups of the domain, by id. */
export function groupsOf(state: DomainState): readonly GroupRow[] {
  const ids = Object.keys(state.groups) as GroupId[];
  return ids.sort().flatMap((id) => state.groups[id]?.row ?? []);
}

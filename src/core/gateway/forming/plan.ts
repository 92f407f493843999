/**
 * Plans the replica groups of one service: forms, opens, ends and replaces them. A pure function of the
 * servers' reports and of the orders sent before; its result is the orders to send now. The holder of
 * the lease runs it; a new leader starts with an empty state and adopts the groups that it finds.
 */

import { later } from '../../ids';
import type { GroupId, InstanceId, MonoTime } from '../../ids';
import { collectGroups, isComplete } from '../groups';
import type { ReplicaGroup } from '../groups';
import type { OrderResult } from '../orders';
import type { BackendServer } from '../types';
import { areUnlistedLost, noteFoundGroups } from './adopt';
import { composeGroups } from './compose';
import { dropEvacuatedFormations, excludeEvacuated } from './evacuated';
import { advanceFormations, joinCost, openGroup } from './form';
import { mayOpenFound, observeDepartures } from './late-orders';
import { noteForeignLoads, pruneLoads } from './loads';
import { collectFreeServers } from './members';
import { pruneLosses, noteLoss } from './reserve';
import { advanceRetirements, startRetirement } from './retire';
import { claimDomains } from './reassign';
import { withResult } from './sent-orders';
import { canReplaceSlow } from './slow';
import { isConsistent, isStandby } from './start';
import { hasNoAnswers, isGroupLost } from './silent';
import { draftOf, isSuspect, noteModels, STALE_ENTRY_MS, stateOf } from './state';
import type { Draft, FormingState, FormingView, OrderEffect, Retirement } from './state';

/** Time for which sent orders and dissolved groups are remembered. */
const MEMORY_MS = 60_000;

/** The state after a plan, and the orders to send. */
export interface Plan {
  readonly state: FormingState;
  readonly orders: readonly OrderEffect[];
}

/** The servers whose last entry names the group. */
function membersAmong(
  servers: ReadonlyMap<InstanceId, BackendServer>,
  { id, epoch }: ReplicaGroup,
): BackendServer[] {
  return [...servers.values()].filter(
    ({ membership }) => membership?.group === id && membership.epoch === epoch,
  );
}

/** Members of the group that are no longer listed but may still serve. */
function lapsedMembers(draft: Draft, group: ReplicaGroup): BackendServer[] {
  return membersAmong(draft.view.lapsed, group);
}

/** Members of the group that are listed or were, and may still serve. */
function knownMembers(draft: Draft, group: ReplicaGroup): BackendServer[] {
  return [...group.members, ...lapsedMembers(draft, group)];
}

/** Members of the group whose servers have restarted since. */
function endedMembers(draft: Draft, group: ReplicaGroup): BackendServer[] {
  return membersAmong(draft.view.ended, group);
}

/**
 * Why a group must end, or undefined if it may continue. A member that is no longer listed may have lost
 * only its connection to the platform's registry: the group keeps serving unless the member is suspect.
 */
function findFault(
  draft: Draft,
  group: ReplicaGroup,
  size: number,
): 'lost' | 'leaving' | undefined {
  const members = knownMembers(draft, group);
  const areLost = areUnlistedLost(draft, group) || endedMembers(draft, group).length > 0;
  const hasUnlistedLoss = members.length < size && areLost;
  if (hasUnlistedLoss || isGroupLost(draft, { head: group.head, members })) return 'lost';
  return members.some(({ isDraining }) => isDraining) ? 'leaving' : undefined;
}

function sizeOf(draft: Draft, group: ReplicaGroup): number | undefined {
  return draft.view.engine.models.find(({ name }) => name === group.model)?.size;
}

function retire(
  draft: Draft,
  group: ReplicaGroup,
  step: 'finish' | 'leave',
  head: Pick<Retirement, 'head' | 'isForAbsence'> = { head: group.head },
): void {
  const { id, epoch, members, model } = group;
  const reformAs = model === undefined ? {} : { model };
  startRetirement(draft, { group: id, epoch, members, ...head, ...reformAs }, step);
}

/**
 * Whether the group's remaining members and free servers can form a group of its model without a weight
 * load. Only then is a group that still serves replaced: a load takes longer than a draining member stays.
 */
function hasReplacement(draft: Draft, group: ReplicaGroup): boolean {
  const model = draft.view.engine.models.find(({ name }) => name === group.model);
  if (!model || group.domain === undefined) return false;
  const staying = group.members.filter(({ isDraining }) => !isDraining);
  const spares = (collectFreeServers(draft).get(group.domain) ?? []).filter(
    (server) => !joinCost(draft, server, model).isLoad,
  );
  return staying.length + spares.length >= model.size;
}

function checkOpen(draft: Draft, group: ReplicaGroup): void {
  const size = sizeOf(draft, group);
  const fault = size === undefined ? undefined : findFault(draft, group, size);
  if (fault === 'lost') {
    noteLoss(draft);
    retire(draft, group, 'leave');
  }
  if (fault === 'leaving' && hasReplacement(draft, group)) retire(draft, group, 'finish');
  if (fault === undefined && canReplaceSlow(draft, group)) retire(draft, group, 'finish');
}

/**
 * Whether a head whose entry expired before this leader could read it may hold answers. They end with the members
 * that leave; without an entry nobody sends it others.
 */
function mayUnknownHeadServe(
  { now, settings, view }: Draft,
  { members }: ReplicaGroup,
  since: MonoTime,
): boolean {
  if (now >= later(since, settings.unlistedHeadMs)) return false;
  // A group that is still being joined was never open.
  const wasOpen = members.every(({ membership }) => membership?.state === 'ready');
  return wasOpen && view.hasUnknownAnswers?.() === true;
}

/**
 * Handles a group whose head is not listed: it may still serve, but no requests are sent to it. An entry that
 * expires is silence, so the group is ended for it only once no daemon holds an answer of the head.
 */
function checkHeadless(draft: Draft, group: ReplicaGroup): void {
  const since = draft.foreignGroups.get(group.id) ?? draft.now;
  draft.foreignGroups.set(group.id, since);
  const head = [...lapsedMembers(draft, group), ...endedMembers(draft, group)].find(
    ({ membership }) => membership?.rank === 0,
  );
  if (!head && mayUnknownHeadServe(draft, group, since)) return;
  const isHeadLost = head && isGroupLost(draft, { head, members: [] });
  if (!head || isHeadLost || draft.view.ended.has(head.id)) {
    retire(draft, group, 'leave', { head });
    return;
  }
  if (!hasNoAnswers(draft, head.id, since)) return;
  const isTimedOut = draft.now >= later(since, draft.settings.unlistedHeadMs);
  if (isTimedOut || hasReplacement(draft, group))
    retire(draft, group, 'finish', { head, isForAbsence: true });
}

/**
 * Handles a group that isn't open and isn't being formed. Where an earlier leader formed it, its members may have been
 * ordered to join other groups since, under a greater epoch, and may yet do so: it is formed again under an epoch of
 * this leader.
 */
function checkForeign(draft: Draft, group: ReplicaGroup): void {
  const since = draft.foreignGroups.get(group.id) ?? draft.now;
  draft.foreignGroups.set(group.id, since);
  const size = sizeOf(draft, group);
  const hasSuspect = group.members.some(({ id }) => isSuspect(draft, id));
  const isSound = size !== undefined && isComplete(group, size) && !hasSuspect;
  if (isSound && !findFault(draft, group, size)) {
    if (mayOpenFound(draft, group)) openGroup(draft, group);
    else retire(draft, group, 'finish');
    return;
  }
  const isLoading = group.members.every(({ membership }) => membership?.state === 'joining');
  const { adoptTimeoutMs } = draft.settings;
  const maxLoadMs = Math.max(0, ...draft.view.engine.models.map(({ loadMs }) => loadMs));
  const waitMs = isLoading ? adoptTimeoutMs + maxLoadMs : adoptTimeoutMs;
  if (draft.now >= later(since, waitMs)) retire(draft, group, 'leave');
}

const CHECK_BY_STATE: Readonly<Record<string, (draft: Draft, group: ReplicaGroup) => void>> = {
  open: checkOpen,
  closing: (draft, group) => {
    retire(draft, group, 'finish');
  },
  broken: (draft, group) => {
    retire(draft, group, 'leave');
  },
  ready: checkForeign,
  joining: checkForeign,
};

/**
 * Handles a group by the state of its head. A dissolved group whose head still reports it after `STALE_ENTRY_MS` has
 * been restored by orders carried out late, a join and then an open: its members are not free until the
 * head has left again.
 */
function checkGroup(draft: Draft, group: ReplicaGroup): void {
  const { id, head } = group;
  if (draft.retirements.has(id) || isStandby(id)) return;
  const dissolvedAt = draft.dissolved.get(id);
  if (dissolvedAt !== undefined) {
    if (head && draft.now >= later(dissolvedAt, STALE_ENTRY_MS)) retire(draft, group, 'leave');
    return;
  }
  const state = head?.membership?.state;
  if (state === 'open') draft.foreignGroups.delete(id);
  if (draft.formations.has(id) && state !== 'broken') return;
  if (state === undefined) checkHeadless(draft, group);
  else CHECK_BY_STATE[state]?.(draft, group);
}

function prune(draft: Draft): void {
  const isExpired = (at: MonoTime): boolean => draft.now >= later(at, MEMORY_MS);
  for (const [key, { at }] of draft.sentOrders) if (isExpired(at)) draft.sentOrders.delete(key);
  for (const [id, at] of draft.dissolved) if (isExpired(at)) draft.dissolved.delete(id);
  for (const deadlines of [draft.suspects, draft.slowMembers]) {
    for (const [id, until] of deadlines) if (draft.now >= until) deadlines.delete(id);
  }
  for (const id of draft.silentSince.keys())
    if (!draft.suspects.has(id)) draft.silentSince.delete(id);
  pruneLoads(draft);
  pruneLosses(draft);
}

/** Makes the next plan. Must be called after each change and periodically, as timeouts are checked here. */
export function planGroups(state: FormingState, view: FormingView, now: MonoTime): Plan {
  const draft = draftOf(state, view, now);
  prune(draft);
  noteModels(draft);
  noteForeignLoads(draft);
  const grouped = [...view.servers.values()].filter(
    ({ membership }) => membership && isConsistent(membership),
  );
  const groups = excludeEvacuated(draft, collectGroups(grouped));
  dropEvacuatedFormations(draft);
  const byId = new Map<GroupId, ReplicaGroup>(groups.map((group) => [group.id, group]));
  for (const id of draft.foreignGroups.keys()) if (!byId.has(id)) draft.foreignGroups.delete(id);
  noteFoundGroups(draft, groups, (group) => {
    const size = sizeOf(draft, group);
    return size !== undefined && knownMembers(draft, group).length >= size;
  });
  observeDepartures(draft);
  for (const group of groups) checkGroup(draft, group);
  advanceFormations(draft, byId);
  advanceRetirements(draft);
  composeGroups(draft, groups, claimDomains(draft, groups));
  return { state: stateOf(draft), orders: draft.effects };
}

/** Records the result of an order; a result for an unknown key is ignored. */
export function noteResult(state: FormingState, key: string, result: OrderResult): FormingState {
  const sent = state.sentOrders.get(key);
  if (!sent) return state;
  return { ...state, sentOrders: new Map(state.sentOrders).set(key, withResult(sent, result)) };
}

function withDeadline(
  deadlines: ReadonlyMap<InstanceId, MonoTime>,
  id: InstanceId,
  until: MonoTime | undefined,
): ReadonlyMap<InstanceId, MonoTime> {
  const changed = new Map(deadlines);
  if (until === undefined) changed.delete(id);
  else changed.set(id, until);
  return changed;
}

/** Suspects a server lost until `until`; without `until` it clears the suspicion. */
export function noteSuspect(state: FormingState, id: InstanceId, until?: MonoTime): FormingState {
  return {
    ...state,
    suspects: withDeadline(state.suspects, id, until),
    silentSince: withDeadline(state.silentSince, id, undefined),
  };
}

/** Suspects a server lost until `until` because it is silent, which was found `now`. */
export function noteSilent(
  state: FormingState,
  id: InstanceId,
  until: MonoTime,
  now: MonoTime,
): FormingState {
  const isProven = state.suspects.has(id) && !state.silentSince.has(id);
  const since = isProven ? undefined : (state.silentSince.get(id) ?? now);
  return {
    ...state,
    suspects: withDeadline(state.suspects, id, until),
    silentSince: withDeadline(state.silentSince, id, since),
  };
}

/**
 * Notes a server as slow until `until`: its group is formed again without it where spares permit, and it
 * is picked last. Without `until` the server has normal speed again.
 */
export function noteSlow(state: FormingState, id: InstanceId, until?: MonoTime): FormingState {
  return { ...state, slowMembers: withDeadline(state.slowMembers, id, until) };
}

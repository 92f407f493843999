/**
 * Forms, opens, ends and replaces the replica groups of one service. A pure plan: from what servers
 * report and what was ordered before, the orders to send now. Whoever holds the lease runs it; a new
 * leader starts with an empty state and adopts the groups that it finds.
 */

import { later } from '../../ids';
import type { GroupId, InstanceId, MonoTime } from '../../ids';
import { collectGroups, isComplete } from '../groups';
import type { ReplicaGroup } from '../groups';
import type { OrderResult } from '../orders';
import type { BackendServer } from '../types';
import { composeGroups } from './compose';
import { advanceFormations, joinCost, openGroup } from './form';
import { pruneLoads } from './loads';
import { collectFreeServers } from './members';
import { pruneLosses, noteLoss } from './reserve';
import { advanceRetirements, startRetirement } from './retire';
import { claimDomain } from './rebalance';
import { isStandby } from './start';
import { draftOf, isSuspect, noteModels, stateOf } from './state';
import type { Draft, FormingState, FormingView, OrderEffect } from './state';

/** Settled orders and dissolved groups are remembered for this long, milliseconds. */
const MEMORY_MS = 60_000;

export interface Plan {
  readonly state: FormingState;
  readonly orders: readonly OrderEffect[];
}

/** Those of the servers whose last entry names the group. */
function membersAmong(
  servers: ReadonlyMap<InstanceId, BackendServer>,
  { id, epoch }: ReplicaGroup,
): BackendServer[] {
  return [...servers.values()].filter(
    ({ membership }) => membership?.group === id && membership.epoch === epoch,
  );
}

/** Members of the group that are not listed any more, and that nothing else speaks against. */
function unseenMembers(draft: Draft, group: ReplicaGroup): BackendServer[] {
  return membersAmong(draft.view.lapsed, group);
}

/** Members of the group whose servers have started again since. */
function endedMembers(draft: Draft, group: ReplicaGroup): BackendServer[] {
  return membersAmong(draft.view.ended, group);
}

/**
 * Why a group must end, or undefined where it may go on. A member that is not listed any more may
 * have lost touch with the platform's list alone: the group serves on unless it is found lost.
 */
function findFault(
  draft: Draft,
  group: ReplicaGroup,
  size: number,
): 'lost' | 'leaving' | undefined {
  const members = [...group.members, ...unseenMembers(draft, group)];
  const isLost = members.length < size || members.some(({ id }) => isSuspect(draft, id));
  if (isLost) return 'lost';
  return members.some(({ isDraining }) => isDraining) ? 'leaving' : undefined;
}

function sizeOf(draft: Draft, group: ReplicaGroup): number | undefined {
  return draft.view.engine.models.find(({ name }) => name === group.model)?.size;
}

function end(draft: Draft, group: ReplicaGroup, step: 'finish' | 'leave', head = group.head): void {
  const { id, epoch, members, model } = group;
  const again = model === undefined ? {} : { model };
  startRetirement(draft, { group: id, epoch, head, members, ...again }, step);
}

/**
 * Whether the group's remaining members and free servers can form a group of its model without a
 * load. Only then is one that still serves replaced: a load takes longer than the member stays.
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

function watchOpen(draft: Draft, group: ReplicaGroup): void {
  const size = sizeOf(draft, group);
  const fault = size === undefined ? undefined : findFault(draft, group, size);
  if (fault === 'lost') {
    noteLoss(draft);
    end(draft, group, 'leave');
  }
  if (fault === 'leaving' && hasReplacement(draft, group)) end(draft, group, 'finish');
}

/** A group whose head is not listed: no request is sent to it, though it may serve. */
function watchHeadless(draft: Draft, group: ReplicaGroup): void {
  const since = draft.foreignGroups.get(group.id) ?? draft.now;
  draft.foreignGroups.set(group.id, since);
  const head = [...unseenMembers(draft, group), ...endedMembers(draft, group)].find(
    ({ membership }) => membership?.rank === 0,
  );
  if (!head || isSuspect(draft, head.id) || draft.view.ended.has(head.id)) {
    end(draft, group, 'leave', head);
    return;
  }
  const isLong = draft.now >= later(since, draft.settings.unlistedHeadMs);
  if (isLong || hasReplacement(draft, group)) end(draft, group, 'finish', head);
}

/** A group that neither serves nor is being formed here: an earlier leader's work, opened if whole. */
function watchStranger(draft: Draft, group: ReplicaGroup): void {
  const since = draft.foreignGroups.get(group.id) ?? draft.now;
  draft.foreignGroups.set(group.id, since);
  const size = sizeOf(draft, group);
  if (size !== undefined && isComplete(group, size) && !findFault(draft, group, size)) {
    openGroup(draft, group);
    return;
  }
  const isLoading = group.members.every(({ membership }) => membership?.state === 'joining');
  const { adoptTimeoutMs: adoptMs } = draft.settings;
  const longest = Math.max(0, ...draft.view.engine.models.map(({ loadMs }) => loadMs));
  const waitMs = isLoading ? adoptMs + longest : adoptMs;
  if (draft.now >= later(since, waitMs)) end(draft, group, 'leave');
}

const WATCH: Readonly<Record<string, (draft: Draft, group: ReplicaGroup) => void>> = {
  open: watchOpen,
  closing: (draft, group) => {
    end(draft, group, 'finish');
  },
  broken: (draft, group) => {
    end(draft, group, 'leave');
  },
  ready: watchStranger,
  joining: watchStranger,
};

/** An entry shows a change within this, milliseconds; some 100 are usual. */
const STALE_ENTRY_MS = 500;

/**
 * A dissolved group whose head reports it anew has been brought back by orders that were carried out
 * late: a join first, then an open. Its members are not free until the head has left again.
 */
function watchGroup(draft: Draft, group: ReplicaGroup): void {
  const { id, head } = group;
  if (draft.retirements.has(id) || isStandby(id)) return;
  const dissolvedAt = draft.dissolved.get(id);
  if (dissolvedAt !== undefined) {
    if (head && draft.now >= later(dissolvedAt, STALE_ENTRY_MS)) end(draft, group, 'leave');
    return;
  }
  const state = head?.membership?.state;
  if (state === 'open') draft.foreignGroups.delete(id);
  if (draft.formations.has(id) && state !== 'broken') return;
  if (state === undefined) watchHeadless(draft, group);
  else WATCH[state]?.(draft, group);
}

function forget(draft: Draft): void {
  const isOld = (at: MonoTime): boolean => draft.now >= later(at, MEMORY_MS);
  for (const [key, { at }] of draft.sentOrders) if (isOld(at)) draft.sentOrders.delete(key);
  for (const [id, at] of draft.dissolved) if (isOld(at)) draft.dissolved.delete(id);
  for (const [id, until] of draft.suspects) if (draft.now >= until) draft.suspects.delete(id);
  pruneLoads(draft);
  pruneLosses(draft);
}

/** Makes the next plan. To be called after each change and every so often. */
export function planGroups(state: FormingState, view: FormingView, now: MonoTime): Plan {
  const draft = draftOf(state, view, now);
  forget(draft);
  noteModels(draft);
  const groups = collectGroups(view.servers.values());
  const byId = new Map<GroupId, ReplicaGroup>(groups.map((group) => [group.id, group]));
  for (const id of draft.foreignGroups.keys()) if (!byId.has(id)) draft.foreignGroups.delete(id);
  for (const group of groups) watchGroup(draft, group);
  advanceFormations(draft, byId);
  advanceRetirements(draft);
  composeGroups(draft, groups, claimDomain(draft, groups));
  return { state: stateOf(draft), orders: draft.effects };
}

/** Takes in what became of an order. */
export function noteResult(state: FormingState, key: string, result: OrderResult): FormingState {
  const sent = state.sentOrders.get(key);
  if (!sent) return state;
  return { ...state, sentOrders: new Map(state.sentOrders).set(key, { ...sent, result }) };
}

/** Believes a server lost until `until`, or no more where it is left out. */
export function noteSuspect(state: FormingState, id: InstanceId, until?: MonoTime): FormingState {
  const suspects = new Map(state.suspects);
  if (until === undefined) suspects.delete(id);
  else suspects.set(id, until);
  return { ...state, suspects };
}

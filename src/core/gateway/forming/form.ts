/** Advances groups being formed: members join, and the head opens once all report that they are ready. */

import type { BackendServer, ModelSpec } from '../types';
import { isComplete } from '../groups';
import type { ReplicaGroup } from '../groups';
import type { GroupId } from '../../ids';
import { startRetirement } from './retire';
import { sendOrder, isSuspect, lastResult, modelOf } from './state';
import type { Draft, Formation } from './state';

function joinOrder({ group, epoch, model, members }: Formation) {
  return { kind: 'join' as const, group, epoch, model, members: members.map(({ id }) => id) };
}

/** Whether a member can no longer become ready in this group. */
function cannotJoin(draft: Draft, formation: Formation, member: BackendServer): boolean {
  const current = draft.view.servers.get(member.id);
  if (!current || current.isDraining || isSuspect(draft, member.id)) return true;
  const result = lastResult(draft, member, joinOrder(formation));
  return result === 'refused' || result === 'other-server' || result === 'not-sent';
}

function reportsGroup(draft: Draft, { group, epoch }: Formation, { id }: BackendServer): boolean {
  const membership = draft.view.servers.get(id)?.membership;
  return membership?.group === group && membership.epoch === epoch;
}

function abandon(draft: Draft, formation: Formation): void {
  const { group, epoch, members, model, isStandby } = formation;
  const reformAs = isStandby ? {} : { model };
  startRetirement(draft, { group, epoch, head: members[0], members, ...reformAs }, 'leave');
}

function advanceFormation(
  draft: Draft,
  formation: Formation,
  group: ReplicaGroup | undefined,
): void {
  const { members } = formation;
  const isBlocked = members.some((member) => cannotJoin(draft, formation, member));
  if (isBlocked || draft.now >= formation.deadline) {
    abandon(draft, formation);
    return;
  }
  for (const member of members) {
    if (!reportsGroup(draft, formation, member)) sendOrder(draft, member, joinOrder(formation));
  }
  if (!group || !isComplete(group, members.length)) return;
  if (formation.isStandby || group.head?.membership?.state === 'open') {
    draft.formations.delete(formation.group);
    return;
  }
  openGroup(draft, group);
}

/** Orders the head to serve. Must be called only for a complete group, as the engine checks no member. */
export function openGroup(draft: Draft, { id, epoch, head }: ReplicaGroup): void {
  if (head) sendOrder(draft, head, { kind: 'open', group: id, epoch });
}

/** Advances every group being formed by one step. */
export function advanceFormations(draft: Draft, groups: ReadonlyMap<GroupId, ReplicaGroup>): void {
  for (const formation of [...draft.formations.values()]) {
    advanceFormation(draft, formation, groups.get(formation.group));
  }
}

/** Cost of making a server ready for a model. */
export interface JoinCost {
  readonly ms: number;
  /** Whether weights must be loaded from the shared store. */
  readonly isLoad: boolean;
}

/** Time of a join after a group of the same model, from the platform's description of engines. */
const REJOIN_MS = 200;
/** Share of the published load time that a load takes before the first request. */
const EARLY_LOAD_SHARE = 0.1;

/** Time until the server can be ready for the model. */
export function joinCost(draft: Draft, server: BackendServer, model: ModelSpec): JoinCost {
  if (modelOf(draft, server) === model.name) return { ms: REJOIN_MS, isLoad: false };
  if (server.staged.includes(model.name)) return { ms: model.warmMs, isLoad: false };
  const share = draft.view.hasTraffic ? 1 : EARLY_LOAD_SHARE;
  return { ms: model.loadMs * share, isLoad: true };
}

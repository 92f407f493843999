/** Takes groups being formed further: joins, then opens once every member reports that it is ready. */

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

/** Whether a member will never come to be ready in this group. */
function isHopeless(draft: Draft, formation: Formation, member: BackendServer): boolean {
  const present = draft.view.servers.get(member.id);
  if (!present || present.isDraining || isSuspect(draft, member.id)) return true;
  const result = lastResult(draft, member, joinOrder(formation));
  return result === 'refused' || result === 'other-server' || result === 'not-sent';
}

function reports(draft: Draft, { group, epoch }: Formation, { id }: BackendServer): boolean {
  const membership = draft.view.servers.get(id)?.membership;
  return membership?.group === group && membership.epoch === epoch;
}

function giveUp(draft: Draft, formation: Formation): void {
  const { group, epoch, members, model, isStandby } = formation;
  const again = isStandby ? {} : { model };
  startRetirement(draft, { group, epoch, head: members[0], members, ...again }, 'leave');
}

function continueOne(draft: Draft, formation: Formation, group: ReplicaGroup | undefined): void {
  const { members } = formation;
  const isLost = members.some((member) => isHopeless(draft, formation, member));
  if (isLost || draft.now >= formation.deadline) {
    giveUp(draft, formation);
    return;
  }
  for (const member of members) {
    if (!reports(draft, formation, member)) sendOrder(draft, member, joinOrder(formation));
  }
  if (!group || !isComplete(group, members.length)) return;
  if (formation.isStandby || group.head?.membership?.state === 'open') {
    draft.formations.delete(formation.group);
    return;
  }
  openGroup(draft, group);
}

/** Orders the head to serve; only ever called for a whole group. */
export function openGroup(draft: Draft, { id, epoch, head }: ReplicaGroup): void {
  if (head) sendOrder(draft, head, { kind: 'open', group: id, epoch });
}

/** Takes every group being formed a step further. */
export function advanceFormations(draft: Draft, groups: ReadonlyMap<GroupId, ReplicaGroup>): void {
  for (const formation of [...draft.formations.values()]) {
    continueOne(draft, formation, groups.get(formation.group));
  }
}

/** Time until a server can be ready for a model, milliseconds, and whether weights must be loaded. */
export interface JoinCost {
  readonly ms: number;
  readonly isLoad: boolean;
}

/** A join after a group of the same model; taken from the platform's description of engines. */
const REJOIN_MS = 200;
/** Loads before the first request take this share of the usual time. */
const EARLY_LOAD_SHARE = 0.1;

export function joinCost(draft: Draft, server: BackendServer, model: ModelSpec): JoinCost {
  if (modelOf(draft, server) === model.name) return { ms: REJOIN_MS, isLoad: false };
  if (server.staged.includes(model.name)) return { ms: model.warmMs, isLoad: false };
  const share = draft.view.hasTraffic ? 1 : EARLY_LOAD_SHARE;
  return { ms: model.loadMs * share, isLoad: true };
}

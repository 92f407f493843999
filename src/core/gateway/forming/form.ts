/** Advances groups being formed: members join, and the head opens once all report that they are ready. */

import { later } from '../../ids';
import type { GroupId } from '../../ids';
import { isComplete } from '../groups';
import type { ReplicaGroup } from '../groups';
import type { OrderResult } from '../orders';
import type { BackendServer, ModelSpec } from '../types';
import { hasReopened } from './late-orders';
import { dropLoads } from './loads';
import { startRetirement } from './retire';
import { sendOrder, lastResult } from './sent-orders';
import { isSuspect, modelOf } from './state';
import type { Draft, Formation } from './state';

function joinOrder({ group, epoch, model, members }: Formation) {
  return { kind: 'join' as const, group, epoch, model, members: members.map(({ id }) => id) };
}

/** Results of a join after which the member cannot become ready in this group. */
const FAILED_JOINS: ReadonlySet<OrderResult | undefined> = new Set<OrderResult>([
  'refused',
  'other-server',
  'not-sent',
]);

/**
 * Time for which a server is left out of groups after a join that did not reach its process, by the result
 * of that join. The entry of an ended process is removed within a few seconds, and the next process has
 * another id.
 */
const UNAVAILABLE_MS: Readonly<Partial<Record<OrderResult, number>>> = {
  'other-server': 20_000,
  'not-sent': 4_000,
};

function joinResult(
  draft: Draft,
  formation: Formation,
  member: BackendServer,
): OrderResult | undefined {
  return lastResult(draft, member, joinOrder(formation));
}

/** Whether a member can no longer become ready in this group. */
function cannotJoin(draft: Draft, formation: Formation, member: BackendServer): boolean {
  const current = draft.view.servers.get(member.id);
  if (!current || current.isDraining || isSuspect(draft, member.id)) return true;
  return FAILED_JOINS.has(joinResult(draft, formation, member));
}

/**
 * Leaves members that didn't receive their join out of the next groups.
 *
 * Load pattern: a zone is lost and its servers return within a second of each other, while entries of the
 * ended processes are still listed. A group that includes such an entry fails, and forming it again with the
 * same entry makes all its members join and leave many times.
 */
function excludeUnavailable(draft: Draft, formation: Formation): void {
  const failed = formation.members.filter((member) =>
    FAILED_JOINS.has(joinResult(draft, formation, member)),
  );
  dropLoads(draft, failed);
  for (const member of failed) {
    const result = joinResult(draft, formation, member);
    const excludedMs = result && UNAVAILABLE_MS[result];
    if (excludedMs !== undefined) draft.suspects.set(member.id, later(draft.now, excludedMs));
  }
}

/** Whether a late order of an earlier leader has opened the member's previous group again. */
function mustWait(draft: Draft, { id }: BackendServer): boolean {
  const current = draft.view.servers.get(id)?.membership?.group;
  return current !== undefined && hasReopened(draft, current);
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
  const { members, isStandby } = formation;
  const isWhole = group !== undefined && isComplete(group, members.length);
  // One that serves may hold answers, of whoever sent to it while this leader read no entries.
  const isOpen = group?.head?.membership?.state === 'open';
  if (isOpen || (isStandby && isWhole)) {
    draft.formations.delete(formation.group);
    return;
  }
  const isBlocked = members.some((member) => cannotJoin(draft, formation, member));
  const isNewlyWhole = isWhole && formation.isComplete !== true;
  const isOverdue = !isNewlyWhole && draft.now >= formation.deadline;
  if (isBlocked || isOverdue) {
    excludeUnavailable(draft, formation);
    abandon(draft, formation);
    return;
  }
  if (isNewlyWhole) {
    const deadline = later(draft.now, draft.settings.joinSlackMs);
    draft.formations.set(formation.group, { ...formation, isComplete: true, deadline });
  }
  for (const member of members) {
    if (reportsGroup(draft, formation, member) || mustWait(draft, member)) continue;
    sendOrder(draft, member, joinOrder(formation));
  }
  if (isWhole) openGroup(draft, group);
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

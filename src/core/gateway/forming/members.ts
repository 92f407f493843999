/** Selects the servers that a group may be formed from, and those that suit a model best. */

import type { DomainId, InstanceId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { BackendServer, Membership, ModelSpec } from '../types';
import { isEvacuated } from './evacuated';
import { joinCost } from './form';
import { hasReopened, isHeadToOpen } from './late-orders';
import { isConsistent, isStandby } from './start';
import { isSlow, isSuspect } from './state';
import type { Draft, Retirement } from './state';

/** Whether the membership is of a group whose head can no longer serve; one with a wrong epoch tells nothing. */
function hasEnded({ dissolved }: Draft, membership: Membership): boolean {
  return dissolved.has(membership.group) && isConsistent(membership);
}

/** Servers that may join a group now, by domain. */
export function collectFreeServers(draft: Draft): ReadonlyMap<DomainId, BackendServer[]> {
  const taken = new Set<InstanceId>();
  for (const { members } of draft.formations.values()) for (const { id } of members) taken.add(id);
  for (const { members } of draft.retirements.values()) for (const { id } of members) taken.add(id);
  const free = new Map<DomainId, BackendServer[]>();
  for (const server of draft.view.servers.values()) {
    const { id, domain, isDraining, membership } = server;
    if (domain === undefined || isDraining || taken.has(id) || isSuspect(draft, id)) continue;
    if (isEvacuated(draft, server)) continue;
    if (membership && !isStandby(membership.group) && !hasEnded(draft, membership)) continue;
    if (membership && (hasReopened(draft, membership.group) || isHeadToOpen(draft, server)))
      continue;
    const domainServers = free.get(domain);
    if (domainServers) domainServers.push(server);
    else free.set(domain, [server]);
  }
  return free;
}

/** Current entries of those members of an ending group that can join another one. */
export function remainingMembers(draft: Draft, members: readonly BackendServer[]): BackendServer[] {
  return members.flatMap(({ id }) => {
    const server = draft.view.servers.get(id);
    if (!server || server.isDraining || isSuspect(draft, id)) return [];
    return isEvacuated(draft, server) ? [] : [server];
  });
}

/**
 * Whether the members of an ending group are expected to be free soon.
 *
 * Load pattern: entries remain of servers that carry out no order, and name a group without a head. It cannot be
 * ended, and its members stay bound. Nothing else may wait for them: servers kept for that group would be idle for good.
 */
export function isReturning({ now }: Draft, { dueAt }: Retirement): boolean {
  return now < dueAt;
}

/** Current entries of the members of an ending group that are expected to join another one soon. */
export function returningMembers(draft: Draft, retirement: Retirement): BackendServer[] {
  return isReturning(draft, retirement) ? remainingMembers(draft, retirement.members) : [];
}

/** Number of servers in each domain, without those that leave or are bound to a group that does not end. */
export function countByDomain(draft: Draft): ReadonlyMap<DomainId, number> {
  const bound = new Set<InstanceId>();
  for (const retirement of draft.retirements.values())
    if (!isReturning(draft, retirement)) for (const { id } of retirement.members) bound.add(id);
  const counts = new Map<DomainId, number>();
  for (const { id, domain, isDraining } of draft.view.servers.values()) {
    if (domain === undefined || isDraining || bound.has(id)) continue;
    counts.set(domain, (counts.get(domain) ?? 0) + 1);
  }
  return counts;
}

/**
 * Moves slow servers behind all others that join as they do, with or without a weight load: a group of
 * a slow server is worth more than one that waits for a load.
 */
function putSlowLast(draft: Draft, sorted: BackendServer[], model: ModelSpec): BackendServer[] {
  if (!sorted.some(({ id }) => isSlow(draft, id))) return sorted;
  const rank = (server: BackendServer): number =>
    (joinCost(draft, server, model).isLoad ? 2 : 0) + (isSlow(draft, server.id) ? 1 : 0);
  return sorted.sort((a, b) => rank(a) - rank(b));
}

/**
 * The servers by the time in which they are ready for the model; ties go to those least useful to other
 * models, and slow servers come last.
 */
export function sortByJoinTime(
  draft: Draft,
  free: readonly BackendServer[],
  model: ModelSpec,
): BackendServer[] {
  const others = draft.view.engine.models.filter(({ name }) => name !== model.name);
  const minOtherJoinMs = (server: BackendServer): number =>
    Math.min(...others.map((other) => joinCost(draft, server, other).ms));
  const sorted = [...free].sort(
    (a, b) =>
      joinCost(draft, a, model).ms - joinCost(draft, b, model).ms ||
      minOtherJoinMs(b) - minOtherJoinMs(a) ||
      compareText(a.id, b.id),
  );
  return putSlowLast(draft, sorted, model);
}

/** The free servers that suit a group of the model best. */
export function pickMembers(
  draft: Draft,
  free: readonly BackendServer[],
  model: ModelSpec,
): BackendServer[] {
  return sortByJoinTime(draft, free, model).slice(0, model.size);
}

/** Number of the servers that must load the model's weights from the shared store. */
export function countRequiredLoads(
  draft: Draft,
  servers: readonly BackendServer[],
  model: ModelSpec,
): number {
  return servers.filter((server) => joinCost(draft, server, model).isLoad).length;
}

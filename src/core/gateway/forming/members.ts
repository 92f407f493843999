/** Selects the servers that a group may be formed from, and those that suit a model best. */

import type { DomainId, InstanceId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { BackendServer, ModelSpec } from '../types';
import { isEvacuated } from './evacuated';
import { joinCost } from './form';
import { isStandby } from './start';
import { isSuspect } from './state';
import type { Draft } from './state';

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
    const isBound =
      membership && !isStandby(membership.group) && !draft.dissolved.has(membership.group);
    if (isBound) continue;
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

/** The free servers that are ready for the model soonest; ties go to those least useful to other models. */
export function pickMembers(
  draft: Draft,
  free: readonly BackendServer[],
  model: ModelSpec,
): BackendServer[] {
  const others = draft.view.engine.models.filter(({ name }) => name !== model.name);
  const minOtherJoinMs = (server: BackendServer): number =>
    Math.min(...others.map((other) => joinCost(draft, server, other).ms));
  return [...free]
    .sort(
      (a, b) =>
        joinCost(draft, a, model).ms - joinCost(draft, b, model).ms ||
        minOtherJoinMs(b) - minOtherJoinMs(a) ||
        compareText(a.id, b.id),
    )
    .slice(0, model.size);
}

/** Number of the servers that must load the model's weights from the shared store. */
export function countRequiredLoads(
  draft: Draft,
  servers: readonly BackendServer[],
  model: ModelSpec,
): number {
  return servers.filter((server) => joinCost(draft, server, model).isLoad).length;
}

/** The servers that a group may be formed of, and which of them suit a model best. */

import type { DomainId, InstanceId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { BackendServer, ModelSpec } from '../types';
import { joinCost } from './form';
import { isStandby } from './start';
import { isSuspect } from './state';
import type { Draft } from './state';

/** Servers that may be ordered into a group now, by domain. */
export function collectFreeServers(draft: Draft): ReadonlyMap<DomainId, BackendServer[]> {
  const taken = new Set<InstanceId>();
  for (const { members } of draft.formations.values()) for (const { id } of members) taken.add(id);
  for (const { members } of draft.retirements.values()) for (const { id } of members) taken.add(id);
  const free = new Map<DomainId, BackendServer[]>();
  for (const server of draft.view.servers.values()) {
    const { id, domain, isDraining, membership } = server;
    if (domain === undefined || isDraining || taken.has(id) || isSuspect(draft, id)) continue;
    const isBound =
      membership && !isStandby(membership.group) && !draft.dissolved.has(membership.group);
    if (isBound) continue;
    const found = free.get(domain);
    if (found) found.push(server);
    else free.set(domain, [server]);
  }
  return free;
}

/** Those of an ending group's members that go on to another one, as their entries stand now. */
export function remainingMembers(draft: Draft, members: readonly BackendServer[]): BackendServer[] {
  return members.flatMap(({ id }) => {
    const server = draft.view.servers.get(id);
    return !server || server.isDraining || isSuspect(draft, id) ? [] : [server];
  });
}

/** The servers that are ready for the model soonest; among equals those of least use to other models. */
export function pickMembers(
  draft: Draft,
  free: readonly BackendServer[],
  model: ModelSpec,
): BackendServer[] {
  const others = draft.view.engine.models.filter(({ name }) => name !== model.name);
  const elsewhere = (server: BackendServer): number =>
    Math.min(...others.map((other) => joinCost(draft, server, other).ms));
  return [...free]
    .sort(
      (a, b) =>
        joinCost(draft, a, model).ms - joinCost(draft, b, model).ms ||
        elsewhere(b) - elsewhere(a) ||
        compareText(a.id, b.id),
    )
    .slice(0, model.size);
}

export function countRequiredLoads(
  draft: Draft,
  servers: readonly BackendServer[],
  model: ModelSpec,
): number {
  return servers.filter((server) => joinCost(draft, server, model).isLoad).length;
}

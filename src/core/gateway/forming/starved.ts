/**
 * Gives a model that has lost all its groups one from a model that has several.
 *
 * Load pattern: several members of the only groups of a model are lost at once, and its free members
 * are fewer than a group needs. What is free goes to smaller groups of other models, and every caller
 * of the model is refused until as many servers come anew. The model is then formed in the domain
 * where the fewest groups end for it, and no other model is left without a group.
 */

import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ReplicaGroup } from '../groups';
import type { ModelSpec } from '../types';
import { countGroups } from './compose';
import { collectFree } from './members';
import { rankByNeed } from './need';
import { startRetirement } from './retire';
import { isStandby } from './start';
import { isSuspect } from './state';
import type { Draft } from './state';

/** Domains whose free servers are kept for one model. */
export type Claims = ReadonlyMap<DomainId, ModelSpec>;

/** Servers of each domain that are free, or will be once their groups have ended. */
function countReachable(draft: Draft): Map<DomainId, number> {
  const counts = new Map<DomainId, number>();
  const add = (domain: DomainId | undefined, count: number): void => {
    if (domain !== undefined) counts.set(domain, (counts.get(domain) ?? 0) + count);
  };
  for (const [domain, free] of collectFree(draft)) add(domain, free.length);
  for (const { members } of draft.retirements.values()) {
    for (const { id } of members) {
      const server = draft.view.servers.get(id);
      if (server && !server.isDraining && !isSuspect(draft, id)) add(server.domain, 1);
    }
  }
  return counts;
}

/** Groups of one domain that would end for a model. */
interface Sacrifice {
  readonly domain: DomainId;
  readonly groups: readonly ReplicaGroup[];
}

/** The groups to end in a domain, so that enough servers are free there; undefined where none suffice. */
function findSacrifice(
  inDomain: readonly ReplicaGroup[],
  lackingServers: number,
  spareGroups: ReadonlyMap<ModelId, number>,
): readonly ReplicaGroup[] | undefined {
  const left = new Map(spareGroups);
  const chosen: ReplicaGroup[] = [];
  let lacking = lackingServers;
  // A large group frees what is lacking with one end; among equals the model with most groups gives.
  const sorted = [...inDomain].sort(
    (a, b) =>
      b.members.length - a.members.length ||
      (spareGroups.get(b.model ?? ('' as ModelId)) ?? 0) -
        (spareGroups.get(a.model ?? ('' as ModelId)) ?? 0) ||
      compareText(a.id, b.id),
  );
  for (const group of sorted) {
    const spare = group.model === undefined ? 0 : (left.get(group.model) ?? 0);
    if (lacking <= 0 || spare <= 0 || group.model === undefined) continue;
    left.set(group.model, spare - 1);
    chosen.push(group);
    lacking -= group.members.length;
  }
  return lacking <= 0 ? chosen : undefined;
}

/** Groups that a model can lose and still have one that serves. */
function spareGroups(draft: Draft, counts: ReadonlyMap<ModelId, number>): Map<ModelId, number> {
  return new Map(
    draft.view.engine.models.map(({ name }) => [name, Math.max(0, (counts.get(name) ?? 0) - 1)]),
  );
}

function chooseSacrifice(
  draft: Draft,
  model: ModelSpec,
  groups: readonly ReplicaGroup[],
  reachable: ReadonlyMap<DomainId, number>,
): Sacrifice | undefined {
  const serving = groups.filter(
    ({ id, head }) =>
      head?.membership?.state === 'open' && !draft.retirements.has(id) && !isStandby(id),
  );
  const spare = spareGroups(draft, countGroups(draft, groups));
  const domains = new Set(serving.flatMap(({ domain }) => domain ?? []));
  return [...domains]
    .flatMap((domain): Sacrifice[] => {
      const inDomain = serving.filter((group) => group.domain === domain);
      const lacking = model.size - (reachable.get(domain) ?? 0);
      const chosen = findSacrifice(inDomain, lacking, spare);
      return chosen ? [{ domain, groups: chosen }] : [];
    })
    .sort((a, b) => a.groups.length - b.groups.length || compareText(a.domain, b.domain))[0];
}

/** Keeps a domain for a model without groups, ending groups of others there if need be. */
export function claimForStarved(draft: Draft, groups: readonly ReplicaGroup[]): Claims {
  // Before callers come all groups are being formed, and loads take a fraction of their time.
  if (!draft.view.hasTraffic) return new Map();
  const counts = countGroups(draft, groups);
  const model = rankByNeed(draft, counts).find((need) => need.groups === 0)?.model;
  if (!model) return new Map();
  const reachable = countReachable(draft);
  const [enough] = [...reachable]
    .filter(([, servers]) => servers >= model.size)
    .sort(([a, servers], [b, others]) => others - servers || compareText(a, b));
  if (enough) return new Map([[enough[0], model]]);
  const sacrifice = chooseSacrifice(draft, model, groups, reachable);
  if (!sacrifice) return new Map();
  for (const { id, epoch, head, members } of sacrifice.groups) {
    startRetirement(draft, { group: id, epoch, head, members }, 'finish');
  }
  return new Map([[sacrifice.domain, model]]);
}

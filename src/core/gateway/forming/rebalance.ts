/**
 * Rebalances groups: ends groups of a model that has enough and gives their servers to one that lacks them.
 *
 * Load pattern: members are lost every few seconds. Each loss costs a large model a complete group if its
 * domain has no spare left, while a small model has more groups than its load fills. Two cases:
 *
 * - A model without any group, all of whose callers are refused: it gets a group even if that takes
 *   weight loads.
 * - A model whose groups are nearly full: only if all members can join without a weight load, which takes
 *   longer than the time to the next loss, and only if the fullest model then becomes clearly less full.
 */

import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ReplicaGroup } from '../groups';
import type { BackendServer, ModelSpec } from '../types';
import { countGroups } from './compose';
import { joinCost } from './form';
import { collectFreeServers, returningMembers } from './members';
import { rankByNeed } from './need';
import type { ModelNeed } from './need';
import { startRetirement } from './retire';
import { isStandby } from './start';
import { isEnabled } from './state';
import type { Draft } from './state';

/** Domains whose free servers are kept for a single model. */
export type DomainClaims = ReadonlyMap<DomainId, ModelSpec>;

/** Offered load per group above which a model may be given servers of another one. */
const FULL_LOAD = 0.7;
/**
 * Factor to which the fullest model's load per group must fall: the gain is then worth the change, and
 * the change isn't undone at once.
 */
const CLEAR_GAIN = 0.85;

type ObtainableServers = ReadonlyMap<DomainId, readonly BackendServer[]>;

/** Servers of each domain that are free or will be once their groups have ended. */
function collectObtainable(draft: Draft): ObtainableServers {
  const byDomain = new Map<DomainId, BackendServer[]>();
  const add = (server: BackendServer): void => {
    if (server.domain === undefined) return;
    byDomain.set(server.domain, [...(byDomain.get(server.domain) ?? []), server]);
  };
  for (const free of collectFreeServers(draft).values()) free.forEach(add);
  for (const retirement of draft.retirements.values())
    returningMembers(draft, retirement).forEach(add);
  return byDomain;
}

/** Groups of one domain that would be ended in favour of a model. */
export interface Preemption {
  readonly domain: DomainId;
  readonly groups: readonly ReplicaGroup[];
}

/** A model that lacks a group, and what may be spent on one. */
export interface GroupRequest {
  readonly model: ModelSpec;
  /** Whether weights may be loaded for it. */
  readonly mayLoad: boolean;
  /** Number of groups that each other model can release. */
  readonly spare: ReadonlyMap<ModelId, number>;
}

/** Number of the servers that can be used for the model's group. */
function countUsable(
  draft: Draft,
  request: GroupRequest,
  servers: readonly BackendServer[],
): number {
  if (request.mayLoad) return servers.length;
  return servers.filter((server) => !joinCost(draft, server, request.model).isLoad).length;
}

/** The groups to end in a domain so that enough servers become free; undefined if that isn't possible. */
export function findPreemption(
  draft: Draft,
  request: GroupRequest,
  inDomain: readonly ReplicaGroup[],
  obtainable: readonly BackendServer[],
): readonly ReplicaGroup[] | undefined {
  const remainingSpare = new Map(request.spare);
  const preempted: ReplicaGroup[] = [];
  let missing = request.model.size - countUsable(draft, request, obtainable);
  // Ending a large group may free enough servers at once; ties go to the model with the most groups to spare.
  const sorted = inDomain
    .flatMap((group) => (group.model === undefined ? [] : [{ ...group, model: group.model }]))
    .sort(
      (a, b) =>
        b.members.length - a.members.length ||
        (request.spare.get(b.model) ?? 0) - (request.spare.get(a.model) ?? 0) ||
        compareText(a.id, b.id),
    );
  for (const group of sorted) {
    const spare = remainingSpare.get(group.model) ?? 0;
    const gain = countUsable(draft, request, group.members);
    if (missing <= 0 || spare <= 0 || gain === 0) continue;
    remainingSpare.set(group.model, spare - 1);
    preempted.push(group);
    missing -= gain;
  }
  return missing <= 0 ? preempted : undefined;
}

/** The groups that may be ended for another model. */
export function listPreemptible(
  draft: Draft,
  groups: readonly ReplicaGroup[],
): readonly ReplicaGroup[] {
  return groups.filter(
    ({ id, head }) =>
      head?.membership?.state === 'open' && !draft.retirements.has(id) && !isStandby(id),
  );
}

function choosePreemption(
  draft: Draft,
  request: GroupRequest,
  groups: readonly ReplicaGroup[],
  obtainable: ObtainableServers,
): Preemption | undefined {
  const serving = listPreemptible(draft, groups);
  const domains = new Set([...obtainable.keys(), ...serving.flatMap(({ domain }) => domain ?? [])]);
  return [...domains]
    .flatMap((domain): Preemption[] => {
      const inDomain = serving.filter((group) => group.domain === domain);
      const preempted = findPreemption(draft, request, inDomain, obtainable.get(domain) ?? []);
      return preempted ? [{ domain, groups: preempted }] : [];
    })
    .sort((a, b) => a.groups.length - b.groups.length || compareText(a.domain, b.domain))[0];
}

/**
 * Groups that a model can release while its load per group stays below `limit`; one always remains, and as
 * many as the recent peak of its load fills.
 */
function countSpare({ work, peak, groups }: ModelNeed, limit: number): number {
  const needed = Math.max(1, Math.ceil(work / limit), Math.ceil(peak));
  return Math.max(0, groups - needed);
}

function findGroupRequest(needs: readonly ModelNeed[]): GroupRequest | undefined {
  const groupless = needs.find(({ groups }) => groups === 0);
  if (groupless) {
    const others = needs.filter(({ groups }) => groups > 0);
    const spare = new Map(others.map(({ model, groups }) => [model.name, groups - 1]));
    return { model: groupless.model, mayLoad: true, spare };
  }
  const [fullest] = [...needs].sort((a, b) => b.work / b.groups - a.work / a.groups);
  const fullness = fullest ? fullest.work / fullest.groups : 0;
  if (!fullest || fullness < FULL_LOAD) return undefined;
  const others = needs.filter((need) => need !== fullest);
  const spare = new Map(
    others.map((need) => [need.model.name, countSpare(need, fullness * CLEAR_GAIN)]),
  );
  return { model: fullest.model, mayLoad: false, spare };
}

/** Claims a domain for a model that lacks groups, and ends groups of other models there if necessary. */
export function claimDomain(draft: Draft, groups: readonly ReplicaGroup[]): DomainClaims {
  // Before the first callers all groups are still being formed, and loads take a fraction of their time.
  if (!draft.view.hasTraffic || !draft.view.offeredLoad || !isEnabled(draft, 'rebalance'))
    return new Map();
  const request = findGroupRequest(rankByNeed(draft, countGroups(draft, groups)));
  const preemption = request && choosePreemption(draft, request, groups, collectObtainable(draft));
  if (!preemption) return new Map();
  for (const { id, epoch, head, members } of preemption.groups) {
    startRetirement(draft, { group: id, epoch, head, members }, 'finish');
  }
  return new Map([[preemption.domain, request.model]]);
}

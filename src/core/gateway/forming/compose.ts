/** Chooses which groups to form from a domain's free servers. */

import { later } from '../../ids';
import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { BackendServer, ModelSpec } from '../types';
import type { ReplicaGroup } from '../groups';
import { excludeHeldSpares } from './held-spares';
import { canStartLoads } from './loads';
import { collectFreeServers, countRequiredLoads, pickMembers } from './members';
import { isUnderprovisioned, isGroupWorthwhile, rankByNeed } from './need';
import type { ModelNeed } from './need';
import { countReserve } from './reserve';
import { prepareSpares, stageMembers } from './spares';
import { GROUP_PREFIX, isStandby, startFormation } from './start';
import type { Draft } from './state';

/**
 * Loads run at a time, in what the weight store gives without slowing down. A little more than all of
 * it, since a whole group starts at once and would often leave a part unused.
 */
const LOAD_CROWD = 1.5;

/** Groups of each model that serve or soon will. */
export function countGroups(draft: Draft, groups: Iterable<ReplicaGroup>): Map<ModelId, number> {
  const counts = new Map<ModelId, number>();
  const add = (model: ModelId | undefined): void => {
    if (model !== undefined) counts.set(model, (counts.get(model) ?? 0) + 1);
  };
  for (const { id, model, head } of groups) {
    const isEnding = draft.retirements.has(id) || draft.dissolved.has(id);
    if (isEnding || isStandby(id) || draft.formations.has(id) || !head) continue;
    add(model);
  }
  for (const { model, isStandby: isSpare } of draft.formations.values()) if (!isSpare) add(model);
  return counts;
}

/** A model that a group could be formed of now. */
interface Candidate extends ModelNeed {
  /** Weight loads that its group would take. */
  readonly loads: number;
  /** Whether it would take servers that are kept for losses. */
  readonly usesReserve: boolean;
}

/** The models that the domain's free servers suffice for, the one that lacks groups most first. */
function listCandidates(
  draft: Draft,
  needs: readonly ModelNeed[],
  { free, reserve }: FreeDomain,
): readonly Candidate[] {
  const all = needs
    .filter(({ model }) => model.size <= free.length)
    .map((need): Candidate => {
      const { model } = need;
      const loads = countRequiredLoads(draft, pickMembers(draft, free, model), model);
      return { ...need, loads, usesReserve: model.size > free.length - reserve };
    });
  const cheapest = Math.min(
    Infinity,
    ...all.filter(({ usesReserve }) => !usesReserve).map(({ loads }) => loads),
  );
  // Servers are kept for losses: a group that lost a member is put together again with them, rather
  // than its others being loaded with another model.
  const mayUseReserve = ({ loads, ...need }: Candidate): boolean =>
    loads === 0 || (loads < cheapest && (cheapest < Infinity || isUnderprovisioned(draft, need)));
  return all.filter((candidate) => {
    if (!candidate.usesReserve) return candidate.loads === 0 || isGroupWorthwhile(draft, candidate);
    return isGroupWorthwhile(draft, candidate) && mayUseReserve(candidate);
  });
}

/**
 * The model to form a group of. One that needs no weights loaded goes first. Otherwise the one that
 * lacks groups most, and while further servers may come to the domain only that one.
 */
function pickModel(
  draft: Draft,
  counts: ReadonlyMap<ModelId, number>,
  domain: FreeDomain,
): ModelSpec | undefined {
  const { claimant, free } = domain;
  if (claimant) return claimant.size <= free.length ? claimant : undefined;
  const needs = rankByNeed(draft, counts);
  const candidates = listCandidates(draft, needs, domain);
  const first = candidates.find(({ loads }) => loads === 0) ?? candidates[0];
  const isSure = first?.loads === 0 || domain.isSettled || first?.model === needs[0]?.model;
  return isSure ? first?.model : undefined;
}

/** Whether servers have stopped coming to the domain. */
function isSettled(draft: Draft, domain: DomainId, servers: number): boolean {
  const known = draft.arrivals.get(domain);
  if (known?.servers !== servers) {
    draft.arrivals.set(domain, { servers, at: draft.now });
    return false;
  }
  return draft.now >= later(known.at, draft.settings.settleMs);
}

/** A domain with servers that are free. */
interface FreeDomain {
  readonly domain: DomainId;
  readonly free: readonly BackendServer[];
  /** Servers of it that are kept for losses. */
  readonly reserve: number;
  readonly isSettled: boolean;
  /** A model that lacks groups, for which the domain's free servers are kept. */
  readonly claimant?: ModelSpec;
}

/** Starts one group in the domain, if one is lacking for which there are servers and loads. */
function formOne(
  draft: Draft,
  domain: FreeDomain,
  counts: Map<ModelId, number>,
): readonly BackendServer[] {
  const { free } = domain;
  const model = pickModel(draft, counts, domain);
  if (!model) return [];
  const members = pickMembers(draft, free, model);
  const loads = countRequiredLoads(draft, members, model);
  if (!canStartLoads(draft, loads, draft.view.engine.loadsAtOnce * LOAD_CROWD)) return [];
  startFormation(draft, model, members, GROUP_PREFIX);
  counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
  return members;
}

/** What is left of the domain once a group was formed there; a claim on it has been met. */
function withoutMembers(
  { domain, free, reserve, isSettled }: FreeDomain,
  members: readonly BackendServer[],
): FreeDomain {
  return {
    domain,
    free: free.filter((server) => !members.includes(server)),
    reserve,
    isSettled,
  };
}

/** Starts new groups, one a domain in turn, and prepares spares. */
export function composeGroups(
  draft: Draft,
  groups: readonly ReplicaGroup[],
  claims: ReadonlyMap<DomainId, ModelSpec>,
): void {
  const counts = countGroups(draft, groups);
  let domains = freeDomains(draft, claims);
  for (let isDone = false; !isDone;) {
    isDone = true;
    domains = domains.map((domain) => {
      const members = formOne(draft, domain, counts);
      if (members.length === 0) return domain;
      isDone = false;
      return withoutMembers(domain, members);
    });
  }
  for (const { domain, free, isSettled: isComplete, claimant } of domains) {
    if (isComplete && !claimant) prepareSpares(draft, domain, free);
  }
  stageMembers(draft, groups);
}

function freeDomains(draft: Draft, claims: ReadonlyMap<DomainId, ModelSpec>): FreeDomain[] {
  const sizes = new Map<DomainId, number>();
  for (const { domain, isDraining } of draft.view.servers.values()) {
    if (domain !== undefined && !isDraining) sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
  }
  return [...collectFreeServers(draft)]
    .sort(([a], [b]) => compareText(a, b))
    .map(([domain, free]) => {
      const servers = sizes.get(domain) ?? 0;
      const claimant = claims.get(domain);
      return {
        ...(claimant && { claimant }),
        domain,
        free: excludeHeldSpares(draft, domain, free),
        reserve: countReserve(draft, servers, sizes.size),
        isSettled: isSettled(draft, domain, servers),
      };
    });
}

/** Decides which groups to form from each domain's free servers. */

import { later } from '../../ids';
import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { BackendServer, ModelSpec } from '../types';
import type { ReplicaGroup } from '../groups';
import { excludeHeldSpares } from './held-spares';
import { canStartLoads } from './loads';
import {
  collectFreeServers,
  countByDomain,
  countRequiredLoads,
  isReturning,
  pickMembers,
} from './members';
import {
  isUnderprovisioned,
  isGroupWorthwhile,
  isWorthLoads,
  isWorthReserve,
  rankByNeed,
} from './need';
import type { ModelNeed } from './need';
import { noteClaimUsed } from './reassignments';
import { countReserve } from './reserve';
import { prepareSpares, stageMembers } from './spares';
import { GROUP_PREFIX, isStandby, startFormation } from './start';
import type { Draft } from './state';

/**
 * Factor on the concurrent loads that the weight store sustains without slowing down. Above 1, since
 * members of a group load at once and would often leave part of that rate unused.
 */
const LOAD_OVERCOMMIT = 1.5;

/** Number of groups of each model that serve or are being formed, without standby groups. */
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
  for (const { model, isStandby: isStandbyGroup } of draft.formations.values())
    if (!isStandbyGroup) add(model);
  return counts;
}

/** A model that a group could be formed for now. */
interface Candidate extends ModelNeed {
  /** Weight loads that its group would need. */
  readonly loads: number;
  /** Whether it would use reserved servers. */
  readonly usesReserve: boolean;
}

/** Models that the domain's free servers suffice for and that may be formed, the neediest first. */
function listCandidates(
  draft: Draft,
  needs: readonly ModelNeed[],
  { free, reserve, grouped }: FreeDomain,
): readonly Candidate[] {
  const candidates = needs
    .filter(({ model }) => model.size <= free.length)
    .map((need): Candidate => {
      const { model } = need;
      const loads = countRequiredLoads(draft, pickMembers(draft, free, model), model);
      return { ...need, loads, usesReserve: model.size > free.length - reserve };
    });
  const cheapest = Math.min(
    Infinity,
    ...candidates.filter(({ usesReserve }) => !usesReserve).map(({ loads }) => loads),
  );
  // The reserve replaces lost members: a group that lost one is formed again with reserved servers,
  // which is cheaper than loading its remaining members with another model. Before the first caller
  // nothing was lost yet, and a further group would leave no spare for the first loss.
  const mayUseReserve = ({ loads, ...need }: Candidate): boolean => {
    if (loads === 0 && !draft.view.hasTraffic) return false;
    const isWorthSpares = isWorthReserve(draft, need, needs, grouped);
    if (loads === 0 && isWorthSpares) return true;
    // Refused callers are missing in the offered load, but not in the demand that the worth rests on.
    const isNeeded = isUnderprovisioned(draft, need) || (isWorthLoads(need) && isWorthSpares);
    return loads < cheapest && (cheapest < Infinity || isNeeded);
  };
  return candidates.filter((candidate) => {
    if (!candidate.usesReserve) return candidate.loads === 0 || isGroupWorthwhile(draft, candidate);
    return isGroupWorthwhile(draft, candidate) && mayUseReserve(candidate);
  });
}

/** Whether loads for a group may start now. */
function canStart(draft: Draft, loads: number): boolean {
  return canStartLoads(draft, loads, draft.view.engine.loadsAtOnce * LOAD_OVERCOMMIT);
}

/**
 * While models compete for servers: the model whose group is worth most per server, of those that need no
 * weight load if there is one. Servers don't wait for a load that cannot start yet.
 */
function findWorthiest(draft: Draft, candidates: readonly Candidate[]): Candidate | undefined {
  return candidates
    .filter(({ value, loads }) => value > 0 && canStart(draft, loads))
    .sort((a, b) => Number(a.loads > 0) - Number(b.loads > 0) || b.value - a.value)[0];
}

/**
 * The model to form the next group for. One that needs no weight load goes first, then the neediest.
 * While more servers may still join the domain, a load is started only for the neediest model of all.
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
  const first =
    findWorthiest(draft, candidates) ??
    candidates.find(({ loads }) => loads === 0) ??
    candidates[0];
  const isFinal = first?.loads === 0 || domain.isSettled || first?.model === needs[0]?.model;
  return isFinal ? first?.model : undefined;
}

/** Whether the domain's number of servers has been stable for the settling time. */
function isSettled(draft: Draft, domain: DomainId, servers: number): boolean {
  const last = draft.arrivals.get(domain);
  if (last?.servers !== servers) {
    draft.arrivals.set(domain, { servers, at: draft.now });
    return false;
  }
  return draft.now >= later(last.at, draft.settings.settleMs);
}

/** A domain with free servers. */
interface FreeDomain {
  readonly domain: DomainId;
  readonly free: readonly BackendServer[];
  /** Number of its servers in groups of each model. */
  readonly grouped: ReadonlyMap<ModelId, number>;
  /** Number of its servers that are reserved to replace lost members. */
  readonly reserve: number;
  readonly isSettled: boolean;
  /** The model that the domain's free servers are claimed for. */
  readonly claimant?: ModelSpec;
}

/** Starts one group in the domain if a model needs one and servers and loads permit; returns its members. */
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
  if (!canStart(draft, loads)) return [];
  startFormation(draft, model, members, GROUP_PREFIX);
  counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
  return members;
}

/** The domain without the members of a group just formed there; that group also satisfies a claim. */
function withoutMembers(
  { domain, free, grouped, reserve, isSettled }: FreeDomain,
  members: readonly BackendServer[],
): FreeDomain {
  return {
    domain,
    free: free.filter((server) => !members.includes(server)),
    grouped,
    reserve,
    isSettled,
  };
}

/** Starts new groups, one per domain in turn, and prepares spares. */
export function composeGroups(
  draft: Draft,
  groups: readonly ReplicaGroup[],
  claims: ReadonlyMap<DomainId, ModelSpec>,
): void {
  const counts = countGroups(draft, groups);
  let domains = freeDomains(draft, groups, claims);
  for (let isDone = false; !isDone;) {
    isDone = true;
    domains = domains.map((domain) => {
      const members = formOne(draft, domain, counts);
      if (members.length === 0) return domain;
      isDone = false;
      return withoutMembers(domain, members);
    });
  }
  for (const { domain, free, isSettled: hasSettled, claimant } of domains) {
    if (!claimant) noteClaimUsed(draft, domain);
    if (hasSettled && !claimant) prepareSpares(draft, domain, free);
  }
  stageMembers(draft, groups);
}

/** Number of servers in groups of each model that serve, are being formed or will be formed again. */
function countGrouped(
  draft: Draft,
  groups: readonly ReplicaGroup[],
): ReadonlyMap<DomainId, ReadonlyMap<ModelId, number>> {
  const byDomain = new Map<DomainId, Map<ModelId, number>>();
  const add = (domain: DomainId | undefined, model: ModelId | undefined, count: number): void => {
    if (domain === undefined || model === undefined) return;
    const counts = byDomain.get(domain) ?? new Map<ModelId, number>();
    byDomain.set(domain, counts.set(model, (counts.get(model) ?? 0) + count));
  };
  for (const { id, domain, model, members } of groups) {
    const isGone = draft.dissolved.has(id) || draft.retirements.has(id);
    if (!isGone && !isStandby(id) && !draft.formations.has(id)) add(domain, model, members.length);
  }
  for (const retirement of draft.retirements.values()) {
    const { model, members } = retirement;
    if (isReturning(draft, retirement)) add(members[0]?.domain, model, members.length);
  }
  for (const { model, members, isStandby: isStandbyGroup } of draft.formations.values())
    if (!isStandbyGroup) add(members[0]?.domain, model, members.length);
  return byDomain;
}

function freeDomains(
  draft: Draft,
  groups: readonly ReplicaGroup[],
  claims: ReadonlyMap<DomainId, ModelSpec>,
): FreeDomain[] {
  const grouped = countGrouped(draft, groups);
  const sizes = countByDomain(draft);
  return [...collectFreeServers(draft)]
    .sort(([a], [b]) => compareText(a, b))
    .map(([domain, free]) => {
      const servers = sizes.get(domain) ?? 0;
      const claimant = claims.get(domain);
      return {
        ...(claimant && { claimant }),
        domain,
        grouped: grouped.get(domain) ?? new Map(),
        free: excludeHeldSpares(draft, domain, free),
        reserve: countReserve(draft, servers, sizes.size),
        isSettled: isSettled(draft, domain, servers),
      };
    });
}

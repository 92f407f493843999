/** Chooses which groups to form from a domain's free servers. */

import { later } from '../../ids';
import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { BackendServer, ModelSpec } from '../types';
import type { ReplicaGroup } from '../groups';
import { withoutHeld } from './held';
import { mayLoad } from './loads';
import { collectFree, countLoads, pickMembers } from './members';
import { isShort, isWanted, rankByNeed } from './need';
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
      const loads = countLoads(draft, pickMembers(draft, free, model), model);
      return { ...need, loads, usesReserve: model.size > free.length - reserve };
    });
  const cheapest = Math.min(
    Infinity,
    ...all.filter(({ usesReserve }) => !usesReserve).map(({ loads }) => loads),
  );
  // Servers are kept for losses: a group that lost a member is put together again with them, rather
  // than its others being loaded with another model.
  const mayUseReserve = ({ loads, ...need }: Candidate): boolean =>
    loads === 0 || (loads < cheapest && (cheapest < Infinity || isShort(draft, need)));
  return all.filter((candidate) => {
    if (!candidate.usesReserve) return candidate.loads === 0 || isWanted(draft, candidate);
    return isWanted(draft, candidate) && mayUseReserve(candidate);
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
  if (!first || !isSure) return undefined;
  const kept = keptForLarger(draft, first, needs, domain);
  if (kept) return kept.size <= domain.free.length ? kept : undefined;
  return first.model;
}

/**
 * The fuller, larger model that the domain's servers are kept for, where all but one of a group's
 * members are warm for it. A smaller group formed of them would take weights off them that are loaded
 * again in 16 s only, while one more server comes within a few seconds; so they wait, unless requests
 * for the smaller model do.
 */
function keptForLarger(
  draft: Draft,
  first: Candidate,
  needs: readonly ModelNeed[],
  { free, reserve }: FreeDomain,
): ModelSpec | undefined {
  const [fullest] = needs;
  if (!draft.view.demand || !fullest || fullest.model.size <= first.model.size) return undefined;
  if (first.groups === 0 || isShort(draft, first)) return undefined;
  const { model } = fullest;
  const warm = free.length - countLoads(draft, free, model);
  const leavesEnough = free.length - first.model.size >= model.size - 1 + reserve;
  return warm >= model.size - 1 && !leavesEnough ? model : undefined;
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
  const loads = countLoads(draft, members, model);
  if (!mayLoad(draft, loads, draft.view.engine.loadsAtOnce * LOAD_CROWD)) return [];
  startFormation(draft, model, members, GROUP_PREFIX);
  counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
  return members;
}

/** Domains with members of groups that are ending. */
function endingDomains(draft: Draft): ReadonlySet<DomainId> {
  const members = [...draft.retirements.values()].flatMap((retirement) => retirement.members);
  return new Set(members.flatMap(({ domain }) => domain ?? []));
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
  const ending = endingDomains(draft);
  for (const { domain, free, isSettled: isComplete, claimant } of domains) {
    // A survivor of an ending group is about to join another one: as a spare it would be missing there.
    if (isComplete && !claimant && !ending.has(domain)) prepareSpares(draft, domain, free);
  }
  stageMembers(draft, groups);
}

function freeDomains(draft: Draft, claims: ReadonlyMap<DomainId, ModelSpec>): FreeDomain[] {
  const sizes = new Map<DomainId, number>();
  for (const { domain, isDraining } of draft.view.servers.values()) {
    if (domain !== undefined && !isDraining) sizes.set(domain, (sizes.get(domain) ?? 0) + 1);
  }
  return [...collectFree(draft)]
    .sort(([a], [b]) => compareText(a, b))
    .map(([domain, free]) => {
      const servers = sizes.get(domain) ?? 0;
      const claimant = claims.get(domain);
      return {
        ...(claimant && { claimant }),
        domain,
        free: withoutHeld(draft, domain, free),
        reserve: countReserve(draft, servers, sizes.size),
        isSettled: isSettled(draft, domain, servers),
      };
    });
}

/** Chooses which groups to form from a domain's free servers, and what its spares are kept ready for. */

import { brandAs, later } from '../../ids';
import type { DomainId, Epoch, GroupId, InstanceId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { BackendServer, ModelSpec } from '../types';
import type { ReplicaGroup } from '../groups';
import { joinCost } from './form';
import { mayLoad, noteLoads } from './loads';
import { isShort, rankByNeed } from './need';
import type { ModelNeed } from './need';
import { ask, isSuspect } from './state';
import type { Draft } from './state';

/** Groups of this name are one warm server each and never serve. */
const STANDBY_PREFIX = 'standby-';
/** One server in so many of a domain is kept spare, so that a lost member is replaced at once. */
const SERVERS_PER_SPARE = 12;
/**
 * Loads run at a time, in what the weight store gives without slowing down. A little more than all of
 * it, since a whole group starts at once and would often leave a part unused.
 */
const LOAD_CROWD = 1.5;
/** Epochs that one term of a lease may give out; its holder then takes the lease anew. */
export const EPOCHS_PER_LEASE = 65_536;

export function isStandby(group: GroupId): boolean {
  return group.startsWith(STANDBY_PREFIX);
}

/** Servers that may be ordered into a group now, by domain. */
export function collectFree(draft: Draft): ReadonlyMap<DomainId, BackendServer[]> {
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
  return all.filter((candidate) => !candidate.usesReserve || mayUseReserve(candidate));
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
  if (claimant && (counts.get(claimant.name) ?? 0) === 0) {
    return claimant.size <= free.length ? claimant : undefined;
  }
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

/** The servers that are ready for the model soonest; among equals those of least use to other models. */
function pickMembers(
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

function nextEpoch(draft: Draft): Epoch {
  draft.epochs += 1;
  return brandAs<Epoch>(draft.view.fencing * EPOCHS_PER_LEASE + draft.epochs);
}

function startFormation(
  draft: Draft,
  model: ModelSpec,
  members: readonly BackendServer[],
  prefix: string,
): void {
  const epoch = nextEpoch(draft);
  const group = brandAs<GroupId>(`${prefix}${epoch}`);
  const slowest = Math.max(...members.map((server) => joinCost(draft, server, model).ms));
  noteLoads(
    draft,
    members.filter((server) => joinCost(draft, server, model).isLoad),
    model,
  );
  // Loads that share the weight store's rate take longer than their figure.
  const crowd = Math.max(1, draft.loads.length / draft.view.engine.loadsAtOnce);
  draft.formations.set(group, {
    group,
    epoch,
    model: model.name,
    members,
    deadline: later(draft.now, slowest * crowd + draft.settings.joinSlackMs),
    isStandby: prefix === STANDBY_PREFIX,
  });
}

/** Members of ending groups that will be free in the domain, by the model to form again with them. */
function comingTo(draft: Draft, domain: DomainId): ReadonlyMap<ModelId, readonly BackendServer[]> {
  const coming = new Map<ModelId, BackendServer[]>();
  for (const { model, members } of draft.retirements.values()) {
    if (model === undefined) continue;
    const staying = members.flatMap(({ id }) => {
      const server = draft.view.servers.get(id);
      const isLost = !server || server.isDraining || isSuspect(draft, id);
      return isLost || server.domain !== domain ? [] : [server];
    });
    if (staying.length > 0) coming.set(model, [...(coming.get(model) ?? []), ...staying]);
  }
  return coming;
}

/**
 * The domain's free servers without those that complete a group which is just ending. Its members come
 * free within some 100 ms. A smaller group formed of the spares meanwhile would leave the larger one
 * without its replacement: its survivors are then too few, and its model loses a group for good.
 */
function withoutHeld(
  draft: Draft,
  domain: DomainId,
  free: readonly BackendServer[],
): readonly BackendServer[] {
  let left = free;
  for (const [name, coming] of comingTo(draft, domain)) {
    const model = draft.view.engine.models.find((each) => each.name === name);
    const lacking = model ? model.size - (coming.length % model.size) : 0;
    if (!model || lacking === model.size || lacking > left.length) continue;
    const held = new Set(pickMembers(draft, left, { ...model, size: lacking }));
    left = left.filter((server) => !held.has(server));
  }
  return left;
}

function countLoads(draft: Draft, servers: readonly BackendServer[], model: ModelSpec): number {
  return servers.filter((server) => joinCost(draft, server, model).isLoad).length;
}

/** A domain with servers that are free. */
interface FreeDomain {
  readonly domain: DomainId;
  readonly free: readonly BackendServer[];
  /** Servers of it that are kept for losses. */
  readonly reserve: number;
  readonly isSettled: boolean;
  /** A model without any group, for which the domain's free servers are kept. */
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
  startFormation(draft, model, members, 'group-');
  counts.set(model.name, (counts.get(model.name) ?? 0) + 1);
  return members;
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
      if (members.length > 0) isDone = false;
      return { ...domain, free: domain.free.filter((server) => !members.includes(server)) };
    });
  }
  for (const { free, isSettled: isComplete } of domains) if (isComplete) prepareSpares(draft, free);
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
        reserve: Math.floor(servers / SERVERS_PER_SPARE),
        isSettled: isSettled(draft, domain, servers),
      };
    });
}

/**
 * Keeps spares warm for one model and staged for the next, so that a lost member of either is
 * replaced without a load. A warm spare joins in a fraction of a second in place of one or two.
 */
function prepareSpares(draft: Draft, spares: readonly BackendServer[]): void {
  // The largest group loses a member most often.
  const models = [...draft.view.engine.models].sort((a, b) => b.size - a.size);
  if (models.length === 0) return;
  const sorted = [...spares].sort((a, b) => compareText(a.id, b.id));
  sorted.forEach((server, i) => {
    const warm = models[i % models.length];
    const staged = models[(i + 1) % models.length];
    if (warm && staged) prepareSpare(draft, server, warm, staged);
  });
}

function prepareSpare(
  draft: Draft,
  server: BackendServer,
  warm: ModelSpec,
  staged: ModelSpec,
): void {
  const limit = draft.view.hasTraffic ? draft.settings.spareLoads : draft.view.engine.loadsAtOnce;
  if (draft.loads.some(({ server: id, until }) => id === server.id && draft.now < until)) return;
  if (server.model !== warm.name) {
    const cost = joinCost(draft, server, warm);
    if (!mayLoad(draft, cost.isLoad ? 1 : 0, limit)) return;
    startFormation(draft, warm, [server], STANDBY_PREFIX);
    return;
  }
  if (server.staged.includes(staged.name) || !mayLoad(draft, 1, limit)) return;
  ask(draft, server, { kind: 'stage', model: staged.name });
  noteLoads(draft, [server], staged);
}

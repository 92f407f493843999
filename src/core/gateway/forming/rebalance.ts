/**
 * Takes groups from a model that has enough and gives their servers to one that lacks them.
 *
 * Load pattern: members are lost every few seconds, and each loss costs a large model a whole group
 * where its domain has no spare left, while a small model has more groups than its work fills. Two cases:
 *
 * - A model without any group: every caller of it is refused. It gets one at the price of loads.
 * - A model whose groups are nearly full: only where all members can join without a load of weights,
 *   which takes longer than the next loss, and only if the fullest model is then clearly less full.
 */

import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ReplicaGroup } from '../groups';
import type { BackendServer, ModelSpec } from '../types';
import { countGroups } from './compose';
import { joinCost } from './form';
import { collectFreeServers, remainingMembers } from './members';
import { rankByNeed } from './need';
import type { ModelNeed } from './need';
import { startRetirement } from './retire';
import { isStandby } from './start';
import { isEnabled } from './state';
import type { Draft } from './state';

/** Domains whose free servers are kept for one model. */
export type DomainClaims = ReadonlyMap<DomainId, ModelSpec>;

/** Above this much work for each group a model may be given servers of another one. */
const FULL_AT = 0.7;
/** The fullest model's work for each group must fall to this part: a gain worth the change, and no way back. */
const CLEAR_GAIN = 0.85;

type Reachable = ReadonlyMap<DomainId, readonly BackendServer[]>;

/** Servers of each domain that are free, or will be once their groups have ended. */
function findReachable(draft: Draft): Reachable {
  const found = new Map<DomainId, BackendServer[]>();
  const add = (server: BackendServer): void => {
    if (server.domain === undefined) return;
    found.set(server.domain, [...(found.get(server.domain) ?? []), server]);
  };
  for (const free of collectFreeServers(draft).values()) free.forEach(add);
  for (const { members } of draft.retirements.values())
    remainingMembers(draft, members).forEach(add);
  return found;
}

/** Groups of one domain that would end for a model. */
interface Sacrifice {
  readonly domain: DomainId;
  readonly groups: readonly ReplicaGroup[];
}

/** What a model needs of a domain. */
interface Want {
  readonly model: ModelSpec;
  /** Whether weights may be loaded for it. */
  readonly mayLoad: boolean;
  /** Groups that each other model can give. */
  readonly spare: ReadonlyMap<ModelId, number>;
}

/** Servers that count towards a group of the model. */
function countUsable(draft: Draft, want: Want, servers: readonly BackendServer[]): number {
  if (want.mayLoad) return servers.length;
  return servers.filter((server) => !joinCost(draft, server, want.model).isLoad).length;
}

/** The groups to end in a domain, so that servers enough are free there; undefined where none suffice. */
function findSacrifice(
  draft: Draft,
  want: Want,
  inDomain: readonly ReplicaGroup[],
  reachable: readonly BackendServer[],
): readonly ReplicaGroup[] | undefined {
  const left = new Map(want.spare);
  const chosen: ReplicaGroup[] = [];
  let lacking = want.model.size - countUsable(draft, want, reachable);
  // A large group frees what is lacking with one end; among equals the model with most groups gives.
  const sorted = inDomain
    .flatMap((group) => (group.model === undefined ? [] : [{ ...group, model: group.model }]))
    .sort(
      (a, b) =>
        b.members.length - a.members.length ||
        (want.spare.get(b.model) ?? 0) - (want.spare.get(a.model) ?? 0) ||
        compareText(a.id, b.id),
    );
  for (const group of sorted) {
    const spare = left.get(group.model) ?? 0;
    const gain = countUsable(draft, want, group.members);
    if (lacking <= 0 || spare <= 0 || gain === 0) continue;
    left.set(group.model, spare - 1);
    chosen.push(group);
    lacking -= gain;
  }
  return lacking <= 0 ? chosen : undefined;
}

function chooseSacrifice(
  draft: Draft,
  want: Want,
  groups: readonly ReplicaGroup[],
  reachable: Reachable,
): Sacrifice | undefined {
  const serving = groups.filter(
    ({ id, head }) =>
      head?.membership?.state === 'open' && !draft.retirements.has(id) && !isStandby(id),
  );
  const domains = new Set([...reachable.keys(), ...serving.flatMap(({ domain }) => domain ?? [])]);
  return [...domains]
    .flatMap((domain): Sacrifice[] => {
      const inDomain = serving.filter((group) => group.domain === domain);
      const chosen = findSacrifice(draft, want, inDomain, reachable.get(domain) ?? []);
      return chosen ? [{ domain, groups: chosen }] : [];
    })
    .sort((a, b) => a.groups.length - b.groups.length || compareText(a.domain, b.domain))[0];
}

/** Groups that a model can lose while its work for each of them stays below `limit`; one always stays. */
function countSpare({ work, groups }: ModelNeed, limit: number): number {
  const needed = Math.max(1, Math.ceil(work / limit));
  return Math.max(0, groups - needed);
}

function wantOf(needs: readonly ModelNeed[]): Want | undefined {
  const starved = needs.find(({ groups }) => groups === 0);
  if (starved) {
    const others = needs.filter(({ groups }) => groups > 0);
    const spare = new Map(others.map(({ model, groups }) => [model.name, groups - 1]));
    return { model: starved.model, mayLoad: true, spare };
  }
  const [fullest] = [...needs].sort((a, b) => b.work / b.groups - a.work / a.groups);
  const fullness = fullest ? fullest.work / fullest.groups : 0;
  if (!fullest || fullness < FULL_AT) return undefined;
  const others = needs.filter((need) => need !== fullest);
  const spare = new Map(
    others.map((need) => [need.model.name, countSpare(need, fullness * CLEAR_GAIN)]),
  );
  return { model: fullest.model, mayLoad: false, spare };
}

/** Keeps a domain for a model that lacks groups, ending groups of others there if need be. */
export function claimDomain(draft: Draft, groups: readonly ReplicaGroup[]): DomainClaims {
  // Before callers come all groups are being formed, and loads take a fraction of their time.
  if (!draft.view.hasTraffic || !draft.view.offeredLoad || !isEnabled(draft, 'rebalance'))
    return new Map();
  const want = wantOf(rankByNeed(draft, countGroups(draft, groups)));
  const sacrifice = want && chooseSacrifice(draft, want, groups, findReachable(draft));
  if (!sacrifice) return new Map();
  for (const { id, epoch, head, members } of sacrifice.groups) {
    startRetirement(draft, { group: id, epoch, head, members }, 'finish');
  }
  return new Map([[sacrifice.domain, want.model]]);
}

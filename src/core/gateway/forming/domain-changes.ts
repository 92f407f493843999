/** Finds the changes of a domain's servers from one model to another, with their costs. */

import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ReplicaGroup } from '../groups';
import type { BackendServer, ModelSpec } from '../types';
import { joinCost } from './form';
import { excludeHeldSpares } from './held-spares';
import {
  collectFreeServers,
  countByDomain,
  pickMembers,
  remainingMembers,
  returningMembers,
} from './members';
import { findPreemption, listPreemptible } from './rebalance';
import { countReserve, lossRate } from './reserve';
import type { Draft } from './state';
import { HORIZON_MS, judgeChange } from './worth';
import type { GroupChange, Supply } from './worth';

/** Time until the streams of a closing group have ended and its servers are free; one or two seconds. */
const FINISH_MS = 2_000;
/** Time to open a complete group, and for entries to show each step. */
const OPEN_MS = 500;
/** No change is judged over less than this: even a group that is soon lost is usually formed again. */
const MIN_HORIZON_MS = 20_000;

/** A change of servers of one domain. */
export interface DomainChange extends GroupChange {
  readonly domain: DomainId;
  readonly spec: ModelSpec;
  readonly ended: readonly ReplicaGroup[];
  /** Servers whose hosts lack the model's weights. */
  readonly unstaged: readonly BackendServer[];
}

/** The servers and groups of one domain. */
export interface DomainState {
  readonly domain: DomainId;
  /** Free servers that are not held for another group, and members of groups that are ending for another model. */
  readonly obtainable: readonly BackendServer[];
  readonly groups: readonly ReplicaGroup[];
  readonly reserve: number;
}

export function listDomains(draft: Draft, groups: readonly ReplicaGroup[]): readonly DomainState[] {
  const sizes = countByDomain(draft);
  const free = collectFreeServers(draft);
  const releasing = [...draft.retirements.values()]
    .filter(({ model }) => model === undefined)
    .flatMap((retirement) => returningMembers(draft, retirement));
  const preemptible = listPreemptible(draft, groups);
  return [...sizes]
    .sort(([a], [b]) => compareText(a, b))
    .map(([domain, servers]) => ({
      domain,
      obtainable: [
        ...excludeHeldSpares(draft, domain, free.get(domain) ?? []),
        ...releasing.filter((server) => server.domain === domain),
      ],
      groups: preemptible.filter((group) => group.domain === domain),
      reserve: countReserve(draft, servers, sizes.size),
    }));
}

function countByModel(groups: readonly ReplicaGroup[]): Map<ModelId, number> {
  const counts = new Map<ModelId, number>();
  for (const { model } of groups)
    if (model !== undefined) counts.set(model, (counts.get(model) ?? 0) + 1);
  return counts;
}

/** The change that gives the domain's servers to the model, with or without its spares. */
function findChange(
  draft: Draft,
  supply: Supply,
  spec: ModelSpec,
  state: DomainState,
  usesReserve: boolean,
): DomainChange | undefined {
  const { domain, obtainable, groups, reserve } = state;
  const usable = usesReserve ? obtainable.length : Math.max(0, obtainable.length - reserve);
  const available = pickMembers(draft, obtainable, { ...spec, size: usable });
  const others = groups.filter(({ model }) => model !== spec.name);
  const spare = new Map([...supply.groups].map(([name, count]) => [name, count - 1]));
  const ended = findPreemption(draft, { model: spec, mayLoad: true, spare }, others, available);
  if (!ended) return undefined;
  const servers = [
    ...available,
    ...ended.flatMap(({ members }) => remainingMembers(draft, members)),
  ];
  const gained = Math.floor(servers.length / spec.size);
  if (gained === 0) return undefined;
  const members = pickMembers(draft, servers, { ...spec, size: gained * spec.size });
  const usedSpares = usesReserve && obtainable.length > 0;
  return {
    ...{ model: spec.name, domain, spec, ended, gained, lost: countByModel(ended) },
    ...joinCosts(draft, spec, members),
    riskedGroups: usedSpares ? Math.min(1, lossRate(draft) * members.length * spec.loadMs) : 0,
  };
}

/** Weights that the new members lack, and the times until they can serve. */
function joinCosts(
  draft: Draft,
  spec: ModelSpec,
  members: readonly BackendServer[],
): Pick<DomainChange, 'unstaged' | 'prepareMs' | 'pauseMs'> {
  const unstaged = members.filter((server) => joinCost(draft, server, spec).isLoad);
  // Weights are staged before the groups end, so that no member takes longer than from its host.
  const joinMs = members.map((server) => Math.min(spec.warmMs, joinCost(draft, server, spec).ms));
  const rounds = Math.ceil(unstaged.length / Math.max(1, draft.view.engine.loadsAtOnce));
  return {
    unstaged,
    prepareMs: rounds * spec.loadMs,
    pauseMs: FINISH_MS + Math.max(...joinMs) + OPEN_MS,
  };
}

/** Time that the new groups are expected to last: until a member is lost, at the present rate of losses. */
export function horizonOf(draft: Draft, { spec }: DomainChange): number {
  const lifeMs = 1 / (lossRate(draft) * spec.size);
  return Math.min(HORIZON_MS, Math.max(MIN_HORIZON_MS, lifeMs));
}

/** The better one of the changes with and without the domain's spares. */
export function bestChange(
  draft: Draft,
  supply: Supply,
  spec: ModelSpec,
  state: DomainState,
): DomainChange | undefined {
  const changes = [false, true].flatMap(
    (usesReserve) => findChange(draft, supply, spec, state, usesReserve) ?? [],
  );
  const netOf = (change: DomainChange): number =>
    judgeChange(supply, change, horizonOf(draft, change)).net;
  return changes.sort((a, b) => netOf(b) - netOf(a))[0];
}

/** Routing policies: how a request chooses among the groups of its model. */

import type { RandomContext } from '../random';
import { expectedHitRatio } from './cache';
import { hashText, mixHashes } from './hash';
import { estimateLoad } from './load';
import type { GroupState, ModelState, RoutingPolicyName, RoutingState } from './types';

/** Input of a policy besides the candidate groups. */
export interface ChoiceContext {
  readonly state: RoutingState;
  readonly model: ModelState;
  /** Affinity keys of the request's prefixes, shortest first. */
  readonly keys: readonly string[];
  readonly ctx: RandomContext;
}

/** A rule for choosing one of the candidate groups. */
export interface RoutingPolicy {
  /** Whether ejected stragglers are removed from the candidates. */
  readonly ejectsStragglers: boolean;
  /** Picks one of `groups`, which is not empty. */
  choose(groups: readonly GroupState[], choice: ChoiceContext): GroupState | undefined;
}

/** Batch utilisation with one more request, scaled by how slow the group is; 1 is a full batch. */
function utilisation(group: GroupState, { state, model, ctx }: ChoiceContext): number {
  const load = estimateLoad(group.load, model.meanPeerLoad, ctx.now, state.opts);
  return ((load + 1) * group.slowness) / group.maxBatch;
}

/** The group with the lowest cost; ties are broken uniformly at random. */
function lowestCost(
  groups: readonly GroupState[],
  cost: (group: GroupState) => number,
  { ctx }: ChoiceContext,
): GroupState | undefined {
  let best: GroupState | undefined;
  let bestCost = Infinity;
  let ties = 0;
  for (const group of groups) {
    const value = cost(group);
    if (value > bestCost) continue;
    ties = value === bestCost ? ties + 1 : 1;
    if (ties > 1 && ctx.random.next() >= 1 / ties) continue;
    best = group;
    bestCost = value;
  }
  return best;
}

function pickRandom(groups: readonly GroupState[], { ctx }: ChoiceContext): GroupState | undefined {
  return groups[Math.floor(ctx.random.next() * groups.length)];
}

/** The less loaded of two random groups (Mitzenmacher, "The power of two choices"). */
function chooseOfTwo(groups: readonly GroupState[], choice: ChoiceContext): GroupState | undefined {
  const first = pickRandom(groups, choice);
  const rest = groups.filter((group) => group !== first);
  const second = pickRandom(rest, choice);
  const two = [first, second].filter((group) => group !== undefined);
  return lowestCost(two, (group) => utilisation(group, choice), choice);
}

/**
 * The two groups with the highest rendezvous hash of the prefix among those within the load bound,
 * after "Consistent hashing with bounded loads" (Mirrokni, Thorup, Zadimoghaddam).
 */
function affinityCandidates(
  groups: readonly GroupState[],
  key: string,
  choice: ChoiceContext,
): readonly GroupState[] {
  const loads = groups.map((group) => utilisation(group, choice));
  const mean = loads.reduce((sum, load) => sum + load, 0) / groups.length;
  const bound = mean * choice.state.opts.loadBound;
  const hash = hashText(key);
  const ranked = groups
    .filter((_group, i) => (loads[i] ?? 0) <= bound)
    .map((group) => ({ group, rank: mixHashes(group.hash, hash) }));
  ranked.sort((a, b) => b.rank - a.rank);
  return ranked.slice(0, 2).map(({ group }) => group);
}

function chooseBoundedAffinity(
  groups: readonly GroupState[],
  choice: ChoiceContext,
): GroupState | undefined {
  const [key] = choice.keys;
  if (key === undefined) return chooseOfTwo(groups, choice);
  const { state, keys, ctx } = choice;
  const candidates = affinityCandidates(groups, key, choice);
  const cost = (group: GroupState) =>
    utilisation(group, choice) -
    state.opts.cacheBonus * expectedHitRatio(state, keys, group, ctx.now);
  return lowestCost(candidates, cost, choice);
}

/**
 * The two groups with the highest rendezvous hash of the prefix. All daemons compute the same ones,
 * so they send a prefix there before any cache event arrives.
 */
function homesOf(groups: readonly GroupState[], key: string): ReadonlySet<GroupState> {
  const hash = hashText(key);
  let first: GroupState | undefined;
  let second: GroupState | undefined;
  let firstRank = -1;
  let secondRank = -1;
  for (const group of groups) {
    const rank = mixHashes(group.hash, hash);
    if (rank > firstRank) {
      [second, secondRank] = [first, firstRank];
      [first, firstRank] = [group, rank];
    } else if (rank > secondRank) {
      [second, secondRank] = [group, rank];
    }
  }
  return new Set([first, second].filter((group) => group !== undefined));
}

/**
 * Weighs load against expected cache hits over all groups; a hit outweighs only a bounded
 * difference in load.
 */
function chooseByAffinity(
  groups: readonly GroupState[],
  choice: ChoiceContext,
): GroupState | undefined {
  const { state, keys, ctx } = choice;
  const { cacheBonus, homePrior, overflowCost } = state.opts;
  const [key] = keys;
  if (key === undefined) return lowestCost(groups, (group) => utilisation(group, choice), choice);
  const homes = homesOf(groups, key);
  const cost = (group: GroupState) => {
    const used = utilisation(group, choice);
    const known = expectedHitRatio(state, keys, group, ctx.now);
    const hit = homes.has(group) ? Math.max(known, homePrior) : known;
    return used + overflowCost * Math.max(0, used - 1) - cacheBonus * hit;
  };
  return lowestCost(groups, cost, choice);
}

/** All policies by name. */
export const ROUTING_POLICIES: Readonly<Record<RoutingPolicyName, RoutingPolicy>> = {
  'round-robin': {
    ejectsStragglers: false,
    choose: (groups, { model }) => {
      model.roundRobinIndex += 1;
      return groups[model.roundRobinIndex % groups.length];
    },
  },
  random: { ejectsStragglers: false, choose: pickRandom },
  'least-in-flight': {
    ejectsStragglers: false,
    choose: (groups, choice) => lowestCost(groups, (group) => group.load.inFlight, choice),
  },
  'least-estimated': {
    ejectsStragglers: true,
    choose: (groups, choice) => lowestCost(groups, (group) => utilisation(group, choice), choice),
  },
  'two-choices': { ejectsStragglers: true, choose: chooseOfTwo },
  'bounded-affinity': { ejectsStragglers: true, choose: chooseBoundedAffinity },
  affinity: { ejectsStragglers: true, choose: chooseByAffinity },
};

/**
 * What may be cached where. Events from engines come late and with gaps, so they never rule a group
 * in or out: they only raise the probability of a hit, which fades.
 */

import type { GroupId, MonoTime, OrganisationId } from '../ids';
import type { CacheBelief, CacheEvent, CacheEvents, GroupState, RoutingState } from './types';

/** Belief after our own request with that prefix was sent. */
const SENT_PROBABILITY = 0.8;
/** Belief after the engine said that it stored the prefix. */
const STORED_PROBABILITY = 0.95;
/** What a gap in the events leaves of a belief. */
const GAP_FACTOR = 0.5;

/** The key of a prefix of one organisation; the same prefix of another has another key. */
export function affinityKey(organisation: OrganisationId, prefixKey: string): string {
  return `${organisation}\0${prefixKey}`;
}

function remember(state: RoutingState, key: string, group: GroupId, belief: CacheBelief): void {
  const beliefs = state.prefixes.get(key) ?? new Map<GroupId, CacheBelief>();
  beliefs.set(group, belief);
  // Put again, so that the map's order is that of last use.
  state.prefixes.delete(key);
  state.prefixes.set(key, beliefs);
  if (state.prefixes.size <= state.opts.maxPrefixes) return;
  const oldest = state.prefixes.keys().next();
  if (oldest.done !== true) state.prefixes.delete(oldest.value);
}

/** Own send: the group will probably hold these prefixes. */
export function noteSent(
  state: RoutingState,
  group: GroupId,
  keys: readonly string[],
  now: MonoTime,
): void {
  for (const key of keys) {
    const known = probability(state, key, group, now);
    remember(state, key, group, { probability: Math.max(known, SENT_PROBABILITY), at: now });
  }
}

const NOTE: Readonly<
  Record<
    CacheEvent['kind'],
    (state: RoutingState, event: CacheEvent, group: GroupId, now: MonoTime) => void
  >
> = {
  stored: (state, event, group, now) => {
    remember(state, event.prefix, group, { probability: STORED_PROBABILITY, at: now });
  },
  evicted: (state, event, group) => {
    state.prefixes.get(event.prefix)?.delete(group);
  },
};

/** Takes in an engine's events; those seen before are passed over. */
export function noteEvents(
  state: RoutingState,
  group: GroupState,
  batch: CacheEvents,
  now: MonoTime,
): void {
  for (const event of batch.events) {
    if (event.seq <= group.cacheSeq) continue;
    if (event.seq > group.cacheSeq + 1 && group.cacheSeq > 0) doubt(state, group.id);
    group.cacheSeq = event.seq;
    NOTE[event.kind](state, event, group.id, now);
  }
}

/** After a gap any of the beliefs about the group may be wrong. */
function doubt(state: RoutingState, group: GroupId): void {
  for (const beliefs of state.prefixes.values()) {
    const belief = beliefs.get(group);
    if (belief === undefined) continue;
    beliefs.set(group, { ...belief, probability: belief.probability * GAP_FACTOR });
  }
}

/** Probability that the group holds the prefix. */
export function probability(
  state: RoutingState,
  key: string,
  group: GroupId,
  now: MonoTime,
): number {
  const belief = state.prefixes.get(key)?.get(group);
  if (belief === undefined) return 0;
  return belief.probability * 0.5 ** ((now - belief.at) / state.opts.cacheHalfLifeMs);
}

/** Expected share of the prompt's prefixes that the group holds. */
export function expectedHit(
  state: RoutingState,
  keys: readonly string[],
  group: GroupId,
  now: MonoTime,
): number {
  let best = 0;
  for (const [i, key] of keys.entries()) {
    best = Math.max(best, (probability(state, key, group, now) * (i + 1)) / keys.length);
  }
  return best;
}

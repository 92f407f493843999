/**
 * What may be cached where. Events from engines come late and with gaps, so they never rule a group
 * in or out: they only raise the probability of a hit, which fades.
 */

import type { GroupId, MonoTime, OrganisationId } from '../ids';
import type { CacheEstimate, CacheEvent, CacheEvents, GroupState, RoutingState } from './types';

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

function remember(state: RoutingState, key: string, group: GroupId, belief: CacheEstimate): void {
  const beliefs = state.prefixes.get(key) ?? new Map<GroupId, CacheEstimate>();
  beliefs.set(group, belief);
  // Put again, so that the map's order is that of last use.
  state.prefixes.delete(key);
  state.prefixes.set(key, beliefs);
  if (state.prefixes.size <= state.opts.maxPrefixes) return;
  const oldest = state.prefixes.keys().next();
  if (oldest.done !== true) state.prefixes.delete(oldest.value);
}

/** Own send: the group will probably hold these prefixes. */
export function recordSentPrefixes(
  state: RoutingState,
  group: GroupState,
  keys: readonly string[],
  now: MonoTime,
): void {
  for (const key of keys) {
    const known = hitProbability(state, key, group, now);
    const belief = Math.max(known, SENT_PROBABILITY);
    remember(state, key, group.id, { probability: belief, at: now, gaps: group.cacheGaps });
  }
}

type NoteEvent = (state: RoutingState, prefix: string, group: GroupState, now: MonoTime) => void;

const NOTES: Readonly<Record<CacheEvent['kind'], NoteEvent>> = {
  stored: (state, prefix, { id, cacheGaps }, now) => {
    remember(state, prefix, id, { probability: STORED_PROBABILITY, at: now, gaps: cacheGaps });
  },
  evicted: (state, prefix, { id }) => {
    state.prefixes.get(prefix)?.delete(id);
  },
};

/** Takes in an engine's events; those seen before are passed over. */
export function applyCacheEvents(
  state: RoutingState,
  group: GroupState,
  batch: CacheEvents,
  now: MonoTime,
): void {
  for (const event of batch.events) {
    if (event.seq <= group.cacheSeq) continue;
    const isGap = group.cacheSeq > 0 && event.seq > group.cacheSeq + 1;
    if (isGap) group.cacheGaps += 1;
    group.cacheSeq = event.seq;
    NOTES[event.kind](state, event.prefix, group, now);
  }
}

/** Probability that the group holds the prefix. */
export function hitProbability(
  state: RoutingState,
  key: string,
  group: GroupState,
  now: MonoTime,
): number {
  const belief = state.prefixes.get(key)?.get(group.id);
  if (belief === undefined) return 0;
  const halfLives = (now - belief.at) / state.opts.cacheHalfLifeMs;
  const doubt = GAP_FACTOR ** (group.cacheGaps - belief.gaps);
  return belief.probability * doubt * 0.5 ** halfLives;
}

/** Expected share of the prompt's prefixes that the group holds. */
export function expectedHitRatio(
  state: RoutingState,
  keys: readonly string[],
  group: GroupState,
  now: MonoTime,
): number {
  let best = 0;
  for (const [i, key] of keys.entries()) {
    best = Math.max(best, (hitProbability(state, key, group, now) * (i + 1)) / keys.length);
  }
  return best;
}

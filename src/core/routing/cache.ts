/**
 * Estimates which groups have a prompt prefix in their cache. Cache events from engines arrive late
 * and with gaps, so they never include or exclude a group: they only change the probability of a
 * hit, which decays over time.
 */

import type { GroupId, MonoTime, OrganisationId } from '../ids';
import type { CacheEstimate, CacheEvent, CacheEvents, GroupState, RoutingState } from './types';

/** Hit probability after this daemon sent a request with the prefix. */
const SENT_PROBABILITY = 0.8;
/** Hit probability after the engine reported that it stored the prefix. */
const STORED_PROBABILITY = 0.95;
/** Factor applied to a probability for each gap in the sequence of events. */
const GAP_FACTOR = 0.5;

/** Key of a prefix within one organisation, so that organisations never share a cache estimate. */
export function affinityKey(organisation: OrganisationId, prefixKey: string): string {
  return `${organisation}\0${prefixKey}`;
}

function setEstimate(
  state: RoutingState,
  key: string,
  group: GroupId,
  estimate: CacheEstimate,
): void {
  const estimates = state.prefixes.get(key) ?? new Map<GroupId, CacheEstimate>();
  estimates.set(group, estimate);
  // Reinserted, so that the map is ordered by last use.
  state.prefixes.delete(key);
  state.prefixes.set(key, estimates);
  if (state.prefixes.size <= state.opts.maxPrefixes) return;
  const oldest = state.prefixes.keys().next();
  if (oldest.done !== true) state.prefixes.delete(oldest.value);
}

/**
 * Records that a request with these prefixes was sent to the group, which will probably cache them.
 */
export function recordSentPrefixes(
  state: RoutingState,
  group: GroupState,
  keys: readonly string[],
  now: MonoTime,
): void {
  for (const key of keys) {
    const known = hitProbability(state, key, group, now);
    const estimate = Math.max(known, SENT_PROBABILITY);
    setEstimate(state, key, group.id, { probability: estimate, at: now, gaps: group.cacheGaps });
  }
}

type EventHandler = (state: RoutingState, prefix: string, group: GroupState, now: MonoTime) => void;

const EVENT_HANDLERS: Readonly<Record<CacheEvent['kind'], EventHandler>> = {
  stored: (state, prefix, { id, cacheGaps }, now) => {
    setEstimate(state, prefix, id, { probability: STORED_PROBABILITY, at: now, gaps: cacheGaps });
  },
  evicted: (state, prefix, { id }) => {
    state.prefixes.get(prefix)?.delete(id);
  },
};

/** Applies an engine's cache events; events received before are skipped. */
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
    EVENT_HANDLERS[event.kind](state, event.prefix, group, now);
  }
}

/** Probability that the group has the prefix in its cache, from 0 to 1. */
export function hitProbability(
  state: RoutingState,
  key: string,
  group: GroupState,
  now: MonoTime,
): number {
  const estimate = state.prefixes.get(key)?.get(group.id);
  if (estimate === undefined) return 0;
  const halfLives = (now - estimate.at) / state.opts.cacheHalfLifeMs;
  const gapFactor = GAP_FACTOR ** (group.cacheGaps - estimate.gaps);
  return estimate.probability * gapFactor * 0.5 ** halfLives;
}

/** Expected fraction of the prompt's prefixes that the group has in its cache. */
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

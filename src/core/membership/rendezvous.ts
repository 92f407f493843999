/**
 * Rendezvous (highest random weight) hashing: all daemons that know the same candidates rank them
 * alike for a key, and removing a candidate moves only its own keys.
 */

import { compareText } from '../../utils/common';
import { FNV_OFFSET, hashText, mix } from './hash';

function weightOf(keyHash: number, candidate: string): number {
  return mix(hashText(candidate, FNV_OFFSET) ^ mix(keyHash));
}

/** The candidates in order of preference for `key`. */
export function rankByRendezvous<T extends string>(
  key: string,
  candidates: readonly T[],
): readonly T[] {
  const keyHash = hashText(key, FNV_OFFSET);
  return candidates
    .map((candidate) => ({ candidate, weight: weightOf(keyHash, candidate) }))
    .sort((a, b) => b.weight - a.weight || compareText(a.candidate, b.candidate))
    .map((entry) => entry.candidate);
}

/** The index of `id`, one of the candidates, in the order of `rankByRendezvous`, without sorting. */
export function rankOf<T extends string>(key: string, id: T, candidates: readonly T[]): number {
  const keyHash = hashText(key, FNV_OFFSET);
  const own = weightOf(keyHash, id);
  return candidates.filter((candidate) => {
    const weight = weightOf(keyHash, candidate);
    return weight > own || (weight === own && compareText(candidate, id) < 0);
  }).length;
}

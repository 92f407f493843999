/**
 * Rendezvous (highest random weight) hashing: every daemon that knows the same candidates gives a
 * key the same order of them, and a candidate that goes moves only its own keys.
 */

import { compareText } from '../../utils/common';
import { FNV_OFFSET, hashText, mix } from './hash';

function weigh(keyHash: number, candidate: string): number {
  return mix(hashText(candidate, FNV_OFFSET) ^ mix(keyHash));
}

/** The candidates in the order in which they answer for `key`, first one first. */
export function rankByRendezvous<T extends string>(
  key: string,
  candidates: readonly T[],
): readonly T[] {
  const keyHash = hashText(key, FNV_OFFSET);
  return candidates
    .map((candidate) => ({ candidate, weight: weigh(keyHash, candidate) }))
    .sort((a, b) => b.weight - a.weight || compareText(a.candidate, b.candidate))
    .map((ranked) => ranked.candidate);
}

/** How many of the candidates come before `one`, which is among them: its place in that order, without the order. */
export function rankOf<T extends string>(key: string, one: T, candidates: readonly T[]): number {
  const keyHash = hashText(key, FNV_OFFSET);
  const own = weigh(keyHash, one);
  return candidates.filter((candidate) => {
    const weight = weigh(keyHash, candidate);
    return weight > own || (weight === own && compareText(candidate, one) < 0);
  }).length;
}

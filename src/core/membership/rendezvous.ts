/**
 * Rendezvous (highest random weight) hashing: every daemon that knows the same candidates gives a
 * key the same order of them, and a candidate that goes moves only its own keys.
 */

import { compareText } from '../../utils/common';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a over the UTF-16 code units of `text`. */
function hashText(text: string, seed: number): number {
  let hash = seed;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

/** The finalizer of MurmurHash3 (Appleby): spreads each input bit over all 32. */
function mix(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

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

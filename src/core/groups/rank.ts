/**
 * Rendezvous hashing: every daemon ranks the same candidates for a role in the same order without
 * talking, and a candidate that comes or goes moves only the roles it wins or held.
 *
 * Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

/** The finaliser of MurmurHash3: every bit of the input moves half the bits of the result. */
function mix(bits: number): number {
  let hash = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** One who may take a role. */
export interface Candidate {
  readonly id: string;
  readonly zone?: string;
}

/** A candidate with the hash of its id, made once for all roles. */
export interface HashedCandidate<C extends Candidate> {
  readonly candidate: C;
  readonly hash: number;
}

export type Candidates<C extends Candidate> = readonly HashedCandidate<C>[];

export function hashCandidates<C extends Candidate>(candidates: readonly C[]): Candidates<C> {
  return candidates.map((candidate) => ({ candidate, hash: mix(hashText(candidate.id)) }));
}

interface Place {
  readonly id: string;
  readonly near: boolean;
  readonly score: number;
}

function placeOf(
  role: number,
  { candidate, hash }: HashedCandidate<Candidate>,
  zone?: string,
): Place {
  const near = zone !== undefined && candidate.zone === zone;
  return { id: candidate.id, near, score: mix(role ^ hash) };
}

/** Candidates in the role's own zone go first; then the higher hash wins. */
function compare(a: Place, b: Place): number {
  if (a.near !== b.near) return a.near ? -1 : 1;
  if (a.score !== b.score) return b.score - a.score;
  return a.id < b.id ? -1 : 1;
}

/** How many candidates come before `id` for `role`; Infinity when `id` is no candidate. */
export function rankOf(
  role: string,
  id: string,
  candidates: Candidates<Candidate>,
  zone?: string,
): number {
  const own = candidates.find(({ candidate }) => candidate.id === id);
  if (!own) return Infinity;
  const roleHash = hashText(role);
  const ownPlace = placeOf(roleHash, own, zone);
  let before = 0;
  for (const other of candidates) {
    if (other !== own && compare(placeOf(roleHash, other, zone), ownPlace) < 0) before++;
  }
  return before;
}

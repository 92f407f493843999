/**
 * Rendezvous (highest random weight) hashing: all daemons rank the same candidates for a role in
 * the same order without communicating, and a candidate that joins or leaves moves only the roles
 * that it wins or held.
 *
 * Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a over the UTF-16 code units of `text`. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  return hash >>> 0;
}

/** The finaliser of MurmurHash3: each input bit changes about half of the output bits. */
function mix(bits: number): number {
  let hash = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** A daemon or domain that a role may be assigned to. */
export interface Candidate {
  readonly id: string;
  readonly zone?: string;
}

/** A candidate with the hash of its id, computed once for all roles. */
export interface HashedCandidate<C extends Candidate> {
  readonly candidate: C;
  readonly hash: number;
}

/** Hashed candidates, as `rankOf` takes them. */
export type Candidates<C extends Candidate> = readonly HashedCandidate<C>[];

/** Hashes the ids of candidates. */
export function hashCandidates<C extends Candidate>(candidates: readonly C[]): Candidates<C> {
  return candidates.map((candidate) => ({ candidate, hash: mix(hashText(candidate.id)) }));
}

interface ScoredCandidate {
  readonly id: string;
  readonly isSameZone: boolean;
  readonly score: number;
}

function scoreOf(
  role: number,
  { candidate, hash }: HashedCandidate<Candidate>,
  zone?: string,
): ScoredCandidate {
  const isSameZone = zone !== undefined && candidate.zone === zone;
  return { id: candidate.id, isSameZone, score: mix(role ^ hash) };
}

/** Candidates in the role's own zone come first; then the higher score wins. */
function compare(a: ScoredCandidate, b: ScoredCandidate): number {
  if (a.isSameZone !== b.isSameZone) return a.isSameZone ? -1 : 1;
  if (a.score !== b.score) return b.score - a.score;
  return a.id < b.id ? -1 : 1;
}

/** How many candidates come before `id` for `role`; Infinity if `id` is not a candidate. */
export function rankOf(
  role: string,
  id: string,
  candidates: Candidates<Candidate>,
  zone?: string,
): number {
  const own = candidates.find(({ candidate }) => candidate.id === id);
  if (!own) return Infinity;
  const roleHash = hashText(role);
  const ownScore = scoreOf(roleHash, own, zone);
  let before = 0;
  for (const other of candidates) {
    if (other !== own && compare(scoreOf(roleHash, other, zone), ownScore) < 0) before++;
  }
  return before;
}

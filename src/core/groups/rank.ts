/**
 * Rendezvous hashing: every daemon ranks the same candidates for a role in the same order without
 * talking, and a candidate that comes or goes moves only the roles it wins or held.
 *
 * Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** FNV-1a with the finaliser of MurmurHash3, which spreads the last characters over all bits. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let i = 0; i < text.length; i++) {
    hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** One who may take a role. */
export interface Candidate {
  readonly id: string;
  readonly zone?: string;
}

/** How many candidates come before `id` for `role`; Infinity when `id` is no candidate. */
export function rankOf(
  role: string,
  id: string,
  candidates: readonly Candidate[],
  zone?: string,
): number {
  const own = candidates.find((candidate) => candidate.id === id);
  if (!own) return Infinity;
  return candidates.filter((other) => precedes(role, other, own, zone)).length;
}

/** All candidates, the first choice for `role` first. */
export function rankAll<C extends Candidate>(
  role: string,
  candidates: readonly C[],
  zone?: string,
): readonly C[] {
  return [...candidates].sort((a, b) => (precedes(role, a, b, zone) ? -1 : 1));
}

/** Candidates in the role's own zone go first; then the higher hash wins. */
function precedes(role: string, a: Candidate, b: Candidate, zone?: string): boolean {
  if (a.id === b.id) return false;
  const near = Number(a.zone === zone) - Number(b.zone === zone);
  if (zone !== undefined && near !== 0) return near > 0;
  const score = hashText(`${role}\n${a.id}`) - hashText(`${role}\n${b.id}`);
  return score === 0 ? a.id < b.id : score > 0;
}

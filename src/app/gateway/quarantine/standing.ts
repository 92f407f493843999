/**
 * What may be done with a request.
 *
 * - `suspect`: it, or others with a part of its prompt, ran on servers that ended; it may be tried on other groups.
 * - `held`: it is likely that it ends servers, and it is refused until that is decided.
 * - `refused`: it ended another server when it was tried again, and is refused for long.
 */
export type Standing = 'clear' | 'suspect' | 'held' | 'refused';

const BY_STRICTNESS: readonly Standing[] = ['refused', 'held', 'suspect', 'clear'];

export function strictest(standings: readonly Standing[]): Standing {
  return BY_STRICTNESS.find((standing) => standings.includes(standing)) ?? 'clear';
}

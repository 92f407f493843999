/**
 * Requests that are refused because they crash the servers that run them, as all daemons share them.
 *
 * Load pattern: one caller sends many different fatal requests. The list is bounded, and a new entry displaces
 * one of the owner that has the most, so that no organisation's entries displace another's.
 */

import type { Fingerprint, MonoTime } from '../ids';
import { later } from '../ids';
import { hashText } from '../routing/hash';

export interface RefusedRequest {
  readonly until: MonoTime;
  /**
   * From then on the request may run once more, in case it was not at fault; undefined once it has ended
   * another server.
   */
  readonly trialAt: MonoTime | undefined;
}

/** Refused requests; the one that was added last comes last. */
export type RefusedRequests = ReadonlyMap<Fingerprint, RefusedRequest>;

/** An entry as sent between daemons: milliseconds that remain, and until the trial, negative once it may begin; null for none. */
export type RefusedUpdate = [
  fingerprint: Fingerprint,
  remainingMs: number,
  trialInMs: number | null,
];

export const MAX_REFUSED_REQUESTS = 400;
/** Time from the listing of a request to the first moment of its trial. */
export const TRIAL_DELAY_MS = 5_000;

/** Times of one trial differ by less than this, by the time that messages take. */
const SAME_TRIAL_MS = 1_000;

const OWNER_SEPARATOR = '-';

/** Builds a fingerprint from hashes of the request's owner and of the request. */
export function joinFingerprint(owner: string, request: string): Fingerprint {
  return `${owner}${OWNER_SEPARATOR}${request}` as Fingerprint;
}

function ownerOf(fingerprint: Fingerprint): string {
  return fingerprint.split(OWNER_SEPARATOR)[0] ?? fingerprint;
}

/** Whether a run that began after the request was listed ended another server. */
export function hasFailedTrial(
  { trialAt }: RefusedRequest,
  losses: readonly { readonly at: number; readonly ageMs: number }[],
): boolean {
  if (trialAt === undefined) return false;
  return losses.some(({ at, ageMs }) => at - ageMs > trialAt - TRIAL_DELAY_MS);
}

/** The oldest entry of the owner that has the most. */
function findDisplaced(refused: RefusedRequests): Fingerprint | undefined {
  const byOwner = new Map<string, Fingerprint[]>();
  for (const fingerprint of refused.keys()) {
    const owner = ownerOf(fingerprint);
    const own = byOwner.get(owner);
    if (own) own.push(fingerprint);
    else byOwner.set(owner, [fingerprint]);
  }
  const [largest] = [...byOwner.values()].sort((a, b) => b.length - a.length);
  return largest?.[0];
}

/** The stricter of two entries of a request. */
function mergeEntries(known: RefusedRequest, next: RefusedRequest): RefusedRequest {
  const until = known.until > next.until ? known.until : next.until;
  if (known.trialAt === undefined || next.trialAt === undefined)
    return { until, trialAt: undefined };
  const isLater = next.trialAt > later(known.trialAt, SAME_TRIAL_MS);
  return { until, trialAt: isLater ? next.trialAt : known.trialAt };
}

export function addRefused(
  refused: RefusedRequests,
  entries: readonly (readonly [Fingerprint, RefusedRequest])[],
  { maxEntries = MAX_REFUSED_REQUESTS } = {},
): RefusedRequests {
  const next = new Map(refused);
  for (const [fingerprint, entry] of entries) {
    const known = next.get(fingerprint);
    next.set(fingerprint, known ? mergeEntries(known, entry) : entry);
    const displaced = next.size > maxEntries ? findDisplaced(next) : undefined;
    if (displaced !== undefined) next.delete(displaced);
  }
  return next;
}

/** Drops entries whose time is over. */
export function pruneRefused(refused: RefusedRequests, now: MonoTime): RefusedRequests {
  const kept = [...refused].filter(([, { until }]) => now < until);
  return kept.length === refused.size ? refused : new Map(kept);
}

export function listRefusedUpdates(refused: RefusedRequests, now: MonoTime): RefusedUpdate[] {
  return [...refused].map(([fingerprint, { until, trialAt }]) => [
    fingerprint,
    Math.max(0, until - now),
    trialAt === undefined ? null : trialAt - now,
  ]);
}

/** Adds a peer's entries. */
export function mergeRefusedUpdates(
  refused: RefusedRequests,
  updates: readonly RefusedUpdate[],
  now: MonoTime,
): RefusedRequests {
  const entries = updates.map(([fingerprint, remainingMs, trialInMs]) => {
    const trialAt = trialInMs === null ? undefined : later(now, trialInMs);
    return [fingerprint, { until: later(now, remainingMs), trialAt }] as const;
  });
  return addRefused(refused, entries);
}

/** Equal for equal lists, apart from their times, so that daemons notice a difference; 0 for none. */
export function digestOfRefused(refused: RefusedRequests): number {
  let digest = 0;
  for (const [fingerprint, { trialAt }] of refused) {
    digest ^= hashText(`${fingerprint} ${trialAt === undefined ? 'final' : 'trial'}`);
  }
  return digest >>> 0;
}

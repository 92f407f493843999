/**
 * Backend servers that rejected a request of this daemon and asked it to back off (Retry-After). The backoff
 * applies to this daemon alone; the server may accept requests of others.
 *
 * Two responses may ask for backoffs that end at different times, in any order: the latest end is kept.
 */

import type { InstanceId, MonoTime } from '../ids';
import { later } from '../ids';

/** End of the backoff of each server. */
export type Backoffs = ReadonlyMap<InstanceId, MonoTime>;

/** Longest backoff that is honoured, so that one response cannot exclude a server for ever. */
const MAX_BACKOFF_MS = 300_000;

/** Records that the server asked for a backoff of `backoffMs`, and drops expired ones. */
export function noteBackoff(
  backoffs: Backoffs,
  server: InstanceId,
  backoffMs: number,
  now: MonoTime,
): Backoffs {
  const until = later(now, Math.min(MAX_BACKOFF_MS, backoffMs));
  const before = backoffs.get(server);
  if (until <= now || (before !== undefined && before >= until)) return backoffs;
  const active = [...backoffs].filter(([, end]) => end > now);
  return new Map(active).set(server, until);
}

/** Remaining backoff of the server, milliseconds; 0 if there is none. */
export function backoffRemainingMs(backoffs: Backoffs, server: InstanceId, now: MonoTime): number {
  const until = backoffs.get(server);
  return until === undefined ? 0 : Math.max(0, until - now);
}

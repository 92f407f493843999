/**
 * Servers that turned this daemon away and asked it for rest. It binds this daemon alone: another may be welcome.
 *
 * Two answers may ask for rests that end at different times, in any order: the longest is kept.
 */

import type { InstanceId, MonoTime } from '../ids';
import { later } from '../ids';

/** Until when each server wants nothing from here. */
export type Backoffs = ReadonlyMap<InstanceId, MonoTime>;

/** A server that asks for more is asked again after this, milliseconds: nobody is left out for ever by one answer. */
const LONGEST_MS = 300_000;

export function noteBackoff(
  rests: Backoffs,
  server: InstanceId,
  restMs: number,
  now: MonoTime,
): Backoffs {
  const until = later(now, Math.min(LONGEST_MS, restMs));
  const before = rests.get(server);
  if (until <= now || (before !== undefined && before >= until)) return rests;
  const current = [...rests].filter(([, end]) => end > now);
  return new Map(current).set(server, until);
}

/** Milliseconds; 0 where the server does not rest. */
export function backoffRemainingMs(rests: Backoffs, server: InstanceId, now: MonoTime): number {
  const until = rests.get(server);
  return until === undefined ? 0 : Math.max(0, until - now);
}

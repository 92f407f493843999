/**
 * Limits that backend servers name in their answers: requests a second that a server takes from all daemons
 * together, for as long as it says so.
 *
 * A statement holds until a later one. An answer without a limit ends it only where its request was sent after
 * the limit was last named: answers come in another order than the server gave them.
 */

import type { InstanceId, MonoTime } from '../../ids';
import { later } from '../../ids';

export interface KnownLimit {
  /** Requests a second; undefined once the server named none any more. */
  readonly perSecond: number | undefined;
  /** When the server said so, as far as is known here. */
  readonly saidAt: MonoTime;
  /** Whether it said so to this daemon. Only such statements are passed on, so that none comes back as news. */
  readonly isOwn: boolean;
}

export type KnownLimits = ReadonlyMap<InstanceId, KnownLimit>;

/** What an answer said. */
export interface Said {
  /** Absent where it named no limit. */
  readonly perSecond?: number | undefined;
  /** When its request was sent. */
  readonly sentAt: MonoTime;
}

/** A statement as a peer tells it: null where the limit has ended; its age in milliseconds. */
export type Told = [server: InstanceId, perSecond: number | null, ageMs: number];

/** A limit that comes and goes with each answer holds throughout. */
const FLICKER_MS = 1_000;
/** Peers hear of the end of a limit several times in this time. */
const ENDED_MS = 10_000;

export function noteAnswer(
  known: KnownLimits,
  server: InstanceId,
  { perSecond, sentAt }: Said,
  now: MonoTime,
): KnownLimits {
  const before = known.get(server);
  if (perSecond === undefined) {
    if (before?.perSecond === undefined) return known;
    const hasEnded = sentAt > before.saidAt && now >= later(before.saidAt, FLICKER_MS);
    if (!hasEnded) return known;
  }
  return new Map(known).set(server, { perSecond, saidAt: now, isOwn: true });
}

/** Takes what a peer told, where it was said later than what is known. */
export function takeTold(known: KnownLimits, told: readonly Told[], now: MonoTime): KnownLimits {
  const newer = told.filter(([server, , ageMs]) => {
    const before = known.get(server);
    return before === undefined || later(now, -ageMs) > before.saidAt;
  });
  if (newer.length === 0) return known;
  const next = new Map(known);
  for (const [server, perSecond, ageMs] of newer) {
    const saidAt = later(now, -ageMs);
    next.set(server, { perSecond: perSecond ?? undefined, saidAt, isOwn: false });
  }
  return next;
}

/** Without limits that ended long ago, and without servers that are gone. */
export function forget(
  known: KnownLimits,
  isGone: (server: InstanceId) => boolean,
  now: MonoTime,
): KnownLimits {
  const isKept = ([server, { perSecond, saidAt }]: [InstanceId, KnownLimit]): boolean =>
    now < later(saidAt, ENDED_MS) || (perSecond !== undefined && !isGone(server));
  const kept = [...known].filter(isKept);
  return kept.length === known.size ? known : new Map(kept);
}

/** What is told to peers; `ofAll` where this daemon collects for them what each was told. */
export function tell(known: KnownLimits, now: MonoTime, { ofAll = false } = {}): Told[] {
  return [...known].flatMap(([server, { perSecond, saidAt, isOwn }]) =>
    isOwn || ofAll ? [[server, perSecond ?? null, Math.max(0, now - saidAt)]] : [],
  );
}

/**
 * Limits that backend servers name in their answers: requests a second that a server takes from all daemons
 * together, for as long as it says so.
 *
 * A server said what an answer holds at some time between its request's sending and the moment when the answer was
 * read, which may be seconds for a process that stood still. Where two statements may have been made in either
 * order, the lower limit holds; a higher one, or none, needs a request that was sent after the lower was heard.
 */

import type { InstanceId, MonoTime } from '../../ids';
import { later } from '../../ids';

/** What an answer said. */
export interface LimitReport {
  /** Requests a second; undefined where the server named no limit. */
  readonly perSecond?: number | undefined;
  /** When its request was sent. */
  readonly sentAt: MonoTime;
}

export interface KnownLimit extends LimitReport {
  /** When the answer was read. */
  readonly receivedAt: MonoTime;
  /** Whether the server said so to this daemon. Only such statements are passed on, so that none comes back as news. */
  readonly isOwn: boolean;
}

export type KnownLimits = ReadonlyMap<InstanceId, KnownLimit>;

/** A statement as a peer tells it: null where the limit has ended; ages in milliseconds. */
export type LimitUpdate = [
  server: InstanceId,
  perSecond: number | null,
  sentAgeMs: number,
  heardAgeMs: number,
];

/** A limit that comes and goes with each answer holds throughout. */
const FLICKER_MS = 1_000;
/** Peers hear of the end of a limit several times in this time. */
const ENDED_MS = 10_000;

/** Whether `next` replaces what is known. */
function replaces(next: KnownLimit, known: KnownLimit): boolean {
  const before = known.perSecond ?? Infinity;
  const after = next.perSecond ?? Infinity;
  if (after < before) return next.receivedAt >= known.sentAt;
  if (after > before) return next.sentAt > known.receivedAt;
  return next.sentAt > known.sentAt;
}

export function noteAnswer(
  known: KnownLimits,
  server: InstanceId,
  said: LimitReport,
  now: MonoTime,
): KnownLimits {
  const before = known.get(server);
  const next: KnownLimit = { ...said, receivedAt: now, isOwn: true };
  if (said.perSecond === undefined) {
    if (before?.perSecond === undefined) return known;
    if (now < later(before.receivedAt, FLICKER_MS)) return known;
  }
  return before && !replaces(next, before) ? known : new Map(known).set(server, next);
}

/** Takes what a peer told. */
export function mergeLimitUpdates(
  known: KnownLimits,
  told: readonly LimitUpdate[],
  now: MonoTime,
): KnownLimits {
  const taken = told.flatMap(([server, perSecond, sentAgeMs, heardAgeMs]) => {
    const next: KnownLimit = {
      perSecond: perSecond ?? undefined,
      sentAt: later(now, -sentAgeMs),
      receivedAt: later(now, -heardAgeMs),
      isOwn: false,
    };
    const before = known.get(server);
    return before && !replaces(next, before) ? [] : [[server, next] as const];
  });
  return taken.length === 0 ? known : new Map([...known, ...taken]);
}

/** Without limits that ended long ago, and without servers that are gone. */
export function pruneLimits(
  known: KnownLimits,
  isGone: (server: InstanceId) => boolean,
  now: MonoTime,
): KnownLimits {
  const isKept = ([server, { perSecond, receivedAt: heardAt }]: [
    InstanceId,
    KnownLimit,
  ]): boolean => now < later(heardAt, ENDED_MS) || (perSecond !== undefined && !isGone(server));
  const kept = [...known].filter(isKept);
  return kept.length === known.size ? known : new Map(kept);
}

/** What is told to peers; `ofAll` where this daemon collects for them what each was told. */
export function listLimitUpdates(
  known: KnownLimits,
  now: MonoTime,
  { ofAll = false } = {},
): LimitUpdate[] {
  return [...known].flatMap(([server, { perSecond, sentAt, receivedAt: heardAt, isOwn }]) =>
    isOwn || ofAll
      ? [[server, perSecond ?? null, Math.max(0, now - sentAt), Math.max(0, now - heardAt)]]
      : [],
  );
}

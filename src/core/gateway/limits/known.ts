/**
 * Rate limits that backend servers report in their responses: requests per second that a server accepts from
 * all daemons together, for as long as its responses say so.
 *
 * A report was made at some time between sending the request and reading the response, which may be seconds
 * apart in a process that was suspended. If two reports may have been made in either order, the lower limit
 * applies; a higher limit, or none, is accepted only from a request sent after the lower one was received.
 */

import type { InstanceId, MonoTime } from '../../ids';
import { later } from '../../ids';

/** The limit that a response reported. */
export interface LimitReport {
  /** Requests per second; undefined if the server reported no limit. */
  readonly perSecond?: number | undefined;
  /** When the request was sent. */
  readonly sentAt: MonoTime;
}

/** The report that currently applies to a server. */
export interface KnownLimit extends LimitReport {
  /** When the response was read. */
  readonly receivedAt: MonoTime;
  /** Whether this daemon received it from the server. Only those are forwarded, so that none is echoed as new. */
  readonly isOwn: boolean;
}

/** The current report of each server. */
export type KnownLimits = ReadonlyMap<InstanceId, KnownLimit>;

/** A report as sent between peers: null if the limit has ended; ages in milliseconds. */
export type LimitUpdate = [
  server: InstanceId,
  perSecond: number | null,
  sentAgeMs: number,
  receivedAgeMs: number,
];

/** Least time that a limit applies after a report, so that one reported in only some responses applies throughout. */
const MIN_LIMIT_HOLD_MS = 1_000;
/** Time for which the end of a limit is kept: long enough to be sent to peers several times. */
const ENDED_LIMIT_MEMORY_MS = 10_000;

/** Whether `next` replaces the known report. */
function replaces(next: KnownLimit, known: KnownLimit): boolean {
  const before = known.perSecond ?? Infinity;
  const after = next.perSecond ?? Infinity;
  if (after < before) return next.receivedAt >= known.sentAt;
  if (after > before) return next.sentAt > known.receivedAt;
  return next.sentAt > known.sentAt;
}

/** Records the limit that a response of the server reported, or that it reported none. */
export function noteAnswer(
  known: KnownLimits,
  server: InstanceId,
  report: LimitReport,
  now: MonoTime,
): KnownLimits {
  const before = known.get(server);
  const next: KnownLimit = { ...report, receivedAt: now, isOwn: true };
  if (report.perSecond === undefined) {
    if (before?.perSecond === undefined) return known;
    if (now < later(before.receivedAt, MIN_LIMIT_HOLD_MS)) return known;
  }
  return before && !replaces(next, before) ? known : new Map(known).set(server, next);
}

/** Merges reports that a peer sent. */
export function mergeLimitUpdates(
  known: KnownLimits,
  updates: readonly LimitUpdate[],
  now: MonoTime,
): KnownLimits {
  const accepted = updates.flatMap(([server, perSecond, sentAgeMs, receivedAgeMs]) => {
    const next: KnownLimit = {
      perSecond: perSecond ?? undefined,
      sentAt: later(now, -sentAgeMs),
      receivedAt: later(now, -receivedAgeMs),
      isOwn: false,
    };
    const before = known.get(server);
    return before && !replaces(next, before) ? [] : [[server, next] as const];
  });
  return accepted.length === 0 ? known : new Map([...known, ...accepted]);
}

/** Drops limits that ended long ago, and those of removed servers. */
export function pruneLimits(
  known: KnownLimits,
  isRemoved: (server: InstanceId) => boolean,
  now: MonoTime,
): KnownLimits {
  const isKept = ([server, { perSecond, receivedAt }]: [InstanceId, KnownLimit]): boolean =>
    now < later(receivedAt, ENDED_LIMIT_MEMORY_MS) ||
    (perSecond !== undefined && !isRemoved(server));
  const kept = [...known].filter(isKept);
  return kept.length === known.size ? known : new Map(kept);
}

/** Reports to send to peers; with `ofAll` also those received from peers, for a daemon that collects them all. */
export function listLimitUpdates(
  known: KnownLimits,
  now: MonoTime,
  { ofAll = false } = {},
): LimitUpdate[] {
  return [...known].flatMap(([server, { perSecond, sentAt, receivedAt, isOwn }]) =>
    isOwn || ofAll
      ? [[server, perSecond ?? null, Math.max(0, now - sentAt), Math.max(0, now - receivedAt)]]
      : [],
  );
}

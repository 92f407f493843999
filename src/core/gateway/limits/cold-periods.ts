/**
 * The time for which a server stays cold, from statements of several sources that may arrive in any order:
 * its row, its answers, and messages of peers.
 *
 * Load pattern: a server may become cold again at any moment while answers from before are still being
 * read, and its row reaches daemons some tenths of a second later than its answers. A statement that
 * extends the period applies at once. One that shortens it applies only if it is certainly newer.
 */

import type { EpochTime, MonoTime } from '../../ids';
import { later } from '../../ids';

/** Who stated how long the server stays cold. */
export type ColdSource = 'row' | 'answer' | 'peer';

/** A statement that a server stays cold for `coldMs` milliseconds; 0: it is warm. */
export interface ColdStatement {
  readonly coldMs: number;
  readonly source: ColdSource;
  /** When the request was sent that was answered with it, if known. */
  readonly sentAt?: MonoTime | undefined;
}

/** A cold period of a server. */
export interface ColdPeriod {
  /** When it became known. */
  readonly since: MonoTime;
  /** When it ends, or ended. */
  readonly until: MonoTime;
  /** When it was last extended, and by whom. */
  readonly statedAt: MonoTime;
  readonly source: ColdSource;
}

/**
 * The limit applies for this long after the end of the period: the second in which requests are counted
 * may begin before the end.
 */
export const LIMIT_HOLD_MS = 1_000;
/** A row arrives at most about this much later than an answer or a message about the same state. */
const ROW_DELAY_MS = 1_000;
/** Longest period that one statement may set, so that a wrong one does not exclude a server for ever. */
const MAX_COLD_MS = 600_000;
/** Difference between the clocks of servers and daemons that is allowed for. */
const CLOCK_TOLERANCE_MS = 2_000;

function mayShorten(period: ColdPeriod, statement: ColdStatement, now: MonoTime): boolean {
  const { source, sentAt } = statement;
  if (source === 'answer') return sentAt !== undefined && sentAt > period.statedAt;
  if (source === 'peer') return false;
  return period.source === 'row' || now >= later(period.statedAt, ROW_DELAY_MS);
}

/** The period after a statement; undefined if the server is not and was not cold. */
export function noteCold(
  period: ColdPeriod | undefined,
  statement: ColdStatement,
  now: MonoTime,
): ColdPeriod | undefined {
  const until = later(now, Math.min(MAX_COLD_MS, statement.coldMs));
  if (!period || until > period.until) {
    if (until <= now) return period;
    const since = period && now < limitEnd(period) ? period.since : now;
    return { since, until, statedAt: now, source: statement.source };
  }
  return mayShorten(period, statement, now) ? { ...period, until } : period;
}

/** When the limit on requests ends. */
export function limitEnd({ until }: ColdPeriod): MonoTime {
  return later(until, LIMIT_HOLD_MS);
}

/** Start of a server whose row does not say how long it stays cold. */
export interface UnstatedStart {
  readonly startedAt: EpochTime | undefined;
  /** For how long its service's servers are cold after a start. */
  readonly coldStartMs: number;
  /** Since when callers are served; undefined if they are not. */
  readonly trafficSince: EpochTime | undefined;
}

/** For how long such a server stays cold, milliseconds; 0 if it started before callers were served. */
export function unstatedColdMs(
  { startedAt, coldStartMs, trafficSince }: UnstatedStart,
  now: EpochTime,
): number {
  if (startedAt === undefined || trafficSince === undefined) return 0;
  if (later(startedAt, CLOCK_TOLERANCE_MS) < trafficSince) return 0;
  return Math.min(coldStartMs, Math.max(0, later(startedAt, coldStartMs) - now));
}

/**
 * Decides when a daemon takes in less than arrives, as its processor cannot serve it all.
 *
 * Load pattern: a daemon gets several times the requests that it can serve, for instance because the balancer sends it
 * most new connections of a zone, or because all callers return at once. Served in order of arrival, each would wait
 * until its caller has given up, so that none is served in time. New connections are closed unread then, which costs a
 * fraction of an answer and lets the caller try another daemon at once, also for a request that must not run twice.
 */

import type { MonoTime } from '../ids';

/** How far a daemon is behind. */
export interface Backlog {
  /** No connection that arrived before this waits to be accepted. */
  readonly drainedAt: MonoTime;
  /** Batches of requests worked on since then: a process that has just gone on after a pause has worked on none. */
  readonly batches: number;
  /** When the oldest request arrived that was read and not worked on; undefined if there is none. */
  readonly oldestAt: MonoTime | undefined;
  /** Requests that were read and not worked on. */
  readonly queued: number;
}

/** Callers give up a request that nobody has read after a second; most need the answer sooner. */
const SATURATED_AFTER_MS = 250;
/** Requests that have waited for longer are refused while the daemon is saturated, milliseconds. */
const MAX_WAIT_MS = 500;
/** A process that goes on after a pause may work off what has waited first. */
const MIN_BATCHES = 2;
/** More would be read and refused later, which costs more than to close their connections unread. */
const MAX_QUEUED = 64;
/** The daemon takes new connections again once the oldest request has waited for less than this, milliseconds. */
const RELIEVED_MS = 100;

function waitedMs({ drainedAt, oldestAt = drainedAt }: Backlog, now: MonoTime): number {
  return now - Math.min(drainedAt, oldestAt);
}

/** Whether the daemon takes no new connections, given whether it did not before. */
export function isSaturated(backlog: Backlog, wasSaturated: boolean, now: MonoTime): boolean {
  if (backlog.queued > MAX_QUEUED) return true;
  const waited = waitedMs(backlog, now);
  if (wasSaturated) return waited >= RELIEVED_MS;
  return waited >= SATURATED_AFTER_MS && backlog.batches >= MIN_BATCHES;
}

/** Whether a request that arrived at `arrivedAt` has waited for too long to be worked on. */
export function isTooLate(arrivedAt: MonoTime, saturated: boolean, now: MonoTime): boolean {
  return saturated && now - arrivedAt >= MAX_WAIT_MS;
}

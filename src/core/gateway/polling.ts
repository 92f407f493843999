/**
 * Timeouts of long polls of the platform's store: how long a poll may stay open, and when it is abandoned
 * for a new one.
 *
 * Load pattern: the store, or the connections to it, stop responding for some seconds while an operator
 * changes the configuration and servers leave. A call that is open then, or sent meanwhile, is never
 * answered, and cannot be distinguished from a poll without changes to report. All daemons received the last
 * change at the same moment and poll in step, so none has newer data that it could send to the others.
 *
 * Every call therefore ends early enough for a new one within the settling time, in which a disturbed daemon
 * must have recovered.
 */

import { later } from '../ids';
import type { MonoTime } from '../ids';

/**
 * Round trip to the store including its processing time: three times the response time of a store that has
 * become fifty times slower than usual.
 */
const ROUND_TRIP_MS = 800;
/**
 * Part of the settling time that a call may stay open. The rest is for the steps before the next one (up to
 * 0.5 s between attempts, and 0.1 s until the timeout is noticed) and for its response.
 */
const MAX_CALL_SHARE = 0.7;

/** Input for planning a poll. */
export interface PollParams {
  readonly now: MonoTime;
  /** Time within which a disturbed daemon must have recovered, milliseconds. */
  readonly settleMs: number;
  /** How long the store should hold the call for a change unless a shorter time is required, milliseconds. */
  readonly preferredWaitMs: number;
  /** Until when a peer's report shows that this daemon's data is fresh. */
  readonly freshUntil: MonoTime;
  /** Whether the last call had no response. */
  readonly isFailing: boolean;
}

/** A call in progress. */
export interface Poll {
  /** Time for which the store holds the call if nothing changes, milliseconds. */
  readonly waitMs: number;
  /** A store that answers another call after this instant should have answered this one. */
  readonly dueAt: MonoTime;
  /** From this instant the call is kept only while a peer reports that this daemon's data is fresh. */
  readonly renewAt: MonoTime;
  /** From this instant no response is expected any more. */
  readonly overdueAt: MonoTime;
}

/**
 * After a version a daemon polls again only after this fraction of the time in which versions must be in force.
 * An operator's series of versions then costs each daemon a few calls instead of one per version; the rest of
 * that time is for the call, and for peers if the store refuses this daemon.
 */
const POLL_DELAY_SHARE = 0.15;
/** The same for versions that would fill the link. */
const MAX_POLL_DELAY_SHARE = 0.25;
/** Versions of a series are read at a quarter of a link of 10 Mbit/s. */
const SERIES_BYTES_PER_MS = 300;

/**
 * How long a daemon waits after a version of the configuration of this size before it polls again,
 * milliseconds.
 */
export function pollDelayMs(configMs: number, bytes: number): number {
  const shortest = configMs * POLL_DELAY_SHARE;
  const longest = configMs * MAX_POLL_DELAY_SHARE;
  return Math.min(longest, Math.max(shortest, bytes / SERIES_BYTES_PER_MS));
}

/** Longest time that a call may stay open while no peer reports that the data is fresh, milliseconds. */
export function maxCallMs(settleMs: number): number {
  return settleMs * MAX_CALL_SHARE;
}

/** Plans the next poll. After a failure the store isn't asked to hold the call, only whether it responds. */
export function planPoll(params: PollParams): Poll {
  const { now, settleMs, preferredWaitMs, freshUntil, isFailing } = params;
  const maxMs = maxCallMs(settleMs);
  const renewAt = later(now, maxMs);
  if (isFailing)
    return { waitMs: 0, dueAt: later(now, ROUND_TRIP_MS), renewAt, overdueAt: renewAt };
  const isFresh = now < freshUntil;
  const waitMs = isFresh
    ? preferredWaitMs
    : Math.max(0, Math.min(preferredWaitMs, maxMs - ROUND_TRIP_MS));
  const dueAt = later(now, waitMs + ROUND_TRIP_MS);
  return { waitMs, dueAt, renewAt, overdueAt: dueAt };
}

/** What is known while a poll is in progress. */
export interface PollProgress {
  readonly now: MonoTime;
  readonly freshUntil: MonoTime;
  /** When the store last answered any call of this daemon. */
  readonly answeredAt?: MonoTime;
}

/**
 * What to do with a poll.
 *
 * - `wait`: continue to wait.
 * - `renew`: a response may still arrive, but the data has become too stale to wait for it.
 * - `overdue`: no response will arrive, and the store counts as lost.
 */
export type PollDecision = 'wait' | 'renew' | 'overdue';

/** Decides whether to continue waiting for the response. */
export function checkPoll(poll: Poll, { now, freshUntil, answeredAt }: PollProgress): PollDecision {
  const isOvertaken = answeredAt !== undefined && answeredAt >= poll.dueAt;
  if (isOvertaken || now >= poll.overdueAt) return 'overdue';
  return now >= poll.renewAt && now >= freshUntil ? 'renew' : 'wait';
}

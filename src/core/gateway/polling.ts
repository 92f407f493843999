/**
 * How long a poll of the platform's store may stay out, and when it is given up for a new one.
 *
 * Load pattern: the store, or the connections to it, fall silent for some seconds while an operator
 * changes the configuration and servers leave. A call that is out then, or sent meanwhile, is never
 * answered, and nothing tells it from a poll that has nothing to report. All daemons learned the last
 * change at the same moment and ask in step, so that none can tell the others what it knows.
 *
 * Every call is therefore over early enough for a fresh one within the time that a disturbed daemon has
 * to be in order again.
 */

import { later } from '../ids';
import type { MonoTime } from '../ids';

/**
 * A call's way to the store and back with the store's own time, milliseconds: three times the answer of
 * a store that has become fifty times slower than usual.
 */
const ANSWER_MS = 800;
/**
 * Part of the settling time that a call may stay out. The rest is for what precedes the next one (up to
 * 0.5 s between tries, and 0.1 s until it is noticed) and for its answer.
 */
const CALL_SHARE = 0.7;

export interface PollParams {
  readonly now: MonoTime;
  /** A disturbed daemon keeps its promises again after this, milliseconds. */
  readonly settleMs: number;
  /** How long the store should hold the call for a change, where nothing speaks against it. */
  readonly preferredWaitMs: number;
  /** Until when a peer's word shows that what is known here is young enough. */
  readonly freshUntil: MonoTime;
  /** The last call had no answer. */
  readonly isFailing: boolean;
}

/** A call that is out. */
export interface Poll {
  /** The store holds the call for so long if nothing changes. */
  readonly waitMs: number;
  /** A store that answers other calls from now on should have answered this one. */
  readonly dueAt: MonoTime;
  /** From now on it is worth having only while a peer vouches for what is known here. */
  readonly renewAt: MonoTime;
  /** No answer will come any more. */
  readonly overdueAt: MonoTime;
}

/** Longest time that a call may stay out while nobody else vouches for what is known, milliseconds. */
export function maxCallMs(settleMs: number): number {
  return settleMs * CALL_SHARE;
}

/** What the next poll asks for. After a failure the store is only asked whether it is back. */
export function planPoll(needs: PollParams): Poll {
  const { now, settleMs, preferredWaitMs: wishedMs, freshUntil: trustedUntil, isFailing } = needs;
  const longestMs = maxCallMs(settleMs);
  const renewAt = later(now, longestMs);
  if (isFailing) return { waitMs: 0, dueAt: later(now, ANSWER_MS), renewAt, overdueAt: renewAt };
  const isTrusted = now < trustedUntil;
  const waitMs = isTrusted ? wishedMs : Math.max(0, Math.min(wishedMs, longestMs - ANSWER_MS));
  const dueAt = later(now, waitMs + ANSWER_MS);
  return { waitMs, dueAt, renewAt, overdueAt: dueAt };
}

export interface PollProgress {
  readonly now: MonoTime;
  readonly freshUntil: MonoTime;
  /** When the store last answered any call of this daemon. */
  readonly answeredAt?: MonoTime;
}

/**
 * `overdue`: no answer will come, and the store counts as lost; `renew`: an answer may still come, but
 * what is known here has grown too old to wait for it.
 */
export type PollDecision = 'wait' | 'renew' | 'overdue';

/** Whether to go on waiting for the answer. */
export function checkPoll(
  poll: Poll,
  { now, freshUntil: trustedUntil, answeredAt }: PollProgress,
): PollDecision {
  const isOvertaken = answeredAt !== undefined && answeredAt >= poll.dueAt;
  if (isOvertaken || now >= poll.overdueAt) return 'overdue';
  return now >= poll.renewAt && now >= trustedUntil ? 'renew' : 'wait';
}

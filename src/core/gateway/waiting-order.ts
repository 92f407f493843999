/**
 * The order in which waiting requests get places in groups.
 *
 * Load pattern: groups are lost or a burst comes, and requests of one model wait that hold a place for
 * very different times: a draft of 30 events for two seconds, a summary of four for a third of one.
 * Served in order of arrival, a few long ones make many short ones late. So among requests of the same
 * urgency those that can still be on time go first, and among these a shorter one goes before a longer
 * one that came a little earlier. Late ones come last, in order of arrival: waiting longer costs them
 * little and others much.
 */

import type { MonoTime } from '../ids';

export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: MonoTime;
  /** The latency objective is missed where it has no place by then. */
  readonly onTimeUntil: MonoTime;
  /** How long requests of its kind hold a place, milliseconds. */
  readonly holdMs: number;
}

/**
 * A request may be overtaken by those that came up to this part of the difference in holding times
 * later: a second more costs 100 ms of waiting, a fraction of the usual latency objective. More would
 * make long requests late without helping the short ones.
 */
const HOLD_WEIGHT = 0.1;

/** Weight of the latest request in a kind's mean holding time. */
const HOLD_SMOOTHING = 0.1;

function turnOf({ arrivedAt, holdMs }: WaitingRequest): number {
  return arrivedAt + HOLD_WEIGHT * holdMs;
}

/** Negative where `a` goes first. */
export function compareWaiting(a: WaitingRequest, b: WaitingRequest, now: MonoTime): number {
  const isLate = [a, b].map(({ onTimeUntil }) => Number(now >= onTimeUntil)) as [number, number];
  const urgency = a.priority - b.priority || isLate[0] - isLate[1];
  if (urgency !== 0) return urgency;
  return isLate[0] === 1 ? a.arrivedAt - b.arrivedAt : turnOf(a) - turnOf(b);
}

/** The mean holding time of a kind once one more request has ended. */
export function smoothHoldMs(mean: number | undefined, holdMs: number): number {
  return mean === undefined ? holdMs : mean + HOLD_SMOOTHING * (holdMs - mean);
}

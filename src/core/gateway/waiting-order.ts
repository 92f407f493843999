/**
 * The order in which waiting requests get slots in groups.
 *
 * Load pattern: groups are lost or a burst arrives, and the waiting requests of a model hold a slot for very
 * different times: a draft of 30 events for two seconds, a summary of four for a third of a second. Served
 * in order of arrival, a few long ones make many short ones late. So requests that can still be on time go
 * first, and among those of the same priority a shorter one goes before a longer one that arrived slightly
 * earlier. Late ones go last, also more urgent ones: a longer wait costs them little, while each would make
 * another request late. Those of the same priority go in order of arrival. Before the order within a priority
 * comes the one among organisations, see fair-order.ts.
 */

import type { MonoTime } from '../ids';

/** A request that waits for a slot. */
export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: MonoTime;
  /** It misses its latency objective if it gets no slot by then. */
  readonly onTimeUntil: MonoTime;
  /** Mean time that requests of its kind hold a slot, milliseconds. */
  readonly holdMs: number;
  /** Rank of its organisation within the priority class; the lower one goes first. 0 if absent. */
  readonly organisationRank?: number;
}

/**
 * Part of the holding time that is added to the arrival time: a request that holds its slot a second longer
 * may be overtaken by one that arrived up to 100 ms later, a fraction of the usual latency objective. More
 * would make long requests late without helping the short ones.
 */
const HOLD_WEIGHT = 0.1;

/** Weight of the latest sample in a mean holding time. */
const HOLD_SMOOTHING = 0.1;

function sortKeyOf({ arrivedAt, holdMs }: WaitingRequest): number {
  return arrivedAt + HOLD_WEIGHT * holdMs;
}

/** Comparison function for sorting: negative if `a` goes first. */
export function compareWaiting(a: WaitingRequest, b: WaitingRequest, now: MonoTime): number {
  const isLate = [a, b].map(({ onTimeUntil }) => Number(now >= onTimeUntil)) as [number, number];
  const ranks = (a.organisationRank ?? 0) - (b.organisationRank ?? 0);
  const order = isLate[0] - isLate[1] || a.priority - b.priority || ranks;
  if (order !== 0) return order;
  return isLate[0] === 1 ? a.arrivedAt - b.arrivedAt : sortKeyOf(a) - sortKeyOf(b);
}

/** The mean holding time with one more sample; the first sample sets it. */
export function smoothHoldMs(mean: number | undefined, holdMs: number): number {
  return mean === undefined ? holdMs : mean + HOLD_SMOOTHING * (holdMs - mean);
}

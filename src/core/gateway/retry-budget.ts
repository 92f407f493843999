/**
 * One daemon's part of the retry budget of a fleet. In any window the fleet may make a fixed number of
 * retries plus a share of the requests. Half of the fixed number can be used at once and the other half is
 * refilled over a window, so that no window exceeds the total.
 *
 * Load pattern: a group is lost, and all its streams need a retry at the same moment. In a large fleet one
 * daemon has one to three of them, while its part of the fixed number is less than one. So a small share of
 * the requests of the last window can be saved up in addition. This stays within the limit because users
 * count the requests of the previous window if these are more.
 */

import type { MonoTime } from '../ids';

/** Retries that the fleet may make. */
export interface FleetAllowance {
  /** Retries per request. */
  readonly ratio: number;
  /** Further retries per request of the last window, which may be saved up. */
  readonly burstRatio?: number;
  /** Fixed number of retries per window. */
  readonly slack: number;
  readonly windowMs: number;
  /** Number of daemons that the fixed number is divided among. */
  readonly daemons: number;
}

/** One daemon's token bucket; a retry takes one token. */
export interface FleetBudget {
  readonly tokens: number;
  /** First attempts within about a window, decaying exponentially. */
  readonly recentRequests: number;
  /** When it was last refilled. */
  readonly at: MonoTime;
}

function halfSlack({ slack, daemons }: FleetAllowance): number {
  return slack / 2 / Math.max(1, daemons);
}

/**
 * The budget of a process that has just started. It is empty, since the previous process may have spent its
 * part in the same window. Load pattern: most daemons are killed while servers reject a third of their
 * requests; if every restart began with a full bucket, the fleet would exceed its allowance.
 */
export function createFleetBudget(now: MonoTime): FleetBudget {
  return { tokens: 0, recentRequests: 0, at: now };
}

/** Capacity of the bucket; at least one, as a retry takes a complete token. */
function maxTokens(allowance: FleetAllowance, recentRequests: number): number {
  return Math.max(1, halfSlack(allowance) + (allowance.burstRatio ?? 0) * recentRequests);
}

function refill(budget: FleetBudget, allowance: FleetAllowance, now: MonoTime): FleetBudget {
  const windows = Math.max(0, now - budget.at) / allowance.windowMs;
  const recentRequests = budget.recentRequests * Math.exp(-windows);
  const tokens = budget.tokens + halfSlack(allowance) * windows;
  return {
    tokens: Math.min(maxTokens(allowance, recentRequests), tokens),
    recentRequests,
    at: now,
  };
}

/** Records the first attempt of a request. */
export function noteFirstSend(
  budget: FleetBudget,
  allowance: FleetAllowance,
  now: MonoTime,
): FleetBudget {
  const refilled = refill(budget, allowance, now);
  const recentRequests = refilled.recentRequests + 1;
  const tokens = Math.min(maxTokens(allowance, recentRequests), refilled.tokens + allowance.ratio);
  return { ...refilled, recentRequests, tokens };
}

/** The budget after one retry; undefined if no retry is available. */
export function takeRetry(
  budget: FleetBudget,
  allowance: FleetAllowance,
  now: MonoTime,
): FleetBudget | undefined {
  const refilled = refill(budget, allowance, now);
  return refilled.tokens < 1 ? undefined : { ...refilled, tokens: refilled.tokens - 1 };
}

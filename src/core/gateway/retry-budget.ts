/**
 * One daemon's part of the retries that a fleet may make in any window: a share of the requests and a
 * fixed number. Half of the fixed number is at hand at any moment, the other half comes back over a
 * window, so that no window holds more than the whole.
 *
 * Load pattern: a group is lost, and all its streams need a retry at the same moment. In a large fleet a
 * daemon has one of them, or two or three, and its part of the fixed number is less than one. So a small
 * share of the requests of the last window is at hand beside it. The users count the requests of the
 * window before where they are more, which is what this share stands on.
 */

import type { MonoTime } from '../ids';

export interface FleetAllowance {
  readonly ratio: number;
  /** A further share, of the requests of the last window, that may be saved up. */
  readonly burstRatio?: number;
  readonly slack: number;
  readonly windowMs: number;
  /** Daemons that the fixed number is divided by. */
  readonly daemons: number;
}

export interface FleetBudget {
  readonly tokens: number;
  /** Requests sent for the first time within about a window. */
  readonly recentRequests: number;
  readonly at: MonoTime;
}

function halfSlack({ slack, daemons }: FleetAllowance): number {
  return slack / 2 / Math.max(1, daemons);
}

/**
 * The budget of a process that has just started: nothing is saved, since its life before may have spent
 * its part in the same window. Load pattern: most daemons are killed while servers reject a third of
 * what they get; a fleet whose every restart began with a fresh part would spend more than its allowance.
 */
export function createFleetBudget(now: MonoTime): FleetBudget {
  return { tokens: 0, recentRequests: 0, at: now };
}

/** Most that may be saved; a retry is always whole. */
function mostSaved(allowance: FleetAllowance, recent: number): number {
  return Math.max(1, halfSlack(allowance) + (allowance.burstRatio ?? 0) * recent);
}

function refill(budget: FleetBudget, allowance: FleetAllowance, now: MonoTime): FleetBudget {
  const windows = Math.max(0, now - budget.at) / allowance.windowMs;
  const recent = budget.recentRequests * Math.exp(-windows);
  const saved = budget.tokens + halfSlack(allowance) * windows;
  return { tokens: Math.min(mostSaved(allowance, recent), saved), recentRequests: recent, at: now };
}

/** A request was sent for the first time. */
export function noteFirstSend(
  budget: FleetBudget,
  allowance: FleetAllowance,
  now: MonoTime,
): FleetBudget {
  const refilled = refill(budget, allowance, now);
  const recent = refilled.recentRequests + 1;
  const saved = Math.min(mostSaved(allowance, recent), refilled.tokens + allowance.ratio);
  return { ...refilled, recentRequests: recent, tokens: saved };
}

/** Undefined if no retry is left. */
export function takeRetry(
  budget: FleetBudget,
  allowance: FleetAllowance,
  now: MonoTime,
): FleetBudget | undefined {
  const refilled = refill(budget, allowance, now);
  return refilled.tokens < 1 ? undefined : { ...refilled, tokens: refilled.tokens - 1 };
}

/**
 * One daemon's part of the retries that a fleet may make in any window: a share of the requests and a
 * fixed number. Half of the fixed number is at hand at any moment, the other half comes back over a
 * window, so that no window holds more than the whole.
 */

import type { MonoTime } from '../ids';

export interface FleetAllowance {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
  /** Daemons that the fixed number is divided by. */
  readonly daemons: number;
}

export interface FleetBudget {
  readonly saved: number;
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
  return { saved: 0, at: now };
}

function refill(budget: FleetBudget, allowance: FleetAllowance, now: MonoTime): FleetBudget {
  const half = halfSlack(allowance);
  const back = (half * Math.max(0, now - budget.at)) / allowance.windowMs;
  return { saved: Math.min(Math.max(1, half), budget.saved + back), at: now };
}

/** A request was sent for the first time. */
export function noteFirstSend(
  budget: FleetBudget,
  allowance: FleetAllowance,
  now: MonoTime,
): FleetBudget {
  const refilled = refill(budget, allowance, now);
  const most = Math.max(1, halfSlack(allowance));
  return { ...refilled, saved: Math.min(most, refilled.saved + allowance.ratio) };
}

/** Undefined if no retry is left. */
export function takeRetry(
  budget: FleetBudget,
  allowance: FleetAllowance,
  now: MonoTime,
): FleetBudget | undefined {
  const refilled = refill(budget, allowance, now);
  return refilled.saved < 1 ? undefined : { ...refilled, saved: refilled.saved - 1 };
}

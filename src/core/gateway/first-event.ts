/**
 * Estimates the time to the first event: how long groups take from receiving a request to its first event. A
 * request that has waited for a slot longer than its objective less this time will be late in any group.
 */

/** Exponentially weighted mean and mean deviation of the time to the first event, milliseconds. */
export interface FirstEventStats {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Weight of the latest sample. */
const SMOOTHING = 0.1;
/**
 * Largest part of the objective that groups are assumed to take. If they take longer all requests are late,
 * and the slack that remains still puts the latest arrivals first.
 */
const MAX_OBJECTIVE_SHARE = 0.5;

/** Adds a sample; the first one sets the mean, and half of itself as deviation. */
export function noteFirstEvent(stats: FirstEventStats | undefined, ms: number): FirstEventStats {
  if (!stats) return { meanMs: ms, deviationMs: ms / 2 };
  const error = ms - stats.meanMs;
  return {
    meanMs: stats.meanMs + SMOOTHING * error,
    deviationMs: stats.deviationMs + SMOOTHING * (Math.abs(error) - stats.deviationMs),
  };
}

/** Time that a request may wait for a slot and still be on time, milliseconds. */
export function slackMs(stats: FirstEventStats | undefined, objectiveMs: number): number {
  const expectedMs = stats ? stats.meanMs + stats.deviationMs : 0;
  return objectiveMs - Math.min(expectedMs, MAX_OBJECTIVE_SHARE * objectiveMs);
}

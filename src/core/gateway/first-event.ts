/**
 * How long a group takes from the arrival of a request to its first event, as seen of late. A request that has
 * waited for a place for longer than its objective less this time will be late wherever it is sent.
 */

/** Mean and mean deviation, milliseconds. */
export interface FirstEventStats {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Weight of the latest first event. */
const SMOOTHING = 0.1;
/**
 * Part of the objective that groups may be expected to take. Where they take longer all requests are late, and
 * those that came last still go first.
 */
const MOST_OF_OBJECTIVE = 0.5;

export function noteFirstEvent(seen: FirstEventStats | undefined, ms: number): FirstEventStats {
  if (!seen) return { meanMs: ms, deviationMs: ms / 2 };
  const error = ms - seen.meanMs;
  return {
    meanMs: seen.meanMs + SMOOTHING * error,
    deviationMs: seen.deviationMs + SMOOTHING * (Math.abs(error) - seen.deviationMs),
  };
}

/** Time that a request may wait for a place and still be on time, milliseconds. */
export function slackMs(seen: FirstEventStats | undefined, objectiveMs: number): number {
  const takesMs = seen ? seen.meanMs + seen.deviationMs : 0;
  return objectiveMs - Math.min(takesMs, MOST_OF_OBJECTIVE * objectiveMs);
}

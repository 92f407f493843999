/**
 * Adaptive connect timeout, derived from measured connect times. An unreachable server drops packets
 * silently; the sooner the attempt times out, the more of the caller's deadline remains for another server.
 */

/** Multiple of the mean connect time. */
const MEAN_FACTOR = 12;
/** Lower bound, milliseconds: allows for delays in a busy process. */
const MIN_LIMIT_MS = 100;
/** Weight of the latest connect time in the moving average. */
const SMOOTHING = 0.1;

/** Connect timeout of one connection pool. */
export interface ConnectLimit {
  /** The current timeout, milliseconds. */
  limitMs(): number;
  /** Records the duration of a successful connect, milliseconds. */
  note(tookMs: number): void;
}

/** `maxMs` is the upper bound, and the timeout until a first connection has succeeded. */
export function createConnectLimit(maxMs: number): ConnectLimit {
  let meanMs: number | undefined;
  return {
    limitMs: () =>
      meanMs === undefined ? maxMs : Math.min(maxMs, Math.max(MIN_LIMIT_MS, MEAN_FACTOR * meanMs)),
    note: (tookMs) => {
      meanMs = meanMs === undefined ? tookMs : meanMs + SMOOTHING * (tookMs - meanMs);
    },
  };
}

/**
 * How long a connection may take to be made, by how long others took. A server that is dark answers
 * nothing; the sooner that is noticed, the more of the caller's time is left for another one.
 */

/** Times longer than the usual one, and a floor for what a busy process adds, milliseconds. */
const USUAL_TIMES = 12;
const LEAST_MS = 100;
/** Weight of the latest connection in the mean. */
const SMOOTHING = 0.1;

export interface ConnectLimit {
  limitMs(): number;
  note(tookMs: number): void;
}

/** `longestMs` holds until a first connection was made, and whatever the others take. */
export function createConnectLimit(longestMs: number): ConnectLimit {
  let meanMs: number | undefined;
  return {
    limitMs: () =>
      meanMs === undefined
        ? longestMs
        : Math.min(longestMs, Math.max(LEAST_MS, USUAL_TIMES * meanMs)),
    note: (tookMs) => {
      meanMs = meanMs === undefined ? tookMs : meanMs + SMOOTHING * (tookMs - meanMs);
    },
  };
}

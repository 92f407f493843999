/** Measures whether this process ran while it waited for others. */

import { later } from '../../core/ids';
import type { Clock } from '../../ports/runtime';

export interface DelayWatch {
  /** Ends the measurement; returns the longest delay of a tick, milliseconds. */
  stop(): number;
}

/** Interval of the ticks: a fraction of the shortest time limit that is judged by them. */
const TICK_MS = 25;

/** Starts to measure by how much the ticks of a timer come late. */
export function startDelayWatch(clock: Clock): DelayWatch {
  let dueAt = later(clock.now(), TICK_MS);
  let longestMs = 0;
  const measure = (): void => {
    const now = clock.now();
    longestMs = Math.max(longestMs, now - dueAt);
    dueAt = later(now, TICK_MS);
  };
  const timer = setInterval(measure, TICK_MS);
  return {
    stop: () => {
      clearInterval(timer);
      measure();
      return Math.round(longestMs);
    },
  };
}

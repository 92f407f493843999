/** Waits in short steps, and measures for how long this process ran meanwhile. */

import { later } from '../../core/ids';
import type { Clock } from '../../ports/runtime';
import { pause } from '../../utils/pause';

export interface RunTimer {
  /** Waits for one step, or until `wake` is called; then what has been received is read. */
  step(): Promise<void>;
  wake(): void;
  /** Time in which this process ran, as far as it was waited for, milliseconds. */
  ranMs(): number;
  /** The longest delay of a step, milliseconds. */
  longestDelayMs(): number;
}

/** A fraction of the shortest time limit that is judged by it. */
const STEP_MS = 25;
/** A step that ends later than this, milliseconds, shows that the process did not run. */
const LATE_MS = 50;

export function createRunTimer(clock: Clock): RunTimer {
  let ranMs = 0;
  let longestDelayMs = 0;
  let wake = (): void => undefined;

  return {
    step: async () => {
      const startedAt = clock.now();
      const dueAt = later(startedAt, STEP_MS);
      await Promise.race([pause(STEP_MS), new Promise<void>((resolve) => (wake = resolve))]);
      const delayMs = clock.now() - dueAt;
      longestDelayMs = Math.max(longestDelayMs, delayMs);
      ranMs += delayMs > LATE_MS ? STEP_MS : clock.now() - startedAt;
      // Timers are due before answers are read that came while the process did not run.
      if (delayMs > 0) await new Promise(setImmediate);
    },
    wake: () => {
      wake();
    },
    ranMs: () => ranMs,
    longestDelayMs: () => Math.round(longestDelayMs),
  };
}

/** Measures for how long the event loop is blocked, or the process does not run. */

import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

export interface LoopDelay {
  /** Must be called at each tick. */
  tick(): void;
  /**
   * When the last tick was due, if it was late and the event loop has not polled since, or the next one, if it is
   * overdue: what arrived from then on could not be read before.
   */
  blockedSince(): MonoTime | undefined;
}

/** The gauge shows the longest delay of the last whole interval of this length. */
const INTERVAL_MS = 10_000;
/** Delays from this one on are logged: streams and reports of servers count as silent soon after. */
const LOGGED_MS = 200;
/** Timers are late by a few milliseconds as well where nothing blocks. */
const BLOCKED_MS = 20;

/** `tickMs` is the interval of the ticks. */
export function createLoopDelay(
  { clock, metrics, logger }: GatewayContext,
  tickMs: number,
): LoopDelay {
  /** Undefined before the first tick: a process that is starting is not behind. */
  let expectedAt: MonoTime | undefined;
  let intervalEndsAt = later(clock.now(), INTERVAL_MS);
  let longestMs = 0;
  let blockedSince: MonoTime | undefined;
  metrics.gauge('nutmegstack_loop_delay_max_ms', 0);

  return {
    // A process that goes on in the middle of a poll reads before it runs its timers.
    blockedSince: () =>
      blockedSince ??
      (expectedAt !== undefined && clock.now() - expectedAt >= BLOCKED_MS ? expectedAt : undefined),
    tick: () => {
      const now = clock.now();
      const delayMs = Math.max(0, now - (expectedAt ?? now));
      if (delayMs >= BLOCKED_MS) {
        blockedSince = expectedAt;
        setImmediate(() => {
          blockedSince = undefined;
        });
      }
      expectedAt = later(now, tickMs);
      longestMs = Math.max(longestMs, delayMs);
      if (delayMs >= LOGGED_MS)
        logger.info('event loop was delayed', { step: 'loop', delayMs: Math.round(delayMs) });
      if (now < intervalEndsAt) return;
      intervalEndsAt = later(now, INTERVAL_MS);
      metrics.gauge('nutmegstack_loop_delay_max_ms', longestMs);
      longestMs = 0;
    },
  };
}

/** Distinguishes a stalled group from one whose events this process has not read yet. */

import { stalledAt, sharedGroupStalledAt } from '../../core/gateway/progress';
import type { Progress } from '../../core/gateway/progress';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Clock } from '../../ports/runtime';

/** What is known of a group apart from the events that this daemon saw. */
export interface StallContext {
  /** Expected pause between events of a stream, milliseconds. */
  readonly expectedPauseMs: number;
  /** Time to prefill the prompts that were sent to it, milliseconds. */
  readonly prefillMs: number;
  /** Requests of all daemons in it. */
  readonly running: number;
  /** Whether the loads of the other daemons are known, and the number of their requests in it. */
  readonly hasPeerLoads: boolean;
  readonly runningOnPeers: number;
}

export interface StallDetector {
  /** Must be called at each tick: a late call shows that the process was not scheduled. */
  tick(): void;
  /** Since when the process has run without a pause; events that arrived before may not be read yet. */
  observingSince(): MonoTime;
  /** Why the silence of a group indicates a stall; undefined if it does not. */
  detect(progress: Progress, group: StallContext): string | undefined;
}

/** With this many requests of other daemons in a group, those daemons detect a stall as well. */
const SHARED_THRESHOLD = 2;
/** Delay of a tick above which the process is assumed not to have been scheduled, milliseconds. */
const TICK_DELAY_THRESHOLD_MS = 150;
/** Usual interval of the ticks, with some margin for timers, milliseconds. */
const TICK_INTERVAL_MS = 60;

export function createStallDetector(clock: Clock): StallDetector {
  let lastTickAt = clock.now();
  /**
   * End of the last time in which this process was not scheduled, for example for lack of processor
   * time.
   */
  let pausedUntil = clock.now();
  /** Delay of the last tick: what arrived meanwhile is read after it, milliseconds. */
  let unreadMs = 0;

  const observingSince = (): MonoTime => {
    const now = clock.now();
    return now >= later(lastTickAt, TICK_DELAY_THRESHOLD_MS) ? now : pausedUntil;
  };

  return {
    tick: () => {
      const now = clock.now();
      pausedUntil = observingSince();
      unreadMs = Math.max(0, now - lastTickAt - TICK_INTERVAL_MS);
      lastTickAt = now;
    },
    observingSince,
    detect: (progress, { expectedPauseMs, prefillMs, running, hasPeerLoads, runningOnPeers }) => {
      const now = clock.now();
      // Events that arrived while the process was not scheduled have not been read yet.
      const observed =
        progress.since < pausedUntil ? { ...progress, since: pausedUntil } : progress;
      const isShared = !hasPeerLoads || runningOnPeers >= SHARED_THRESHOLD;
      const at = isShared
        ? sharedGroupStalledAt(observed, expectedPauseMs, prefillMs, hasPeerLoads)
        : stalledAt(observed, expectedPauseMs, prefillMs);
      if (at === undefined || now < later(at, unreadMs)) return undefined;
      const silentMs = Math.round(now - observed.since);
      const pauseMs = Math.round(Math.max(expectedPauseMs, observed.pauseMs ?? 0));
      const details = `prefill ${Math.round(prefillMs)} ms, running ${running}`;
      return `${observed.running} streams silent for ${silentMs} ms, expected pause ${pauseMs} ms, ${details}`;
    },
  };
}

/** Tells a group that stands still from one whose events this process has not read yet. */

import { stalledAt, sharedGroupStalledAt } from '../../core/gateway/progress';
import type { Progress } from '../../core/gateway/progress';
import { later } from '../../core/ids';
import type { Clock } from '../../ports/runtime';

/** What is known of a group beside the events that this daemon saw. */
export interface StallContext {
  /** Usual pause between events of a stream, milliseconds. */
  readonly expectedPauseMs: number;
  /** Time that the prompts sent to it take to be read, milliseconds. */
  readonly prefillMs: number;
  /** Requests of all daemons in it. */
  readonly running: number;
  /** Whether the loads of the other daemons are known, and their requests in it. */
  readonly hasPeerLoads: boolean;
  readonly runningOnPeers: number;
}

export interface StallDetector {
  /** To be called at each tick: a late one shows that the process did not run. */
  tick(): void;
  /** Why the silence of a group is evidence of a fault; undefined where it is none. */
  detect(progress: Progress, group: StallContext): string | undefined;
}

/** With so many requests of others in a group they tell of a fault as well. */
const SHARED_AT = 2;
/** A tick so late shows that the process did not run, milliseconds. */
const HELD_UP_MS = 150;

export function createStallDetector(clock: Clock): StallDetector {
  let tickedAt = clock.now();
  /** The end of the last time in which this process did not run, as when it was short of processor time. */
  let heldUpUntil = clock.now();

  return {
    tick: () => {
      const now = clock.now();
      if (now >= later(tickedAt, HELD_UP_MS)) heldUpUntil = now;
      tickedAt = now;
    },
    detect: (
      last,
      {
        expectedPauseMs: usualMs,
        prefillMs: readingMs,
        running,
        hasPeerLoads: knowsOthers,
        runningOnPeers: elsewhere,
      },
    ) => {
      const now = clock.now();
      // Events that came while this process did not run are not read yet.
      const seen = last.since < heldUpUntil ? { ...last, since: heldUpUntil } : last;
      const isShared = !knowsOthers || elsewhere >= SHARED_AT;
      const at = isShared
        ? sharedGroupStalledAt(seen, usualMs, readingMs, knowsOthers)
        : stalledAt(seen, usualMs, readingMs);
      if (at === undefined || now < at) return undefined;
      const silentMs = Math.round(now - seen.since);
      const pauseMs = Math.round(Math.max(usualMs, seen.pauseMs ?? 0));
      const reading = `reading ${Math.round(readingMs)} ms, running ${running}`;
      return `${seen.running} streams silent for ${silentMs} ms, usual pause ${pauseMs} ms, ${reading}`;
    },
  };
}

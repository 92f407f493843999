/** Notices that no server sends anything although calls are in flight. */

import type { UpstreamActivity } from '../../adapters/upstream/upstream';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { Clock } from '../../ports/runtime';

export interface SilenceWatch {
  /** Whether any server sent something recently: this daemon's links are not down altogether. */
  hasReceivedRecently(): boolean;
  /** Returns true when servers should be checked. Must be called at each tick. */
  tick(): boolean;
}

/** Time without a byte from any server, while calls are in flight, after which servers are checked. */
const SILENCE_MS = 350;
/** Interval between such checks, as a single server may have a reason to be silent. */
const CHECK_INTERVAL_MS = 2_000;
/** Delay of a tick above which the process is assumed not to have run, milliseconds. */
const TICK_DELAY_MS = 150;

export function createSilenceWatch(clock: Clock, activity: () => UpstreamActivity): SilenceWatch {
  let receivedBytes = 0;
  let receivedAt: MonoTime | undefined;
  let silentSince = clock.now();
  let lastTickAt = clock.now();
  let nextCheckAt = clock.now();

  const noteReceived = (now: MonoTime): void => {
    const total = activity().receivedBytes;
    if (total === receivedBytes) return;
    receivedBytes = total;
    receivedAt = now;
    silentSince = now;
  };

  return {
    hasReceivedRecently: () => {
      const now = clock.now();
      noteReceived(now);
      return receivedAt !== undefined && now < later(receivedAt, SILENCE_MS);
    },
    tick: () => {
      const now = clock.now();
      const wasPaused = now >= later(lastTickAt, TICK_DELAY_MS);
      lastTickAt = now;
      noteReceived(now);
      if (activity().inFlight === 0 || wasPaused) silentSince = now;
      if (now < later(silentSince, SILENCE_MS) || now < nextCheckAt) return false;
      nextCheckAt = later(now, CHECK_INTERVAL_MS);
      return true;
    },
  };
}

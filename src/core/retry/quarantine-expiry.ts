/** Forgets what no longer counts, so that a daemon without lost servers has nothing to look up. */

import type { QuarantineContext, QuarantineState } from './quarantine-types';

/** Whether nothing is known of any request. */
export function isQuarantineEmpty({ strikes, pending, interrupted }: QuarantineState): boolean {
  return strikes.size === 0 && pending.length === 0 && interrupted.length === 0;
}

/** Removes expired strikes, and interrupted runs and losses that can no longer be attributed. */
export function pruneQuarantine(state: QuarantineState, { now, epoch }: QuarantineContext): void {
  const { attributionWindowMs } = state.opts;
  state.interrupted = state.interrupted.filter(
    ({ interruptedAt }) => now - interruptedAt < attributionWindowMs,
  );
  state.lost = state.lost.filter(({ at }) => now - at < attributionWindowMs);
  state.recent = state.recent.filter(({ at }) => epoch - at < 2 * attributionWindowMs);
  for (const [fingerprint, strikes] of state.strikes) {
    for (const [group, { until }] of strikes) if (until <= epoch) strikes.delete(group);
    if (strikes.size === 0) state.strikes.delete(fingerprint);
  }
}

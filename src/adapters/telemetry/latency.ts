/** Latencies of one label set: quantiles over the last one to two minutes, sum and count since the start. */

import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const WINDOW_MS = 60_000;
const MAX_TRACKED_US = 3_600_000_000;
const US_PER_MS = 1000;

export const QUANTILES = [0.5, 0.9, 0.95, 0.99, 0.999] as const;

/** Two windows, so that quantiles always cover at least one full minute. */
export interface Latency {
  current: Histogram;
  previous: Histogram;
  /** When the current window ends, monotonic milliseconds. */
  windowEnd: number;
  sumMs: number;
  count: number;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 'packed',
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_US,
    numberOfSignificantValueDigits: 2,
  });
}

/** Creates an empty recorder. `now` is monotonic, milliseconds. */
export function createLatency(now: number): Latency {
  return {
    current: createHistogram(),
    previous: createHistogram(),
    windowEnd: now + WINDOW_MS,
    sumMs: 0,
    count: 0,
  };
}

function rotate(latency: Latency, now: number): void {
  if (now < latency.windowEnd) return;
  const stale = now >= latency.windowEnd + WINDOW_MS;
  latency.previous = stale ? createHistogram() : latency.current;
  latency.current = createHistogram();
  latency.windowEnd = now + WINDOW_MS;
}

/** Records one latency; a value that is none is left out, as it would spoil the sum for good. */
export function record(latency: Latency, ms: number, now: number): void {
  if (!Number.isFinite(ms)) return;
  rotate(latency, now);
  const us = Math.min(MAX_TRACKED_US, Math.max(0, Math.round(ms * US_PER_MS)));
  latency.current.recordValue(us);
  latency.sumMs += ms;
  latency.count += 1;
}

/** Values at the {@link QUANTILES}, milliseconds. */
export function quantiles(latency: Latency, now: number): readonly number[] {
  rotate(latency, now);
  const all = createHistogram();
  all.add(latency.previous);
  all.add(latency.current);
  return QUANTILES.map((quantile) => all.getValueAtPercentile(quantile * 100) / US_PER_MS);
}

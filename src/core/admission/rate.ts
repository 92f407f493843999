/** Arrival rates of work, as exponentially decaying sums. */

import type { MonoTime } from '../ids';
import type { Rate } from './types';

/** A rate of 0. */
export function createRate(): Rate {
  return { value: 0, at: 0 as MonoTime };
}

/** Work per millisecond as of `now`, with time constant `memoryMs`; always 0 if that is 0. */
export function rateAt(rate: Rate, now: MonoTime, memoryMs: number): number {
  if (memoryMs === 0 || rate.value === 0) return 0;
  return rate.value * Math.exp((rate.at - now) / memoryMs);
}

/** Adds `workMs` of work that arrived at `now`. */
export function addWork(rate: Rate, workMs: number, now: MonoTime, memoryMs: number): void {
  if (memoryMs === 0) return;
  rate.value = rateAt(rate, now, memoryMs) + workMs / memoryMs;
  rate.at = now;
}

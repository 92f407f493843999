/** Rates of work: sums that fade exponentially. */

import type { MonoTime } from '../ids';
import type { Rate } from './types';

export function createRate(): Rate {
  return { value: 0, at: 0 as MonoTime };
}

/** Work per millisecond as of `now`; `memoryMs` of 0 remembers nothing. */
export function rateAt(rate: Rate, now: MonoTime, memoryMs: number): number {
  if (memoryMs === 0 || rate.value === 0) return 0;
  return rate.value * Math.exp((rate.at - now) / memoryMs);
}

/** Takes in `workMs` of work. */
export function addWork(rate: Rate, workMs: number, now: MonoTime, memoryMs: number): void {
  if (memoryMs === 0) return;
  rate.value = rateAt(rate, now, memoryMs) + workMs / memoryMs;
  rate.at = now;
}

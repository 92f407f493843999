/** Exponential backoff with jitter for dialling peers. */

import type { MonoTime } from '../../core/ids';
import { later } from '../../core/ids';
import type { Clock, Random } from '../../ports/runtime';

/** Delays after the first failure and at most. */
export interface BackoffLimits {
  readonly firstMs: number;
  readonly longestMs: number;
}

export interface Backoff {
  /** Whether the backoff of the address has expired. */
  mayDial(address: string): boolean;
  noteFailure(address: string): void;
  noteSuccess(address: string): void;
}

interface Failures {
  readonly count: number;
  readonly notBefore: MonoTime;
}

/** Creates the backoff state of all addresses. */
export function createBackoff(limits: BackoffLimits, clock: Clock, random: Random): Backoff {
  const failures = new Map<string, Failures>();
  return {
    mayDial: (address) => clock.now() >= (failures.get(address)?.notBefore ?? 0),
    noteFailure: (address) => {
      const count = (failures.get(address)?.count ?? 0) + 1;
      const delayMs = Math.min(limits.firstMs * 2 ** (count - 1), limits.longestMs);
      const notBefore = later(clock.now(), delayMs * (0.5 + random.next() / 2));
      failures.set(address, { count, notBefore });
    },
    noteSuccess: (address) => {
      failures.delete(address);
    },
  };
}

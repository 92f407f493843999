/** Time that a test moves on by itself. */

import { afterEach, beforeEach, vi } from 'vitest';

import { brandAs } from '../../src/core/ids';
import type { EpochTime, MonoTime } from '../../src/core/ids';
import type { Clock } from '../../src/ports/runtime';

/** Fakes the timers and the date of each test of a file or a block. */
export function fakeTime(): void {
  beforeEach(() => {
    vi.useFakeTimers({
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date'],
    });
  });
  afterEach(() => {
    vi.useRealTimers();
  });
}

/**
 * A clock over the faked time of a test. Every look finds it a little later, as real ones do: a decision
 * that takes two looks for the same instant shows.
 */
export function createFakeClock(): Clock {
  const STEP_MS = 0.01;
  let looks = 0;
  return {
    now: () => brandAs<MonoTime>(Date.now() + STEP_MS * (looks += 1)),
    epoch: () => brandAs<EpochTime>(Date.now()),
  };
}

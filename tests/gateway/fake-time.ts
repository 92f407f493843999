/** Fake timers and a fake clock for tests. */

import { afterEach, beforeEach, vi } from 'vitest';

import { brandAs } from '../../src/core/ids';
import type { EpochTime, MonoTime } from '../../src/core/ids';
import type { Clock } from '../../src/ports/runtime';

/** Fakes the timers and the date for each test of a file or a block. */
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
 * A clock over fake time. Each reading is slightly later than the last, as with real clocks, to
 * expose code that assumes that two readings are equal.
 */
export function createFakeClock(): Clock {
  const STEP_MS = 0.01;
  let looks = 0;
  return {
    now: () => brandAs<MonoTime>(Date.now() + STEP_MS * (looks += 1)),
    epoch: () => brandAs<EpochTime>(Date.now()),
  };
}

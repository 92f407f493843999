import { describe, expect, it } from 'vitest';

import { createBackoff } from '../src/adapters/peers/backoff';
import { createRandom } from '../src/adapters/runtime';
import type { EpochTime, MonoTime } from '../src/core/ids';

const ADDRESS = '10.0.0.1:1';

/** The delay before each dial that follows one of `failures` consecutive failures. */
function delaysOf(failures: number, seed: number): number[] {
  let now = 0;
  const clock = { now: () => now as MonoTime, epoch: () => 0 as EpochTime };
  const backoff = createBackoff({ firstMs: 100, longestMs: 2000 }, clock, createRandom(seed));
  return Array.from({ length: failures }, () => {
    backoff.noteFailure(ADDRESS);
    const from = now;
    while (!backoff.mayDial(ADDRESS)) now += 1;
    return now - from;
  });
}

describe('delays between dials', () => {
  it('grow up to a limit, each randomised within its upper half', () => {
    for (let seed = 1; seed < 50; seed += 1) {
      const delays = delaysOf(8, seed);
      delays.forEach((delay, i) => {
        const longest = Math.min(100 * 2 ** i, 2000);
        expect(delay).toBeLessThanOrEqual(longest);
        expect(delay).toBeGreaterThanOrEqual(longest / 2);
      });
    }
  });

  it('differ between daemons', () => {
    expect(delaysOf(3, 1)).not.toEqual(delaysOf(3, 2));
  });

  it('reset after a success, and do not affect other addresses', () => {
    const clock = { now: () => 0 as MonoTime, epoch: () => 0 as EpochTime };
    const backoff = createBackoff({ firstMs: 100, longestMs: 2000 }, clock, createRandom(1));
    backoff.noteFailure(ADDRESS);
    expect(backoff.mayDial(ADDRESS)).toBe(false);
    expect(backoff.mayDial('10.0.0.2:1')).toBe(true);
    backoff.noteSuccess(ADDRESS);
    expect(backoff.mayDial(ADDRESS)).toBe(true);
  });
});

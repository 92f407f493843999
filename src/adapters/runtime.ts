/** System clocks and a seeded random number generator. */

import { performance } from 'node:perf_hooks';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import { brandAs } from '../core/ids';
import type { EpochTime, MonoTime } from '../core/ids';
import type { Clock, Random } from '../ports/runtime';

const RANDOM_RANGE = 0x7fff_ffff;

export function createClock(): Clock {
  return {
    now: () => brandAs<MonoTime>(performance.now()),
    epoch: () => brandAs<EpochTime>(Date.now()),
  };
}

/** Creates a random number generator; the same seed gives the same sequence. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return {
    next: () => uniformInt(generator, 0, RANDOM_RANGE - 1) / RANDOM_RANGE,
  };
}

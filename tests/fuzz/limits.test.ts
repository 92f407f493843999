import { describe, expect, it } from 'vitest';

import { findExcess, fuzzLimits, runSeed } from './limits';
import { seedsOfCommit } from './seeds';

const FIXED_SEEDS = 14;
const FRESH_SEEDS = 7;
/** Seeds that have violated the rule before. */
const FOUND_SEEDS = [810_287, 922_130];

describe('a rate limit shared by many daemons', () => {
  it(`is respected and used (seeds 1 to ${FIXED_SEEDS})`, () => {
    fuzzLimits({ seed: 1, runs: FIXED_SEEDS });
  });

  // Guards against daemons that learn of a change or of each other late and together exceed a server's limit.
  it.each([...FOUND_SEEDS, ...seedsOfCommit(FRESH_SEEDS)])('is respected (seed %i)', (seed) => {
    const result = runSeed(seed);
    expect(findExcess(result), result.trace.join('\n')).toBeUndefined();
  });

  it('is found to be exceeded if each daemon uses the full limit', () => {
    const sharing = runSeed(2, { faultShare: 0 });
    const unshared = runSeed(2, { faultShare: 0, isUnshared: true });
    expect(findExcess(sharing)).toBeUndefined();
    expect(findExcess(unshared)).toBeDefined();
  });
});

import { describe, expect, it } from 'vitest';

import { findFault, findUnserved, runSeed } from './links';
import { seedsOfCommit } from './seeds';

const FIXED_SEEDS = Array.from({ length: 8 }, (_, n) => n + 1);
/** A seed that has violated a rule before. */
const FOUND_SEEDS = [2_705];
const FRESH_SEEDS = 4;
/** The largest fleets take most of a minute beside other tests. */
const TIMEOUT_MS = 180_000;

describe('daemons whose links to servers fail', () => {
  // Guards against refusing callers, and against giving up servers, because of a daemon's own links.
  it.each([...FIXED_SEEDS, ...FOUND_SEEDS, ...seedsOfCommit(FRESH_SEEDS)])(
    'serve callers through each other (seed %i)',
    { timeout: TIMEOUT_MS },
    async (seed) => {
      const result = await runSeed(seed);
      expect(findUnserved(result) ?? findFault(result), result.trace.join('\n')).toBeUndefined();
    },
  );

  it('do not serve them if none uses another', async () => {
    expect(findUnserved(await runSeed(3, { isAlone: true }))).toBeDefined();
  });
});

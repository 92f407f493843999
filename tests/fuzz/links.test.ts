import { describe, expect, it } from 'vitest';

import { findFault, findUnserved, runSeed } from './links';
import { runLinks } from './links-world';
import { seedsOfCommit } from './seeds';

const FIXED_SEEDS = Array.from({ length: 8 }, (_, n) => n + 1);
/** Seeds that have violated a rule before. */
const FOUND_SEEDS = [2_705, 55_701_007, 55_703_004, 782_049_814];
/** Seeds of runs in which checks of servers that ended are counted. */
const END_SEEDS = [900, 901, 902];
const END_FLEETS = [3, 13, 70];
const END_RUN_MS = 20_000;
/** Least share of ends that are found. Others coincide with the loss of links at most daemons. */
const FOUND_ENDS_SHARE = 0.9;
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

  // Guards against so much caution that no request is struck for the servers that it ends.
  it.each(END_FLEETS)(
    'find that servers ended (%i daemons)',
    { timeout: TIMEOUT_MS },
    async (daemons) => {
      const total = { checked: 0, found: 0 };
      for (const seed of END_SEEDS) {
        const { ends } = await runLinks({ seed, daemons, ms: END_RUN_MS, areEndsChecked: true });
        total.checked += ends.checked;
        total.found += ends.found;
      }
      expect(total.checked).toBeGreaterThan(0);
      expect(total.found).toBeGreaterThanOrEqual(FOUND_ENDS_SHARE * total.checked);
    },
  );
});

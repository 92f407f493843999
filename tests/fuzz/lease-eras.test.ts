import { describe, expect, it } from 'vitest';

import { runLeaseEras } from './lease-eras';
import { seedsOfCommit } from './seeds';

/** Seeds that have violated a rule before. */
const FOUND_SEEDS = [900_116, 900_125];
const FRESH_SEEDS = 3;

describe('the lease, across restores of its table from older copies', () => {
  it.each([1, 2, 3, 4, ...FOUND_SEEDS, ...seedsOfCommit(FRESH_SEEDS)])(
    'has one holder and unique fencing numbers (seed %i)',
    (seed) => {
      const { violations, returns, terms, trace } = runLeaseEras({ seed, steps: 50_000 });
      expect(violations, trace.join('\n')).toEqual([]);
      expect(returns).toBeGreaterThan(50);
      expect(terms).toBeGreaterThan(50);
    },
  );
});

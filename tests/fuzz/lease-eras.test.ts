import { execFileSync } from 'node:child_process';
import { describe, expect, it } from 'vitest';

import { hashText } from '../../src/core/routing/hash';
import { runLeaseEras } from './lease-eras';

/** Seeds that once broke a rule. */
const FOUND_SEEDS = [900_116, 900_125];
const FRESH_SEEDS = 3;

/** The same in every run of one commit, others in the next. */
function seedsOfCommit(): number[] {
  const commit = execFileSync('git', ['rev-parse', 'HEAD'], { encoding: 'utf8' });
  return Array.from({ length: FRESH_SEEDS }, (_, n) => hashText(`${commit} ${n}`));
}

describe('the lease, over returns of its table from older copies', () => {
  it.each([1, 2, 3, 4, ...FOUND_SEEDS, ...seedsOfCommit()])(
    'has one holder, and no fencing number twice (seed %i)',
    (seed) => {
      const { violations, returns, terms, trace } = runLeaseEras({ seed, steps: 50_000 });
      expect(violations, trace.join('\n')).toEqual([]);
      expect(returns).toBeGreaterThan(50);
      expect(terms).toBeGreaterThan(50);
    },
  );
});

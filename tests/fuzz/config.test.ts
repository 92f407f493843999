/**
 * Fuzzes configuration: an accepted version never changes, and a change takes effect at most once.
 */

import { describe, it } from 'vitest';

import { fuzzConfig } from './config';

describe('configuration under random faults', () => {
  it.each([1, 2, 3])(
    'keeps accepted versions and applies a change at most once (seed %i)',
    (seed) => {
      fuzzConfig({ seed, runs: 150 });
    },
  );
});

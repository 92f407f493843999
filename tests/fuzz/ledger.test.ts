/** Fuzzes claims under random faults: a key runs at most once, and `not-run` is always true. */

import { expect, it } from 'vitest';

import { fuzzLedger } from './ledger';

it.each([1, 2, 3])(
  'claims run at most once and report not-run correctly under random faults (seed %i)',
  (seed) => {
    expect(() => {
      fuzzLedger({ seed, runs: 2_000 });
    }).not.toThrow();
  },
);

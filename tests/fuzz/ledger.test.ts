/** Claims under any order of faults. */

import { expect, it } from 'vitest';

import { fuzzLedger } from './ledger';

it.each([1, 2, 3])('keeps at-most-once and not-run under any order of faults (seed %i)', (seed) => {
  expect(() => {
    fuzzLedger({ seed, runs: 2_000 });
  }).not.toThrow();
});

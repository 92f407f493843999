/** Fuzzes admission and routing with any order of calls. */

import { describe, test } from 'vitest';

import { fuzzAdmission } from './fuzz/admission';
import { fuzzRouting } from './fuzz/routing';

describe('any order of calls', () => {
  test('admission keeps its invariants and shares', () => {
    fuzzAdmission({ seed: 4, runs: 500 });
  });

  test('routing keeps its invariants', () => {
    fuzzRouting({ seed: 4, runs: 500 });
  });
});

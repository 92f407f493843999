import { describe, test } from 'vitest';

import { fuzzAdmission } from './fuzz/admission';
import { fuzzRouting } from './fuzz/routing';

describe('any order of calls', () => {
  test('admission keeps its promises', () => {
    fuzzAdmission({ seed: 4, runs: 500 });
  });

  test('routing keeps its promises', () => {
    fuzzRouting({ seed: 4, runs: 500 });
  });
});

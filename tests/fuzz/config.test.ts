import { describe, it } from 'vitest';

import { fuzzConfig } from './config';

describe('configuration under random faults', () => {
  it.each([1, 2, 3])(
    'keeps what it accepted and applies a change at most once (seed %i)',
    (seed) => {
      fuzzConfig({ seed, runs: 150 });
    },
  );
});

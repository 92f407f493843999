import { describe, it } from 'vitest';

import { fuzzMembership } from './membership';

describe('membership under random faults', () => {
  it.each([1, 2, 3])('never regresses, and converges to the correct view (seed %i)', (seed) => {
    fuzzMembership({ seed, runs: 30 });
  });
});

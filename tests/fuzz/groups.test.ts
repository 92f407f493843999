import { describe, it } from 'vitest';

import { fuzzGroups } from './groups/groups';

describe('control plane under random faults', () => {
  it.each([1, 2, 3])('violates no invariant (seed %i)', async (seed) => {
    await fuzzGroups({ seed, runs: 12 });
  });
});

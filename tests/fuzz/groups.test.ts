import { describe, it } from 'vitest';

import { fuzzGroups } from './groups/groups';

describe('control plane under histories of faults', () => {
  it.each([1, 2, 3])('keeps its promises with seed %i', async (seed) => {
    await fuzzGroups({ seed, runs: 12 });
  });
});

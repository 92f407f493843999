import { describe, expect, it } from 'vitest';

import { findLateSends, findPartViolation, runSeed } from './crashes';
import { seedsOfCommit } from './seeds';

const FIXED_SEEDS = Array.from({ length: 7 }, (_, n) => n + 1);
const FRESH_SEEDS = 4;

describe('a quarantine of prompt parts that many daemons share', () => {
  // Guards against requests, no two alike, that end group after group by a part they have in common, and against
  // refusing sound ones that share other parts with them.
  it.each([...FIXED_SEEDS, ...seedsOfCommit(FRESH_SEEDS)])(
    'stops fatal parts and spares sound ones (seed %i)',
    async (seed) => {
      const result = await runSeed(seed, { hasParts: true });
      expect(findPartViolation(result), result.trace.join('\n')).toBeUndefined();
    },
  );

  it('does not stop them if daemons tell each other nothing', async () => {
    const unshared = await runSeed(2, { hasParts: true, isUnshared: true });
    expect(findLateSends(unshared)).toBeDefined();
  });
});

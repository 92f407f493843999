import { describe, expect, it } from 'vitest';

import { soak } from './soak';

/** Outside the ports of the other soaks. */
const PORT = 27_500;

describe('daemons whose servers fall silent and go on, or spoil answers', () => {
  // Guards against answers that end for the silence of a sound server, against input without a bound, against
  // exceptions that end connections or daemons, and against connections closed that could be served.
  it.each([
    { seed: 610_011, silences: 10, spoils: 0, faults: 0, durationMs: 8_000 },
    { seed: 660_001, cutAnswers: 10, faults: 2, durationMs: 5_000 },
    { seed: 610_002, silences: 0, spoils: 8, faults: 0, durationMs: 6_000 },
    { seed: 610_003, silences: 4, spoils: 6, faults: 4, durationMs: 6_000 },
  ])('answer every request that they can (seed $seed)', async (options) => {
    const report = await soak({ ...options, firstPort: PORT });
    expect(report.faults).toEqual([]);
    expect(report.counts['once 200']).toBeGreaterThan(0);
    expect(report.counts['unsafe 200']).toBeGreaterThan(0);
  });
});

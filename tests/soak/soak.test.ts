import { describe, expect, it } from 'vitest';

import { soak } from './soak';

/** Apart from the ports of soaks that are run by hand. */
const PORT = 27_000;

describe('daemons under a seeded series of overlapping faults', () => {
  it.each([
    { seed: 1, entryFaults: 0, returns: 0 },
    { seed: 2, entryFaults: 0, returns: 0 },
    { seed: 3, entryFaults: 6, returns: 0 },
    { seed: 317, entryFaults: 0, returns: 0 },
    { seed: 4, entryFaults: 2, returns: 2 },
  ])('keep every promise (seed $seed)', async ({ seed, entryFaults, returns }) => {
    const durationMs = 5_000;
    const report = await soak({
      seed,
      faults: 7,
      entryFaults,
      returns,
      durationMs,
      firstPort: PORT,
    });
    expect(report.faults).toEqual([]);
    // A run in which nobody was served shows nothing.
    expect(report.counts['stream 200']).toBeGreaterThan(0);
    expect(report.counts['unsafe 200']).toBeGreaterThan(0);
  });
});

describe('daemons whose store, links or processes fall silent', () => {
  it('serve the newest route once the time to settle has passed (seed 602)', async () => {
    const report = await soak({ seed: 602, faults: 0, silentRounds: 4, firstPort: PORT });
    expect(report.faults).toEqual([]);
    expect(report.counts['stream 200']).toBeGreaterThan(0);
  });
});

describe('daemons before servers that say what they take', () => {
  // Guards against daemons that together or alone send more than a server said it wants.
  it('hold to it (seed 801)', async () => {
    const report = await soak({ seed: 801, faults: 0, statementRounds: 2, firstPort: PORT });
    expect(report.faults).toEqual([]);
    expect(report.counts['stream 200']).toBeGreaterThan(0);
    expect(report.counts['unsafe 200']).toBeGreaterThan(0);
  });
});

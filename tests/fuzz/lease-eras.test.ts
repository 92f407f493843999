import { describe, expect, it } from 'vitest';

import { runLeaseEras } from './lease-eras';

describe('the lease, over returns of its table from older copies', () => {
  it.each([1, 2, 3, 4])('has one holder, and no fencing number twice (seed %i)', (seed) => {
    const { violations, returns, terms } = runLeaseEras({ seed, steps: 50_000 });
    expect(violations).toEqual([]);
    expect(returns).toBeGreaterThan(50);
    expect(terms).toBeGreaterThan(50);
  });
});

import { describe, expect, it } from 'vitest';

import { mayDeny } from '../../src/core/gateway/denial';

const CONFIG_MS = 2_000;

describe('a request that the known configuration does not allow', () => {
  it('is denied while no newer configuration can be in force elsewhere', () => {
    expect(mayDeny(0, CONFIG_MS)).toBe(true);
    expect(mayDeny(CONFIG_MS - 1, CONFIG_MS)).toBe(true);
  });

  it('is not denied by a daemon that may lack a configuration already in force elsewhere', () => {
    expect(mayDeny(CONFIG_MS, CONFIG_MS)).toBe(false);
    expect(mayDeny(Infinity, CONFIG_MS)).toBe(false);
  });

  it('is denied by few of a hundred daemons whose copies are up to ten seconds old', () => {
    // The store last answered each daemon at a different time within the last ten seconds.
    const ages = Array.from({ length: 100 }, (_, n) => n * 100);
    expect(ages.filter((ageMs) => mayDeny(ageMs, CONFIG_MS))).toHaveLength(CONFIG_MS / 100);
  });
});

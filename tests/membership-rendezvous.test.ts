import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { rankByRendezvous, rankOf } from '../src/core/membership/rendezvous';

const DAEMONS = Array.from({ length: 7 }, (_, i) => `daemon-${i}`);
const KEYS = Array.from({ length: 2100 }, (_, i) => `domain-${i}`);

describe('rankByRendezvous', () => {
  it('does not depend on the order of the candidates', () => {
    for (const key of KEYS.slice(0, 50)) {
      expect(rankByRendezvous(key, [...DAEMONS].reverse())).toEqual(rankByRendezvous(key, DAEMONS));
    }
  });

  it('moves only the keys of a removed candidate', () => {
    const [removed, ...remaining] = DAEMONS;
    for (const key of KEYS) {
      const before = rankByRendezvous(key, DAEMONS);
      expect(rankByRendezvous(key, remaining)).toEqual(before.filter((id) => id !== removed));
    }
  });

  it('spreads first ranks evenly', () => {
    const counts = new Map<string, number>();
    for (const key of KEYS) {
      const first = rankByRendezvous(key, DAEMONS)[0] ?? '';
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    for (const count of counts.values()) expect(count).toBeGreaterThan(300 * 0.8);
    for (const count of counts.values()) expect(count).toBeLessThan(300 * 1.2);
    expect(counts.size).toBe(DAEMONS.length);
  });
});

describe('rankOf', () => {
  it('returns the index in the order of all candidates', () => {
    const names = fc.uniqueArray(fc.string({ maxLength: 12 }), { minLength: 1, maxLength: 30 });
    fc.assert(
      fc.property(fc.string({ maxLength: 12 }), names, (key, candidates) => {
        const order = rankByRendezvous(key, candidates);
        expect(candidates.map((candidate) => rankOf(key, candidate, candidates))).toEqual(
          candidates.map((candidate) => order.indexOf(candidate)),
        );
      }),
      { seed: 1 },
    );
  });
});

import { describe, expect, it } from 'vitest';

import { sumLoads, withoutOwn } from '../../src/app/gateway/loads';
import { sample } from '../../src/utils/common';
import { instance } from './support';

const [A, B] = [instance('a'), instance('b')];

describe('loads of all daemons', () => {
  const own = { running: [[A, 2, 100] as [typeof A, number, number]], paces: [], waiting: [] };
  const other = {
    running: [
      [A, 3, 50],
      [B, 1, 0],
    ] as [typeof A, number, number][],
    paces: [],
    waiting: [['large', 4, 2.5]] as [string, number, number][],
  };

  it('add up by head and by model', () => {
    expect(sumLoads([own, other])).toEqual({
      running: [
        [A, 5, 150],
        [B, 1, 0],
      ],
      paces: [],
      waiting: [['large', 1, 4, 2.5]],
    });
  });

  it('count only daemons with waiting requests, but sum all arrival rates', () => {
    const busy = {
      running: [],
      paces: [],
      waiting: [['large', 0, 3]] as [string, number, number][],
    };
    expect(sumLoads([busy, other]).waiting).toEqual([['large', 1, 4, 5.5]]);
  });

  it("give the other daemons' loads once the own part is subtracted", () => {
    const sums = sumLoads([own, other]);
    expect(withoutOwn(sums, own)).toEqual({
      running: [
        [A, 3, 50],
        [B, 1, 0],
      ],
      paces: [],
      waiting: [['large', 1, 4, 2.5]],
    });
    expect(withoutOwn(sums, other).waiting).toEqual([['large', 0, 0, 0]]);
  });
});

describe('the slowdown of a group', () => {
  const seenBy = (...paces: [typeof A, number][]) => ({ running: [], paces, waiting: [] });

  it('is the mean over the daemons with streams there', () => {
    const sums = sumLoads([seenBy([A, 3]), seenBy([A, 4]), seenBy([B, 2.5]), seenBy()]);
    expect(sums.paces).toEqual([
      [A, 3.5],
      [B, 2.5],
    ]);
  });

  it('is left out at normal speed', () => {
    expect(sumLoads([seenBy([A, 1.1]), seenBy([A, 1.2])]).paces).toEqual([]);
  });
});

describe('a random sample of peers', () => {
  it('contains no peer twice', () => {
    let n = 0;
    const drawn = sample([1, 2, 3, 4, 5], 3, () => [0.9, 0, 0.5][n++] ?? 0);
    expect(new Set(drawn).size).toBe(3);
  });
});

import { describe, expect, it } from 'vitest';

import { createRandom } from '../../src/adapters/runtime';
import {
  chooseGroup,
  choosePlain,
  pickWeightedGroup,
  listEligible,
} from '../../src/core/gateway/balance';
import type { GroupCandidate, PlainCandidate } from '../../src/core/gateway/balance';
import { brandAs } from '../../src/core/ids';
import type { ZoneId } from '../../src/core/ids';
import { instance } from './support';

const DRAWN = 1_000;
const [HERE, THERE] = [brandAs<ZoneId>('a'), brandAs<ZoneId>('b')];

function group(id: string, more: Partial<GroupCandidate> = {}): GroupCandidate {
  return {
    head: instance(id),
    zone: HERE,
    running: 0,
    batchSize: 10,
    freeCapacity: 10,
    freeSlots: 10,
    pendingPrefill: 0,
    maxPendingPrefill: 5_000,
    slowdown: 1,
    isTried: false,
    ...more,
  };
}

function plain(id: string, more: Partial<PlainCandidate> = {}): PlainCandidate {
  return {
    id: instance(id),
    zone: HERE,
    running: 0,
    batchSize: 6,
    failures: 0,
    latencyMs: 40,
    isTried: false,
    ...more,
  };
}

describe('the group of a stream', () => {
  it('is the least filled one', () => {
    const found = chooseGroup(
      [group('1', { running: 4 }), group('2', { running: 2 })],
      1_000,
      HERE,
      0,
    );
    expect(found?.head).toBe('2');
  });

  it('is in the own zone where loads are alike, elsewhere where they are not', () => {
    const near = group('1', { running: 2 });
    expect(chooseGroup([group('2', { running: 2, zone: THERE }), near], 1_000, HERE, 0)).toBe(near);
    expect(chooseGroup([group('2', { zone: THERE }), near], 1_000, HERE, 0)?.head).toBe('2');
  });

  it('is in the own zone up to a moderate difference of loads: bytes between zones are paid for', () => {
    const near = group('1', { running: 3 });
    const far = group('2', { running: 2, zone: THERE });
    expect(chooseGroup([far, near], 1_000, HERE, 0)).toBe(near);
    expect(chooseGroup([{ ...far, running: 1 }, near], 1_000, HERE, 0)?.head).toBe('2');
  });

  it('is not a slow one with the same load', () => {
    const slow = group('1', { running: 1, slowdown: 4 });
    expect(chooseGroup([slow, group('2', { running: 3 })], 1_000, HERE, 0)?.head).toBe('2');
  });

  it('is a slow one, however empty, only where no quick one has room', () => {
    const slow = group('1', { slowdown: 3 });
    expect(chooseGroup([slow, group('2', { running: 9 })], 1_000, HERE, 0)?.head).toBe('2');
    const full = group('2', { running: 10, freeCapacity: 0 });
    expect(chooseGroup([slow, full], 1_000, HERE, 0)).toBe(slow);
  });

  it('is not one whose streams would pause too long for the prompt to be read', () => {
    const reading = group('1', { running: 1, pendingPrefill: 4_500 });
    expect(chooseGroup([reading, group('2', { running: 8 })], 1_000, HERE, 0)?.head).toBe('2');
    expect(chooseGroup([reading], 1_000, HERE, 0)).toBeUndefined();
    expect(chooseGroup([reading], 400, HERE, 0)).toBe(reading);
  });

  it('is none that has no room or was tried', () => {
    const candidates = [group('1', { freeCapacity: 0 }), group('2', { isTried: true })];
    expect(chooseGroup(candidates, 1_000, HERE, 0)).toBeUndefined();
  });
});

describe('the group that one of many daemons draws', () => {
  const drawMany = (candidates: readonly GroupCandidate[]): ReadonlyMap<string, number> => {
    const random = createRandom(5);
    const counts = new Map<string, number>();
    for (let n = 0; n < DRAWN; n++) {
      const head = pickWeightedGroup(candidates, HERE, () => random.next())?.head ?? 'none';
      counts.set(head, (counts.get(head) ?? 0) + 1);
    }
    return counts;
  };

  it('is each one as often as it has room: all see the same loads until they hear again', () => {
    const counts = drawMany([group('1', { freeCapacity: 9 }), group('2', { freeCapacity: 3 })]);
    expect(counts.get('1')).toBeGreaterThan(0.7 * DRAWN);
    expect(counts.get('2')).toBeGreaterThan(0.2 * DRAWN);
  });

  it('is mostly one in the own zone, and another where there is no room in it', () => {
    const near = group('1', { freeCapacity: 5 });
    const far = group('2', { freeCapacity: 5, zone: THERE });
    expect(drawMany([near, far]).get('1')).toBeGreaterThan(0.8 * DRAWN);
    expect(drawMany([{ ...near, freeCapacity: 0 }, far]).get('2')).toBe(DRAWN);
  });

  it('is hardly ever a slow one while a quick one has room', () => {
    const counts = drawMany([group('1', { slowdown: 4 }), group('2', { freeCapacity: 2 })]);
    expect(counts.get('1') ?? 0).toBeLessThan(0.1 * DRAWN);
  });

  it('is none where there is none', () => {
    expect(pickWeightedGroup([], HERE, () => 0.5)).toBeUndefined();
  });
});

describe('the server of a plain call', () => {
  it('is not one that fails while others do not', () => {
    const failing = plain('1', { failures: 0.4 });
    expect(choosePlain([failing, plain('2', { running: 2 })], HERE, 0)?.id).toBe('2');
  });

  it('is not one that is slow', () => {
    const slow = plain('1', { latencyMs: 400 });
    expect(choosePlain([slow, plain('2', { running: 3 })], HERE, 0)?.id).toBe('2');
  });

  it('is none where all were tried', () => {
    expect(choosePlain([plain('1', { isTried: true })], HERE, 0.5)).toBeUndefined();
  });
});

describe('the groups that a request may be sent to', () => {
  const granted = (places: Readonly<Record<string, number>>) => (head: string) => places[head] ?? 0;
  const heads = (groups: readonly GroupCandidate[]) => groups.map(({ head }) => head);
  const all = [
    group('1'),
    group('2'),
    group('3', { slowdown: 3 }),
    group('4', { freeCapacity: 0 }),
  ];

  it('are those in which this daemon has places to itself', () => {
    expect(heads(listEligible(all, granted({ '2': 1, '4': 2 }), 100))).toEqual(['2', '4']);
  });

  it('are all that have room where it has none, or has them in slow groups alone', () => {
    expect(heads(listEligible(all, granted({}), 100))).toEqual(['1', '2', '3']);
    expect(heads(listEligible(all, granted({ '3': 5 }), 100))).toEqual(['1', '2', '3']);
  });

  it('are not those that were tried, or that have too much to read', () => {
    const some = [
      group('1', { isTried: true }),
      group('2', { pendingPrefill: 4_950 }),
      group('3', { pendingPrefill: 4_000 }),
    ];
    expect(heads(listEligible(some, granted({ '1': 1, '2': 1 }), 100))).toEqual(['3']);
  });
});

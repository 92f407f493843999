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

const SAMPLES = 1_000;
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

describe('the group chosen for a stream', () => {
  it('is the least loaded one', () => {
    const found = chooseGroup(
      [group('1', { running: 4 }), group('2', { running: 2 })],
      1_000,
      HERE,
      0,
    );
    expect(found?.head).toBe('2');
  });

  it('is in the own zone if loads are equal, in another if they are not', () => {
    const local = group('1', { running: 2 });
    expect(chooseGroup([group('2', { running: 2, zone: THERE }), local], 1_000, HERE, 0)).toBe(
      local,
    );
    expect(chooseGroup([group('2', { zone: THERE }), local], 1_000, HERE, 0)?.head).toBe('2');
  });

  it('is in the own zone up to a moderate difference of loads, as traffic between zones is charged', () => {
    const local = group('1', { running: 3 });
    const remote = group('2', { running: 2, zone: THERE });
    expect(chooseGroup([remote, local], 1_000, HERE, 0)).toBe(local);
    expect(chooseGroup([{ ...remote, running: 1 }, local], 1_000, HERE, 0)?.head).toBe('2');
  });

  it('is not a slow one, even if less loaded', () => {
    const slow = group('1', { running: 1, slowdown: 4 });
    expect(chooseGroup([slow, group('2', { running: 3 })], 1_000, HERE, 0)?.head).toBe('2');
  });

  it('is a slow one, however empty, only if no fast one has free capacity', () => {
    const slow = group('1', { slowdown: 3 });
    expect(chooseGroup([slow, group('2', { running: 9 })], 1_000, HERE, 0)?.head).toBe('2');
    const full = group('2', { running: 10, freeCapacity: 0 });
    expect(chooseGroup([slow, full], 1_000, HERE, 0)).toBe(slow);
  });

  it('is not one whose streams would pause too long for the prefill of the prompt', () => {
    const prefilling = group('1', { running: 1, pendingPrefill: 4_500 });
    expect(chooseGroup([prefilling, group('2', { running: 8 })], 1_000, HERE, 0)?.head).toBe('2');
    expect(chooseGroup([prefilling], 1_000, HERE, 0)).toBeUndefined();
    expect(chooseGroup([prefilling], 400, HERE, 0)).toBe(prefilling);
  });

  it('is never one that is full or was already tried', () => {
    const candidates = [group('1', { freeCapacity: 0 }), group('2', { isTried: true })];
    expect(chooseGroup(candidates, 1_000, HERE, 0)).toBeUndefined();
  });
});

describe('the weighted random choice of a group', () => {
  const countPicks = (candidates: readonly GroupCandidate[]): ReadonlyMap<string, number> => {
    const random = createRandom(5);
    const counts = new Map<string, number>();
    for (let n = 0; n < SAMPLES; n++) {
      const head = pickWeightedGroup(candidates, HERE, () => random.next())?.head ?? 'none';
      counts.set(head, (counts.get(head) ?? 0) + 1);
    }
    return counts;
  };

  it('is in proportion to free capacity, since all daemons see the same loads until the next update', () => {
    const counts = countPicks([group('1', { freeCapacity: 9 }), group('2', { freeCapacity: 3 })]);
    expect(counts.get('1')).toBeGreaterThan(0.7 * SAMPLES);
    expect(counts.get('2')).toBeGreaterThan(0.2 * SAMPLES);
  });

  it('is mostly in the own zone, and in another if that one is full', () => {
    const local = group('1', { freeCapacity: 5 });
    const remote = group('2', { freeCapacity: 5, zone: THERE });
    expect(countPicks([local, remote]).get('1')).toBeGreaterThan(0.8 * SAMPLES);
    expect(countPicks([{ ...local, freeCapacity: 0 }, remote]).get('2')).toBe(SAMPLES);
  });

  it('is hardly ever a slow one while a fast one has free capacity', () => {
    const counts = countPicks([group('1', { slowdown: 4 }), group('2', { freeCapacity: 2 })]);
    expect(counts.get('1') ?? 0).toBeLessThan(0.1 * SAMPLES);
  });

  it('is undefined without candidates', () => {
    expect(pickWeightedGroup([], HERE, () => 0.5)).toBeUndefined();
  });
});

describe('the server chosen for a plain call', () => {
  it('is not one that fails while others do not', () => {
    const failing = plain('1', { failures: 0.4 });
    expect(choosePlain([failing, plain('2', { running: 2 })], HERE, 0)?.id).toBe('2');
  });

  it('is not one that is slow', () => {
    const slow = plain('1', { latencyMs: 400 });
    expect(choosePlain([slow, plain('2', { running: 3 })], HERE, 0)?.id).toBe('2');
  });

  it('is undefined if all were tried', () => {
    expect(choosePlain([plain('1', { isTried: true })], HERE, 0.5)).toBeUndefined();
  });
});

describe('the groups eligible for a request', () => {
  const granted = (slots: Readonly<Record<string, number>>) => (head: string) => slots[head] ?? 0;
  const heads = (groups: readonly GroupCandidate[]) => groups.map(({ head }) => head);
  const all = [
    group('1'),
    group('2'),
    group('3', { slowdown: 3 }),
    group('4', { freeCapacity: 0 }),
  ];

  it('are those in which this daemon was granted slots', () => {
    expect(heads(listEligible(all, granted({ '2': 1, '4': 2 }), 100))).toEqual(['2', '4']);
  });

  it('are all with free capacity if it was granted none, or only in slow groups', () => {
    expect(heads(listEligible(all, granted({}), 100))).toEqual(['1', '2', '3']);
    expect(heads(listEligible(all, granted({ '3': 5 }), 100))).toEqual(['1', '2', '3']);
  });

  it('are not those that were tried or have too much pending prefill', () => {
    const some = [
      group('1', { isTried: true }),
      group('2', { pendingPrefill: 4_950 }),
      group('3', { pendingPrefill: 4_000 }),
    ];
    expect(heads(listEligible(some, granted({ '1': 1, '2': 1 }), 100))).toEqual(['3']);
  });
});

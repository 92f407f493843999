import { describe, expect, it } from 'vitest';

import { chooseGroup, choosePlain } from '../../src/core/gateway/balance';
import type { GroupCandidate, PlainCandidate } from '../../src/core/gateway/balance';
import { brandAs } from '../../src/core/ids';
import type { ZoneId } from '../../src/core/ids';
import { instance } from './support';

const [HERE, THERE] = [brandAs<ZoneId>('a'), brandAs<ZoneId>('b')];

function group(id: string, more: Partial<GroupCandidate> = {}): GroupCandidate {
  return {
    head: instance(id),
    zone: HERE,
    running: 0,
    batchSize: 10,
    mayTake: 10,
    unread: 0,
    maxUnread: 5_000,
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
    expect(chooseGroup([slow, group('2', { running: 10 })], 1_000, HERE, 0)).toBe(slow);
  });

  it('is not one whose streams would pause too long for the prompt to be read', () => {
    const reading = group('1', { running: 1, unread: 4_500 });
    expect(chooseGroup([reading, group('2', { running: 8 })], 1_000, HERE, 0)?.head).toBe('2');
    expect(chooseGroup([reading], 1_000, HERE, 0)).toBeUndefined();
    expect(chooseGroup([reading], 400, HERE, 0)).toBe(reading);
  });

  it('takes no more than this part of the free places until peers are heard', () => {
    expect(chooseGroup([group('1', { mayTake: 0 })], 1_000, HERE, 0)).toBeUndefined();
  });

  it('is none that is full or was tried', () => {
    const candidates = [group('1', { running: 10 }), group('2', { isTried: true })];
    expect(chooseGroup(candidates, 1_000, HERE, 0)).toBeUndefined();
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

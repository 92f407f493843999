import { describe, expect, it } from 'vitest';

import type { DaemonId, DomainId, FencingNumber, MonoTime } from '../src/core/ids';
import { createLease, isHolder } from '../src/core/lease/lease';
import type { LeaseEffect, LeaseEvent, LeaseRow, LeaseState } from '../src/core/lease/types';
import { fencingFloor, isLater, isOfEra, latest, toStoreEra } from '../src/core/store-era';
import type { StoreEra } from '../src/core/store-era';
import { drive } from './support/lease';

const SETTINGS = { ttlMs: 2_000, marginMs: 200, renewMs: 600, rankDelayMs: 300 };
const era = (value: number): StoreEra => value as StoreEra;
const at = (ms: number): MonoTime => ms as MonoTime;

describe('a point in the history of a store', () => {
  it('is later in a later era, however small its revision', () => {
    expect(isLater({ era: era(2), revision: 1 }, { era: era(1), revision: 900 })).toBe(true);
    expect(isLater({ era: era(1), revision: 900 }, { era: era(2), revision: 1 })).toBe(false);
    expect(isLater({ era: era(1), revision: 5 }, { era: era(1), revision: 5 })).toBe(false);
    const last = { era: era(2), revision: 1 };
    expect(latest({ era: era(1), revision: 900 }, last)).toBe(last);
  });

  it('has an era that a number must be able to name', () => {
    expect(toStoreEra(3)).toBe(3);
    for (const value of [-1, 1.5, NaN, 2 ** 40]) expect(toStoreEra(value)).toBeUndefined();
  });
});

describe('fencing numbers', () => {
  it('are each of one era, and those of a later era are above all earlier ones', () => {
    const last = (fencingFloor(era(2)) - 1) as FencingNumber;
    expect(isOfEra(last, era(1))).toBe(true);
    expect(isOfEra(last, era(2))).toBe(false);
    expect(isOfEra((fencingFloor(era(2)) + 1) as FencingNumber, era(2))).toBe(true);
  });

  it('leave epochs of groups whole numbers in the last era', () => {
    const last = toStoreEra(2 ** 17 - 1);
    expect(last).toBeDefined();
    expect(Number.isSafeInteger((fencingFloor(last ?? era(0)) + 2 ** 20 - 1) * 65_536)).toBe(true);
  });
});

function candidate(self: string): LeaseState {
  const options = { domain: 'd' as DomainId, self: self as DaemonId, session: `${self}1` };
  const state = createLease({ ...options, settings: SETTINGS }, at(0));
  return drive(state, 0, { kind: 'ranked', rank: 0 }).state;
}

function rowOf(holder: string, fencing: number, more: Partial<LeaseRow> = {}): LeaseRow {
  const row = { holder, session: `${holder}1`, fencing, ttlMs: 2_000, released: false };
  return { ...row, ...more } as LeaseRow;
}

function seen(inEra: number, version: number, row?: LeaseRow): LeaseEvent {
  const fence = { version: 1, row: { fencing: row?.fencing ?? (0 as FencingNumber) } };
  return { kind: 'read', era: era(inEra), ...(row && { lease: { version, row }, fence }) };
}

const TICK: LeaseEvent = { kind: 'tick' };
const RETURN: LeaseEvent = { kind: 'era', era: era(2) };

/** Holds the lease in the first era since 0. */
function holder(self = 'a'): LeaseState {
  const sent = drive(candidate(self), 0, seen(0, 0), TICK);
  return drive(sent.state, 0, { kind: 'committed', version: 5, fenceVersion: 5 }).state;
}

describe('the holder of a lease, when the store comes back from an older copy', () => {
  it('takes it again at once, under a number above all of the lost era', () => {
    const before = holder();
    const back = drive(before, 500, RETURN);
    expect(back.effects).toEqual([{ kind: 'read' }]);
    expect(isHolder(back.state, at(500))).toBe(true);
    const { effects } = drive(back.state, 510, seen(2, 3, rowOf('b', 2)), TICK);
    expect(effects).toMatchObject([{ kind: 'commit', leaseVersion: 3, row: { holder: 'a' } }]);
    const [commit] = effects as readonly Extract<LeaseEffect, { kind: 'commit' }>[];
    expect(commit?.row.fencing).toBeGreaterThan(fencingFloor(era(2)));
    expect(before.held?.fencing).toBeLessThan(fencingFloor(era(2)));
  });

  it('does not count a renewal whose condition was of the lost era', () => {
    const sent = drive(holder(), 700, TICK);
    expect(sent.effects).toMatchObject([{ kind: 'commit' }]);
    const committed = { kind: 'committed', version: 9, fenceVersion: 5 } as const;
    const { state, effects } = drive(sent.state, 750, RETURN, committed);
    expect(effects).toEqual([{ kind: 'read' }]);
    expect(state.held?.validUntil).toBe(1_800);
    expect(isHolder(state, at(1_900))).toBe(false);
  });

  it('does not take an own row of the lost era for a renewal whose answer was lost', () => {
    const sent = drive(holder(), 700, TICK);
    const { state } = drive(
      sent.state,
      2_500,
      RETURN,
      { kind: 'unsure' },
      seen(2, 4, rowOf('a', 1)),
    );
    const after = drive(state, 2_510, TICK);
    expect(after.state.held).toBeUndefined();
    expect(after.effects).toEqual([]);
  });

  it('stops to hold it once the lease runs out before it could be taken again', () => {
    const { state } = drive(holder(), 500, RETURN, { kind: 'read-failed' });
    expect(drive(state, 1_900, TICK).state.held).toBeUndefined();
  });

  it('passes over rows that were read before the return was known', () => {
    const back = drive(holder(), 500, RETURN);
    expect(drive(back.state, 505, seen(1, 7, rowOf('a', 1))).state.seen).toBeUndefined();
  });
});

describe('another daemon, when the store comes back from an older copy', () => {
  it.each([
    ['a free lease', rowOf('b', 1, { released: true })],
    ['an own lease of an earlier process', rowOf('c', 1, { session: 'earlier' })],
    ['no lease', undefined],
  ])('waits for as long as a lease lasts where the copy shows %s', (_, row) => {
    const known = drive(candidate('c'), 0, seen(1, 4, rowOf('b', 1))).state;
    const back = drive(known, 1_000, RETURN, seen(2, 3, row));
    expect(drive(back.state, 1_050, TICK).effects).toEqual([]);
    const still = drive(back.state, 3_100, seen(2, 3, row), TICK);
    expect(still.effects).toEqual([]);
    const { effects } = drive(still.state, 3_250, TICK);
    expect(effects).toMatchObject([{ kind: 'commit', row: { holder: 'c' } }]);
  });

  it('does not wait again for a lease that was handed back after the return', () => {
    const known = drive(candidate('c'), 0, seen(1, 4, rowOf('b', 1))).state;
    const free = rowOf('b', fencingFloor(era(2)) + 1, { released: true });
    const { effects } = drive(known, 1_000, RETURN, seen(2, 3, free), TICK);
    expect(effects).toMatchObject([{ kind: 'commit', row: { holder: 'c' } }]);
  });
});

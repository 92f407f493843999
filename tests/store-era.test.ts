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

describe('a position in the history of a store', () => {
  it('is later in a later era, however small its revision', () => {
    expect(isLater({ era: era(2), revision: 1 }, { era: era(1), revision: 900 })).toBe(true);
    expect(isLater({ era: era(1), revision: 900 }, { era: era(2), revision: 1 })).toBe(false);
    expect(isLater({ era: era(1), revision: 5 }, { era: era(1), revision: 5 })).toBe(false);
    const last = { era: era(2), revision: 1 };
    expect(latest({ era: era(1), revision: 900 }, last)).toBe(last);
  });

  it('accepts as era only a number that may be one', () => {
    expect(toStoreEra(3)).toBe(3);
    for (const value of [-1, 1.5, NaN, 2 ** 40]) expect(toStoreEra(value)).toBeUndefined();
  });
});

describe('fencing numbers', () => {
  it('each belong to one era, and those of a later era are above all earlier ones', () => {
    const last = (fencingFloor(era(2)) - 1) as FencingNumber;
    expect(isOfEra(last, era(1))).toBe(true);
    expect(isOfEra(last, era(2))).toBe(false);
    expect(isOfEra((fencingFloor(era(2)) + 1) as FencingNumber, era(2))).toBe(true);
  });

  it('keep epochs of groups safe integers in the last era', () => {
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
const RESTORE: LeaseEvent = { kind: 'era', era: era(2) };

/** Holds the lease in the first era since 0. */
function holder(self = 'a'): LeaseState {
  const sent = drive(candidate(self), 0, seen(0, 0), TICK);
  return drive(sent.state, 0, { kind: 'committed', version: 5, fenceVersion: 5 }).state;
}

describe('the holder of a lease, when the store is restored from an older copy', () => {
  it('retakes it at once, under a fencing number above all of the lost era', () => {
    const before = holder();
    const restored = drive(before, 500, RESTORE);
    expect(restored.effects).toEqual([{ kind: 'read' }]);
    expect(isHolder(restored.state, at(500))).toBe(true);
    const { effects } = drive(restored.state, 510, seen(2, 3, rowOf('b', 2)), TICK);
    expect(effects).toMatchObject([{ kind: 'commit', leaseVersion: 3, row: { holder: 'a' } }]);
    const [commit] = effects as readonly Extract<LeaseEffect, { kind: 'commit' }>[];
    expect(commit?.row.fencing).toBeGreaterThan(fencingFloor(era(2)));
    expect(before.held?.fencing).toBeLessThan(fencingFloor(era(2)));
  });

  it('does not count a renewal with a condition of the lost era', () => {
    const sent = drive(holder(), 700, TICK);
    expect(sent.effects).toMatchObject([{ kind: 'commit' }]);
    const committed = { kind: 'committed', version: 9, fenceVersion: 5 } as const;
    const { state, effects } = drive(sent.state, 750, RESTORE, committed);
    expect(effects).toEqual([{ kind: 'read' }]);
    expect(state.held?.validUntil).toBe(1_800);
    expect(isHolder(state, at(1_900))).toBe(false);
  });

  it('does not treat an own row of the lost era as a renewal whose response was lost', () => {
    const sent = drive(holder(), 700, TICK);
    const { state } = drive(
      sent.state,
      2_500,
      RESTORE,
      { kind: 'unsure' },
      seen(2, 4, rowOf('a', 1)),
    );
    const after = drive(state, 2_510, TICK);
    expect(after.state.held).toBeUndefined();
    expect(after.effects).toEqual([]);
  });

  it('stops holding the lease if it expires before it could be retaken', () => {
    const { state } = drive(holder(), 500, RESTORE, { kind: 'read-failed' });
    expect(drive(state, 1_900, TICK).state.held).toBeUndefined();
  });

  it('ignores rows that were read in the earlier era', () => {
    const restored = drive(holder(), 500, RESTORE);
    expect(drive(restored.state, 505, seen(1, 7, rowOf('a', 1))).state.seen).toBeUndefined();
  });
});

describe('another daemon, when the store is restored from an older copy', () => {
  it.each([
    ['a free lease', rowOf('b', 1, { released: true })],
    ['an own lease of an earlier process', rowOf('c', 1, { session: 'earlier' })],
    ['no lease', undefined],
  ])('waits for the duration of a lease if the copy shows %s', (_, row) => {
    const known = drive(candidate('c'), 0, seen(1, 4, rowOf('b', 1))).state;
    const restored = drive(known, 1_000, RESTORE, seen(2, 3, row));
    expect(drive(restored.state, 1_050, TICK).effects).toEqual([]);
    const waiting = drive(restored.state, 3_100, seen(2, 3, row), TICK);
    expect(waiting.effects).toEqual([]);
    const { effects } = drive(waiting.state, 3_250, TICK);
    expect(effects).toMatchObject([{ kind: 'commit', row: { holder: 'c' } }]);
  });

  it('does not wait again for a lease that was released after the restore', () => {
    const known = drive(candidate('c'), 0, seen(1, 4, rowOf('b', 1))).state;
    const free = rowOf('b', fencingFloor(era(2)) + 1, { released: true });
    const { effects } = drive(known, 1_000, RESTORE, seen(2, 3, free), TICK);
    expect(effects).toMatchObject([{ kind: 'commit', row: { holder: 'c' } }]);
  });
});

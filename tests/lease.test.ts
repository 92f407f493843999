import { describe, expect, it } from 'vitest';

import type { DaemonId, DomainId, MonoTime } from '../src/core/ids';
import { createLease, isHolder } from '../src/core/lease/lease';
import type { LeaseEvent, LeaseRow, LeaseState } from '../src/core/lease/types';
import { drive } from './support/lease';

const SETTINGS = { ttlMs: 10_000, marginMs: 1_000, renewMs: 2_500, rankDelayMs: 2_000 };

function candidate(self = 'a', rank = 0): LeaseState {
  const options = { domain: 'd' as DomainId, self: self as DaemonId, session: `${self}1` };
  const state = createLease({ ...options, settings: SETTINGS }, 0 as MonoTime);
  return drive(state, 0, { kind: 'ranked', rank }).state;
}

function rowOf(holder: string, change: Partial<LeaseRow> = {}): LeaseRow {
  const row = { holder, session: `${holder}1`, fencing: 1, ttlMs: 10_000, released: false };
  return { ...row, ...change } as LeaseRow;
}

function seen(version: number, row: LeaseRow): LeaseEvent {
  const fence = { version: 1, row: { fencing: row.fencing } };
  return { kind: 'read', lease: { version, row }, fence };
}

/** A holder that sent its commit at 0 and got the answer at `answeredAt`. */
function holder(answeredAt = 0): LeaseState {
  const sent = drive(candidate(), 0, { kind: 'read' }, { kind: 'tick' });
  return drive(sent.state, answeredAt, { kind: 'committed', version: 5, fenceVersion: 5 }).state;
}

const TICK: LeaseEvent = { kind: 'tick' };

describe('holder of a lease', () => {
  it('takes an absent lease on condition that both rows are absent', () => {
    const { effects } = drive(candidate(), 0, { kind: 'read' }, TICK);
    expect(effects).toMatchObject([
      { kind: 'commit', leaseVersion: 0, fenceVersion: 0, row: { holder: 'a', fencing: 1 } },
    ]);
  });

  it('counts its validity from before the renewal was sent, less the margin', () => {
    const state = holder(4_000);
    expect(isHolder(state, 8_999 as MonoTime)).toBe(true);
    expect(isHolder(state, 9_000 as MonoTime)).toBe(false);
  });

  it('does not act between releasing the lease and the response, nor if that is lost', () => {
    const shortHandover = { ...holder(), settings: { ...holder().settings, handoverMs: 1_000 } };
    const outranked = drive(shortHandover, 100, { kind: 'ranked', rank: 1 });
    const { state, effects } = drive(outranked.state, 1_200, TICK);
    expect(effects).toMatchObject([{ kind: 'commit', row: { released: true } }]);
    expect(isHolder(outranked.state, 1_200 as MonoTime)).toBe(true);
    expect(isHolder(state, 1_200 as MonoTime)).toBe(false);
    const lost = drive(state, 1_300, { kind: 'unsure' });
    expect(isHolder(lost.state, 1_300 as MonoTime)).toBe(false);
    const refused = drive(state, 1_300, { kind: 'refused', conflict: false });
    expect(isHolder(refused.state, 1_300 as MonoTime)).toBe(true);
  });

  it('renews without writing the fence row', () => {
    const { effects } = drive(holder(), 2_500, TICK);
    expect(effects).toMatchObject([{ kind: 'commit', leaseVersion: 5 }]);
    expect(effects[0]).not.toHaveProperty('fenceVersion');
  });

  it('may not act after a pause past its lease, and detects that another took it', () => {
    const paused = drive(holder(), 60_000, TICK);
    expect(isHolder(paused.state, 60_000 as MonoTime)).toBe(false);
    const told = drive(paused.state, 60_000, { kind: 'refused', conflict: true });
    expect(told.effects).toEqual([{ kind: 'read' }]);
    const after = drive(told.state, 60_001, seen(9, rowOf('b', { fencing: 2 as never })), TICK);
    expect(after.state.held).toBeUndefined();
    expect(after.effects).toEqual([]);
  });

  it('holds an expired lease that nobody took again once a renewal commits', () => {
    const late = drive(holder(), 60_000, TICK);
    const after = drive(late.state, 60_010, { kind: 'committed', version: 6, fenceVersion: 0 });
    expect(isHolder(after.state, 60_010 as MonoTime)).toBe(true);
    expect(after.state.held?.fencing).toBe(1);
  });

  it('reads the rows back after a lost response and may not act until it has renewed', () => {
    const sent = drive(candidate(), 0, { kind: 'read' }, TICK);
    const lost = drive(sent.state, 9_500, { kind: 'unsure' });
    expect(lost.effects).toEqual([{ kind: 'read' }]);
    const found = drive(lost.state, 9_600, seen(5, rowOf('a')));
    expect(isHolder(found.state, 9_600 as MonoTime)).toBe(false);
    const renewed = drive(found.state, 9_700, TICK);
    expect(renewed.effects).toMatchObject([{ kind: 'commit', leaseVersion: 5 }]);
    const after = drive(renewed.state, 9_800, { kind: 'committed', version: 6, fenceVersion: 0 });
    expect(isHolder(after.state, 9_800 as MonoTime)).toBe(true);
  });

  it('does not treat a row of an earlier process with the same id as its own', () => {
    const restarted = drive(candidate(), 0, seen(5, rowOf('a', { session: 'a0' })), TICK);
    expect(restarted.state.held).toBeUndefined();
    // It takes the lease under a higher fencing number, and holds it only once that is committed.
    expect(restarted.effects).toMatchObject([
      { kind: 'commit', leaseVersion: 5, row: { holder: 'a', session: 'a1', fencing: 2 } },
    ]);
    expect(restarted.effects).toHaveLength(1);
  });

  it('releases the lease at stop', () => {
    const { effects, state } = drive(holder(), 100, { kind: 'stop' });
    expect(effects).toMatchObject([{ kind: 'commit', row: { released: true, fencing: 1 } }]);
    expect(isHolder(state, 100 as MonoTime)).toBe(false);
  });

  it('releases the lease for a peer that ranks before it only after the hand-over delay', () => {
    const ranked = drive(holder(), 1_000, { kind: 'ranked', rank: 1 }).state;
    expect(drive(ranked, 2_500, TICK).effects).toMatchObject([{ row: { released: false } }]);
    expect(drive(ranked, 16_000, TICK).effects).toMatchObject([{ row: { released: true } }]);
  });
});

describe('taker of a lease', () => {
  it('does not wait for the lease of an earlier process of its own id', () => {
    const { effects } = drive(candidate('b'), 0, seen(3, rowOf('b', { session: 'b0' })), TICK);
    expect(effects).toMatchObject([{ kind: 'commit', leaseVersion: 3, row: { fencing: 2 } }]);
  });

  it('waits the full time from when it first read the current version', () => {
    const seenFirst = drive(candidate('b'), 5_000, seen(5, rowOf('a'))).state;
    const first = drive(seenFirst, 10_000, seen(5, rowOf('a'))).state;
    expect(drive(first, 15_900, seen(5, rowOf('a')), TICK).effects).toEqual([]);
    expect(drive(first, 16_000, seen(5, rowOf('a')), TICK).effects).toMatchObject([
      { kind: 'commit', leaseVersion: 5, fenceVersion: 1, row: { holder: 'b', fencing: 2 } },
    ]);
  });

  it('restarts its wait at each renewal', () => {
    const first = drive(candidate('b'), 0, seen(5, rowOf('a'))).state;
    const renewed = drive(first, 10_000, seen(6, rowOf('a'))).state;
    const same = seen(6, rowOf('a'));
    expect(drive(renewed, 20_000, same, TICK).effects).toEqual([]);
    const waited = drive(renewed, 20_000, same).state;
    expect(drive(waited, 20_900, TICK).effects).toEqual([]);
    expect(drive(waited, 21_000, TICK).effects).toHaveLength(1);
  });

  it('takes a released lease at once, later candidates after their rank delay', () => {
    const released = seen(5, rowOf('a', { released: true }));
    expect(drive(candidate('b'), 100, released, TICK).effects).toHaveLength(1);
    const second = drive(candidate('c', 1), 100, released, TICK);
    expect(second.effects).toEqual([]);
    expect(drive(second.state, 2_100, TICK).effects).toHaveLength(1);
  });

  it('does not try while it is not a candidate', () => {
    const out = drive(candidate('b', Infinity), 0, { kind: 'read' }, TICK);
    expect(out.effects).toEqual([]);
  });

  it('ignores a response that is older than the known rows', () => {
    const known = drive(candidate('b'), 0, seen(6, rowOf('a'))).state;
    expect(drive(known, 5_000, seen(5, rowOf('a'))).state.seen).toMatchObject({
      version: 6,
      since: 0,
    });
  });

  it('reads again after losing a race', () => {
    const sent = drive(candidate('b'), 0, { kind: 'read' }, TICK);
    const lost = drive(sent.state, 10, { kind: 'refused', conflict: true });
    expect(lost.effects).toEqual([{ kind: 'read' }]);
    expect(lost.state.pending).toBeUndefined();
  });

  it('sends no commit after a lost race until it has read the rows', () => {
    const sent = drive(candidate('b'), 0, { kind: 'read' }, TICK);
    const lost = drive(sent.state, 10, { kind: 'refused', conflict: true }, TICK, TICK);
    expect(lost.effects).toEqual([{ kind: 'read' }]);
    const known = drive(lost.state, 20, seen(5, rowOf('a', { released: true })), TICK);
    expect(known.effects).toMatchObject([{ kind: 'commit', leaseVersion: 5 }]);
  });

  it('retries after a delay when the table is unavailable', () => {
    const sent = drive(candidate('b'), 0, { kind: 'read' }, TICK);
    const down = drive(sent.state, 10, { kind: 'refused', conflict: false }, TICK);
    expect(down.effects).toEqual([]);
    expect(drive(down.state, 2_000, TICK).effects).toMatchObject([{ kind: 'commit' }]);
  });

  it('sends no commit while it cannot read the rows', () => {
    const known = drive(candidate('b'), 0, seen(5, rowOf('a'))).state;
    expect(drive(known, 600_000, TICK).effects).toEqual([]);
  });

  it('counts its rank delay from when it can read again after an outage of the table', () => {
    const known = drive(candidate('c', 2), 0, seen(5, rowOf('a'))).state;
    const again = drive(known, 600_000, seen(5, rowOf('a')), TICK);
    expect(again.effects).toEqual([]);
    const later = drive(again.state, 603_000, seen(5, rowOf('a')), TICK);
    expect(later.effects).toEqual([]);
    expect(drive(later.state, 604_000, TICK).effects).toMatchObject([{ kind: 'commit' }]);
  });
});

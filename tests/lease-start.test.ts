import { describe, expect, it } from 'vitest';

import type { DaemonId, DomainId, MonoTime } from '../src/core/ids';
import { createLease } from '../src/core/lease/lease';
import type { LeaseEvent, LeaseState } from '../src/core/lease/types';
import type { StoreEra } from '../src/core/store-era';
import { drive } from './support/lease';

const SETTINGS = { ttlMs: 2_000, marginMs: 200, renewMs: 600, rankDelayMs: 300 };
const TICK: LeaseEvent = { kind: 'tick' };

function started(now: number): LeaseState {
  const options = { domain: 'd' as DomainId, self: 'c' as DaemonId, session: 'c1' };
  const state = createLease({ ...options, settings: SETTINGS }, now as MonoTime);
  return drive(state, now, { kind: 'ranked', rank: 0 }).state;
}

/** A read that shows no lease. */
function noLease(era: number): LeaseEvent {
  return { kind: 'read', era: era as StoreEra };
}

describe('a process that starts while the store shows no lease', () => {
  it('waits for the duration of a lease if the store was restored from a copy', () => {
    const first = drive(started(5_000), 5_000, noLease(2), TICK);
    expect(first.effects).toEqual([]);
    const still = drive(first.state, 7_100, noLease(2), TICK);
    expect(still.effects).toEqual([]);
    const { effects } = drive(still.state, 7_200, TICK);
    expect(effects).toMatchObject([{ kind: 'commit', row: { holder: 'c' } }]);
  });

  it('does not wait if the store was never restored', () => {
    const { effects } = drive(started(5_000), 5_000, noLease(0), TICK);
    expect(effects).toMatchObject([{ kind: 'commit', row: { holder: 'c', fencing: 1 } }]);
  });
});

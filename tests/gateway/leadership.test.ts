import { errAsync, okAsync } from 'neverthrow';
import { describe, expect, it } from 'vitest';

import { createClock } from '../../src/adapters/runtime';
import type { Fleet } from '../../src/app/gateway/fleet';
import { createLeadership } from '../../src/app/gateway/lease';
import type { PeerState } from '../../src/app/gateway/messages';
import { brandAs, later } from '../../src/core/ids';
import type { DaemonId, FencingNumber } from '../../src/core/ids';
import { FIRST_ERA } from '../../src/core/store-era';
import type { EraTable } from '../../src/ports/gateway';
import { fail } from '../../src/utils/errors';
import { makeContext } from './support';

const OWN = brandAs<DaemonId>('own');

/** The only candidate for the lease, with a store that can refuse its calls. */
function setUp() {
  const clock = createClock();
  const start = clock.now();
  const epoch = clock.epoch();
  let now = start;
  let isRefusing = false;
  let version = 0;
  const refused = () =>
    errAsync(fail('store-unavailable', 'refused by the test', { step: 'test' }));
  const table = {
    read: () => (isRefusing ? refused() : okAsync({ era: FIRST_ERA, rows: [] })),
    commit: ({ writes }: Parameters<EraTable['commit']>[0]) => {
      if (isRefusing) return refused();
      version += 1;
      return okAsync({ versions: Object.fromEntries(writes.map(({ key }) => [key, version])) });
    },
  } as unknown as EraTable;
  const ctx = makeContext({
    settings: { id: OWN },
    clock: { now: () => now, epoch: () => later(epoch, now - start) },
  });
  const fleet = { candidates: () => new Map([[OWN, 1]]) } as unknown as Fleet;
  const leadership = createLeadership(ctx, table, fleet);
  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 50) {
      now = later(now, 50);
      leadership.tick();
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  return { leadership, run, turnAway: () => (isRefusing = true) };
}

function successorOf(fencing: number): NonNullable<PeerState['lease']> {
  return {
    era: FIRST_ERA,
    version: 1_000,
    row: {
      holder: brandAs<DaemonId>('successor'),
      session: 's',
      fencing: brandAs<FencingNumber>(fencing + 1),
      ttlMs: 2_000,
      released: false,
    },
    fenceVersion: 1_000,
  };
}

describe('the leader', () => {
  it('publishes its lease while the lease is valid', async () => {
    const { leadership, run } = setUp();
    await run(5_000);
    expect(leadership.heldFencing()).toBe(1);
    expect(leadership.ownLease()?.row.holder).toBe(OWN);
  });

  it('stops publishing its lease once it has expired, even if the store refuses calls', async () => {
    const { leadership, run, turnAway: refuseCalls } = setUp();
    await run(5_000);
    refuseCalls();
    await run(3_000);
    expect(leadership.heldFencing()).toBeUndefined();
    expect(leadership.ownLease()).toBeUndefined();
  });

  it('yields to its successor as soon as it learns of it', async () => {
    const { leadership, run, turnAway: refuseCalls } = setUp();
    await run(5_000);
    refuseCalls();
    leadership.notePeerLease(successorOf(1));
    expect(leadership.heldFencing()).toBeUndefined();
    expect(leadership.ownLease()).toBeUndefined();
  });

  it('does not yield to an earlier lease that arrives late', async () => {
    const { leadership, run } = setUp();
    await run(5_000);
    leadership.notePeerLease(successorOf(0));
    expect(leadership.heldFencing()).toBe(1);
  });
});

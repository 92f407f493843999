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

/** The only daemon in line for the lease, before a store that may turn it away. */
function setUp() {
  const clock = createClock();
  const start = clock.now();
  const epoch = clock.epoch();
  let now = start;
  let isTurnedAway = false;
  let version = 0;
  const refused = () => errAsync(fail('store-unavailable', 'turned away', { step: 'test' }));
  const table = {
    read: () => (isTurnedAway ? refused() : okAsync({ era: FIRST_ERA, rows: [] })),
    commit: ({ writes }: Parameters<EraTable['commit']>[0]) => {
      if (isTurnedAway) return refused();
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
  return { leadership, run, turnAway: () => (isTurnedAway = true) };
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
  it('speaks for the fleet while its lease holds', async () => {
    const { leadership, run } = setUp();
    await run(5_000);
    expect(leadership.heldFencing()).toBe(1);
    expect(leadership.ownLease()?.row.holder).toBe(OWN);
  });

  it('speaks no more once its lease has run out, also where the store turns it away', async () => {
    const { leadership, run, turnAway } = setUp();
    await run(5_000);
    turnAway();
    await run(3_000);
    expect(leadership.heldFencing()).toBeUndefined();
    expect(leadership.ownLease()).toBeUndefined();
  });

  it('gives way to its successor as soon as it hears of it', async () => {
    const { leadership, run, turnAway } = setUp();
    await run(5_000);
    turnAway();
    leadership.notePeerLease(successorOf(1));
    expect(leadership.heldFencing()).toBeUndefined();
    expect(leadership.ownLease()).toBeUndefined();
  });

  it('does not give way to an earlier lease that is told late', async () => {
    const { leadership, run } = setUp();
    await run(5_000);
    leadership.notePeerLease(successorOf(0));
    expect(leadership.heldFencing()).toBe(1);
  });
});

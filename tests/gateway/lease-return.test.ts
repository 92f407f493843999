import { describe, expect, it } from 'vitest';

import { createClock } from '../../src/adapters/runtime';
import type { Fleet } from '../../src/app/gateway/fleet';
import { createLeadership } from '../../src/app/gateway/lease';
import type { Leadership } from '../../src/app/gateway/lease';
import { brandAs, later } from '../../src/core/ids';
import type { DaemonId } from '../../src/core/ids';
import { createEraStore } from '../support/era-table';
import type { EraClient } from '../support/era-table';
import { makeContext } from './support';

interface Candidate {
  readonly leadership: Leadership;
  readonly client: EraClient;
}

/** Daemons sharing one store and a manual clock. Each ranks itself first among the candidates. */
function setUp() {
  const clock = createClock();
  const [start, epoch] = [clock.now(), clock.epoch()];
  let now = start;
  const store = createEraStore();
  const running = new Set<Leadership>();

  const add = (name: string): Candidate => {
    const id = brandAs<DaemonId>(name);
    const ctx = makeContext({
      settings: { id },
      clock: { now: () => now, epoch: () => later(epoch, now - start) },
    });
    const client = store.client((era) => {
      ctx.store.noteEra(era, 'call');
    });
    const fleet = { candidates: () => new Map([[id, 1]]) } as unknown as Fleet;
    const leadership = createLeadership(ctx, client.table, fleet);
    running.add(leadership);
    return { leadership, client };
  };

  const run = async (ms: number, each: () => void = () => undefined): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 50) {
      now = later(now, 50);
      for (const leadership of running) leadership.tick();
      await new Promise((resolve) => setImmediate(resolve));
      each();
    }
  };

  const kill = ({ leadership }: Candidate): void => {
    running.delete(leadership);
  };
  return { store, add, run, kill };
}

/**
 * The store was restored, `b` holds the lease of the new era, and a write of `a` from the lost era
 * is still in transit.
 */
async function withWriteOfLostEra() {
  const daemons = setUp();
  const { store, add, run, kill } = daemons;
  const restore = store.copy();
  const first = add('a');
  await run(3_000);
  kill(first);
  const again = add('a');
  again.client.hold();
  await run(3_000);
  kill(again);
  restore();
  const owner = add('b');
  const deliver = (): void => {
    again.client.deliver();
  };
  return { ...daemons, owner, deliver };
}

describe("a write of a lost era that arrives after the store's return", () => {
  it('does not change the lease of the new era', async () => {
    const { owner, run, deliver } = await withWriteOfLostEra();
    await run(3_000, deliver);
    const fencing = owner.leadership.heldFencing();
    expect(fencing).toBeDefined();
    await run(5_000, () => {
      deliver();
      expect(owner.leadership.heldFencing()).toBe(fencing);
    });
  });

  it('does not cause a fencing number to be issued twice', async () => {
    const { owner, run, deliver, add, kill } = await withWriteOfLostEra();
    await run(3_000);
    const fencing = owner.leadership.heldFencing();
    await run(5_000, () => {
      deliver();
      if (owner.leadership.heldFencing() === undefined) kill(owner);
    });
    kill(owner);
    const next = add('c');
    await run(6_000);
    expect(next.leadership.heldFencing()).toBeGreaterThan(fencing ?? Infinity);
  });
});

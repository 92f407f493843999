import { describe, expect, it } from 'vitest';

import { configOf, createWorld, modelSpec, rowsBelow } from './support/control-world';
import type { FakeDaemon, World } from './support/control-world';

async function startServing(checksFencing: boolean): Promise<World> {
  const world = createWorld({ drift: 0.03 });
  for (const n of [1, 2, 3, 4, 5, 6]) world.addEngine(`e${n}`, 'd1', { checksFencing });
  for (const id of ['a1', 'a2', 'a3']) await world.addDaemon(id);
  world.config.next(configOf(modelSpec('m', { replicas: 1 })));
  await world.advance(12_000);
  return world;
}

function holderIn(world: World): FakeDaemon {
  const found = world.daemons.find(({ control }) => control.heldDomains().length > 0);
  if (!found) throw new Error('no holder');
  return found;
}

describe.each([true, false])('engines, checking fencing numbers: %s', (checksFencing) => {
  it('receive no order from a holder that was suspended past its lease and resumed', async () => {
    const world = await startServing(checksFencing);
    const frozen = holderIn(world);
    frozen.running = false;
    for (const one of [...world.engines.values()].slice(0, 1)) one.up = false;
    await world.advance(30_000);
    expect(holderIn(world).id).not.toBe(frozen.id);
    const rows = new Map(world.table.rows);
    const orders = [...world.engines.values()].map((one) => one.heldBy.length);
    for (const other of world.daemons) other.running = other === frozen;
    await world.advance(5_000);
    expect(frozen.control.heldDomains()).toEqual([]);
    expect([...world.engines.values()].map((one) => one.heldBy.length)).toEqual(orders);
    for (const [key, row] of rows) expect(world.table.rows.get(key)).toEqual(row);
    expect(world.staleOrders).toEqual([]);
  });

  it('converge to the rows when orders of the former holder arrive late', async () => {
    const world = await startServing(checksFencing);
    const former = holderIn(world);
    former.lateOrders = 100;
    // The group is replaced by another, and its join orders are delayed.
    world.config.next(configOf(modelSpec('n', { replicas: 1 })));
    await world.advance(40_000);
    world.kill(former);
    world.config.next(configOf(modelSpec('m', { replicas: 1 })));
    await world.advance(60_000);
    const before = world.routable('m');
    expect(before[0]).not.toBe('');
    world.flushLate();
    await world.advance(30_000);
    expect(new Set(world.routable('m'))).toHaveLength(1);
    expect(world.routable('m')[0]).not.toBe('');
    expect(rowsBelow(world.table, 'group/')).toHaveLength(1);
    const held = [...world.engines.values()].filter((one) => one.group !== undefined);
    expect(held).toHaveLength(4);
  });
});

describe('a commit of a former holder', () => {
  it('has no effect after another daemon has acquired the lease, even if its rows are unchanged', async () => {
    const world = await startServing(true);
    const former = holderIn(world);
    Object.assign(world.table, { lateCommits: 1, latePrefix: 'group/' });
    // Delays just this commit: the former holder is stopped before it arrives.
    world.config.next(configOf());
    while (!world.table.isLatePending()) await world.advance(100);
    world.kill(former);
    world.config.next(configOf(modelSpec('m', { replicas: 1 })));
    await world.advance(30_000);
    const rows = new Map(world.table.rows);
    expect(holderIn(world).id).not.toBe(former.id);
    world.table.flushLate();
    for (const [key, row] of rows) expect(world.table.rows.get(key)).toEqual(row);
  });
});

describe('lease on a domain', () => {
  it('passes to the next daemon at once when its holder stops', async () => {
    const world = await startServing(true);
    const leaving = holderIn(world);
    const stopped = leaving.control.stop();
    leaving.running = false;
    await stopped;
    await world.advance(4_500);
    expect(holderIn(world).id).not.toBe(leaving.id);
    expect(world.routable('m').every((groups) => groups.endsWith('@1'))).toBe(true);
  });

  it('lapses for a holder that cannot reach the table, and is acquired by another only after that', async () => {
    const world = await startServing(true);
    const isolated = holderIn(world);
    isolated.partitioned.table = true;
    await world.advance(5_000);
    expect(holderIn(world).id).toBe(isolated.id);
    await world.advance(13_000);
    expect(holderIn(world).id).not.toBe(isolated.id);
    expect(isolated.control.routable('m' as never)).toHaveLength(1);
  });
});

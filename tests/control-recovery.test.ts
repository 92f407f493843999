import { describe, expect, it } from 'vitest';

import { restart } from './support/control-engine';
import { configOf, createWorld, modelSpec, rowsBelow } from './support/control-world';
import type { World, WorldOptions } from './support/control-world';

async function startServing(daemons: number, options: WorldOptions = {}): Promise<World> {
  const world = createWorld(options);
  for (const n of [1, 2, 3, 4, 5, 6]) world.addEngine(`e${n}`, 'd1');
  for (let n = 1; n <= daemons; n++) await world.addDaemon(`a${n}`);
  world.config.next(configOf(modelSpec('m', { replicas: 1 })));
  await world.advance(12_000);
  expect(new Set(world.routable('m'))).toHaveLength(1);
  expect(world.routable('m')[0]).toContain('@1');
  return world;
}

function membersOf(world: World): readonly string[] {
  const [row] = rowsBelow(world.table, 'group/') as unknown as {
    members: { instance: string }[];
  }[];
  return row?.members.map((member) => member.instance) ?? [];
}

function engine(world: World, id: string | undefined) {
  const found = world.engines.get(id ?? '');
  if (!found) throw new Error(`no engine ${id}`);
  return found;
}

describe('a member that dies', () => {
  it('makes its group unroutable on every daemon and is replaced by a spare that has the weights', async () => {
    const world = await startServing(3);
    const [, victim] = membersOf(world);
    const others = membersOf(world).filter((id) => id !== victim);
    engine(world, victim).up = false;
    await world.advance(2_000);
    expect(world.routable('m')).toEqual(['', '', '']);
    await world.advance(15_000);
    expect(membersOf(world)).not.toContain(victim);
    expect(membersOf(world)).toEqual(expect.arrayContaining(others));
    expect(new Set(world.routable('m'))).toHaveLength(1);
    expect(world.routable('m')[0]).toContain('@2');
  });

  it('is released when it recovers after it was replaced', async () => {
    const world = await startServing(2);
    const [victim] = membersOf(world);
    engine(world, victim).up = false;
    await world.advance(20_000);
    expect(membersOf(world)).not.toContain(victim);
    engine(world, victim).up = true;
    expect(engine(world, victim).group).toBeDefined();
    await world.advance(3_000);
    expect(engine(world, victim)).toMatchObject({ group: undefined, state: 'idle' });
  });

  it('rejoins its group with the next epoch when it restarts and no instance is free', async () => {
    const world = await startServing(2);
    const [first, victim] = membersOf(world);
    for (const one of world.engines.values()) {
      if (!membersOf(world).includes(one.id)) one.up = false;
    }
    await world.advance(2_000);
    restart(engine(world, victim), world.now());
    await world.advance(12_000);
    expect(engine(world, victim)).toMatchObject({ epoch: 2, state: 'serving' });
    expect(engine(world, first)).toMatchObject({ epoch: 2, state: 'serving' });
    expect(world.routable('m').every((groups) => groups.endsWith('@2'))).toBe(true);
  });

  it('is kept when only the holder of the lease cannot reach it', async () => {
    const world = await startServing(3);
    const before = membersOf(world);
    const holder = world.daemons.find(({ control }) => control.heldDomains().length > 0);
    if (!holder) throw new Error('no holder');
    holder.partitioned.engines = true;
    await world.advance(40_000);
    expect(membersOf(world)).toEqual(before);
    const others = world.daemons.filter((daemon) => daemon !== holder);
    world.routable('m');
    await world.advance(500);
    for (const { control } of others) expect(control.routable('m' as never)).toHaveLength(1);
  });
});

describe('restart of all daemons at once', () => {
  it('resumes without sending an order to a serving group', async () => {
    const world = await startServing(3);
    const orders = [...world.engines.values()].map((one) => one.heldBy.length);
    for (const daemon of [...world.daemons]) world.kill(daemon);
    for (const id of ['b1', 'b2', 'b3']) await world.addDaemon(id);
    await world.advance(3_000);
    expect(world.routable('m').every((groups) => groups.endsWith('@1'))).toBe(true);
    await world.advance(20_000);
    expect([...world.engines.values()].map((one) => one.heldBy.length)).toEqual(orders);
    expect(world.daemons.flatMap(({ control }) => control.heldDomains())).toEqual(['d1']);
    expect(rowsBelow(world.table, 'slot/')).toHaveLength(1);
  });
});

describe('a fabric domain with an outage', () => {
  it('keeps its groups, which serve unchanged once it recovers', async () => {
    const world = await startServing(2);
    const before = membersOf(world);
    for (const one of world.engines.values()) one.up = false;
    await world.advance(60_000);
    expect(world.routable('m')).toEqual(['', '']);
    expect(membersOf(world)).toEqual(before);
    for (const one of world.engines.values()) one.up = true;
    await world.advance(3_000);
    expect(world.routable('m').every((groups) => groups.endsWith('@1'))).toBe(true);
  });

  it('loads no weights in another domain before the outage limit, and then only those needed', async () => {
    const world = await startServing(2, { settings: { domain: { outageDissolveMs: 60_000 } } });
    for (const n of [1, 2, 3, 4]) world.addEngine(`f${n}`, 'd2');
    await world.advance(3_000);
    for (const one of world.engines.values()) one.up = one.id.startsWith('f');
    await world.advance(50_000);
    expect(engine(world, 'f1').heldBy).toEqual([]);
    await world.advance(40_000);
    expect(world.routable('m').every((groups) => groups.endsWith('@1'))).toBe(true);
    expect(engine(world, 'f1').state).toBe('serving');
    for (const one of world.engines.values()) one.up = true;
    await world.advance(20_000);
    expect(engine(world, 'e1').group).toBeUndefined();
    expect(rowsBelow(world.table, 'group/')).toHaveLength(1);
  });

  it('is reported as dark when most of its groups are lost together', async () => {
    const world = createWorld();
    for (const n of [1, 2, 3, 4, 5, 6, 7, 8]) world.addEngine(`e${n}`, 'd1');
    const daemon = await world.addDaemon('a');
    world.config.next(configOf(modelSpec('m', { replicas: 2 })));
    await world.advance(18_000);
    const reported: boolean[] = [];
    daemon.control.lost.subscribe(({ isDomainDown }) => reported.push(isDomainDown));
    for (const one of world.engines.values()) one.up = false;
    await world.advance(3_000);
    expect(reported).toEqual([false, true, true]);
  });
});

import { describe, expect, it } from 'vitest';

import { configOf, createWorld, modelSpec, rowsBelow } from './support/control-world';
import type { World } from './support/control-world';

async function startServing(engines: number): Promise<World> {
  const world = createWorld();
  for (let n = 1; n <= engines; n++) world.addEngine(`e${n}`, 'd1');
  for (const id of ['a1', 'a2', 'a3']) await world.addDaemon(id);
  world.config.next(configOf(modelSpec('m')));
  await world.advance(12_000);
  expect(world.routable('m').every((groups) => groups.endsWith('@1'))).toBe(true);
  return world;
}

function members(world: World): readonly string[] {
  const rows = rowsBelow(world.table, 'group/') as unknown as {
    members: { instance: string }[];
  }[];
  return rows.flatMap((row) => row.members.map((member) => member.instance));
}

type Mark = (world: World, id: string) => unknown;

const MARKS: readonly [string, Mark][] = [
  [
    'the platform lists it as leaving',
    (world, id) => {
      const entry = world.listed.get(id as never);
      if (entry) world.listed.set(entry.id, { ...entry, state: 'leaving' });
    },
  ],
  [
    'it reports so itself',
    (world, id) => {
      const engine = world.engines.get(id);
      if (engine) engine.leaving = true;
    },
  ],
  ['an operator drains it', (world, id) => world.daemons[2]?.control.drainInstance(id as never)],
];

describe('an instance that is leaving', () => {
  it.each(MARKS)('gets no new requests from any daemon within 3 s when %s', async (_how, mark) => {
    const world = await startServing(5);
    const [victim = ''] = members(world);
    mark(world, victim);
    await world.advance(3_000);
    for (const { control } of world.daemons) {
      const remaining = control.routable('m' as never).flatMap((group) => group.members);
      expect(remaining.map((member) => member.instance)).not.toContain(victim);
    }
  });

  it.each(MARKS)(
    'gets none while no daemon holds the lease either, when %s',
    async (_how, mark) => {
      const world = await startServing(5);
      const [victim = ''] = members(world);
      world.table.down = true;
      await world.advance(15_000);
      expect(world.daemons.flatMap(({ control }) => control.heldDomains())).toEqual([]);
      mark(world, victim);
      await world.advance(3_000);
      expect(world.engines.get(victim)?.state).toBe('serving');
      expect(world.routable('m')).toEqual(['', '', '']);
    },
  );

  it('is replaced by a spare that has the weights, once its requests in flight are done', async () => {
    const world = await startServing(5);
    const [first = '', victim = ''] = members(world);
    const rank0 = world.engines.get(first);
    if (!rank0) throw new Error('no rank 0');
    rank0.inFlight = 3;
    MARKS[0]?.[1](world, victim);
    await world.advance(12_000);
    expect(members(world)).toContain(victim);
    expect(rank0.state).toBe('draining');
    expect(world.engines.get(victim)?.group).toBeDefined();
    const spare = [...world.engines.values()].find((one) => !members(world).includes(one.id));
    expect(spare?.weights.has('m' as never)).toBe(true);
    rank0.inFlight = 0;
    await world.advance(3_000);
    expect(members(world)).not.toContain(victim);
    expect(world.routable('m').every((groups) => groups.endsWith('@2'))).toBe(true);
    expect(world.engines.get(victim)?.group).toBeUndefined();
  });

  it('is removed at the drain deadline even if requests are still in flight', async () => {
    const world = await startServing(5);
    const [first = '', victim = ''] = members(world);
    const rank0 = world.engines.get(first);
    if (rank0) rank0.inFlight = 3;
    MARKS[0]?.[1](world, victim);
    await world.advance(40_000);
    expect(members(world)).not.toContain(victim);
  });

  it('is never chosen as a replacement', async () => {
    const world = await startServing(5);
    const spare = [...world.engines.values()].find((one) => !members(world).includes(one.id));
    MARKS[1]?.[1](world, spare?.id ?? '');
    await world.advance(2_000);
    const dead = world.engines.get(members(world)[1] ?? '');
    if (dead) dead.up = false;
    await world.advance(60_000);
    expect(spare?.heldBy).toEqual([]);
  });

  it('stays marked when all daemons are replaced', async () => {
    const world = await startServing(4);
    const [victim = ''] = members(world);
    await world.daemons[0]?.control.drainInstance(victim as never);
    for (const daemon of [...world.daemons]) world.kill(daemon);
    await world.addDaemon('b1');
    await world.advance(15_000);
    expect(world.routable('m')).toEqual(['']);
  });

  it('can be drained only if the platform lists it', async () => {
    const world = await startServing(4);
    const done = await world.daemons[0]?.control.drainInstance('nobody' as never);
    expect(done?._unsafeUnwrapErr()).toMatchObject({ code: 'not-found', peer: 'nobody' });
  });
});

describe('a configuration with fewer or smaller replicas', () => {
  it('drains and dissolves groups, and releases their instances', async () => {
    const world = await startServing(4);
    const [first = ''] = members(world);
    const rank0 = world.engines.get(first);
    if (rank0) rank0.inFlight = 1;
    world.config.next(configOf(modelSpec('m', { replicas: 0 })));
    await world.advance(5_000);
    expect(rank0?.state).toBe('draining');
    expect(world.routable('m')).toEqual(['', '', '']);
    if (rank0) rank0.inFlight = 0;
    await world.advance(5_000);
    expect(rowsBelow(world.table, 'group/')).toEqual([]);
    expect(rowsBelow(world.table, 'slot/')).toEqual([]);
    expect([...world.engines.values()].every((one) => one.state === 'idle')).toBe(true);
  });

  it('replaces groups of the former size one at a time', async () => {
    const world = createWorld();
    for (let n = 1; n <= 8; n++) world.addEngine(`e${n}`, 'd1');
    const { control } = await world.addDaemon('a');
    world.config.next(configOf(modelSpec('m', { replicas: 2 })));
    await world.advance(18_000);
    expect(control.routable('m' as never)).toHaveLength(2);
    world.config.next(configOf(modelSpec('m', { replicas: 2, membersPerReplica: 3 })));
    const routableCounts: number[] = [];
    for (let passed = 0; passed < 30_000; passed += 500) {
      await world.advance(500);
      routableCounts.push(control.routable('m' as never).length);
    }
    expect(Math.min(...routableCounts)).toBe(1);
    const sizes = control.routable('m' as never).map((group) => group.members.length);
    expect(sizes).toEqual([3, 3]);
  });
});

import { describe, expect, it } from 'vitest';

import { configOf, createWorld, modelSpec } from './support/control-world';
import type { World } from './support/control-world';

async function serving(): Promise<World> {
  const world = createWorld();
  for (const n of [1, 2, 3, 4, 5]) world.addEngine(`e${n}`, 'd1');
  for (const id of ['a1', 'a2', 'a3']) await world.addDaemon(id);
  world.config.next(configOf(modelSpec('m')));
  await world.advance(12_000);
  return world;
}

describe('evidence from a failed request', () => {
  it('takes a group out on this daemon at once, and a fresh probe brings it back', async () => {
    const world = await serving();
    const [daemon] = world.daemons;
    const [group] = daemon?.control.routable('m' as never) ?? [];
    if (!daemon || !group) throw new Error('nothing serves');
    const lost: string[] = [];
    daemon.control.lost.subscribe((one) => lost.push(one.group));
    const { id, epoch } = group;
    daemon.control.report({ group: id, epoch, kind: 'lost', step: 'send' });
    expect(daemon.control.routable('m' as never)).toEqual([]);
    expect(lost).toEqual([id]);
    await world.settle();
    expect(daemon.control.routable('m' as never)).toEqual([]);
    await world.advance(1_500);
    expect(daemon.control.routable('m' as never)).toHaveLength(1);
  });

  it('brings nothing back while a member does not answer', async () => {
    const world = await serving();
    const [daemon] = world.daemons;
    const [group] = daemon?.control.routable('m' as never) ?? [];
    if (!daemon || !group) throw new Error('nothing serves');
    const member = world.engines.get(group.members[2]?.instance ?? '');
    if (member) member.up = false;
    daemon.control.report({ group: group.id, epoch: group.epoch, kind: 'lost', step: 'send' });
    for (let i = 0; i < 20; i++) {
      expect(daemon.control.routable('m' as never)).toEqual([]);
      await world.advance(100);
    }
  });

  it('that a full group refused changes nothing', async () => {
    const world = await serving();
    const [daemon] = world.daemons;
    const [group] = daemon?.control.routable('m' as never) ?? [];
    if (!daemon || !group) throw new Error('nothing serves');
    daemon.control.report({ group: group.id, epoch: group.epoch, kind: 'refused', step: 'send' });
    expect(daemon.control.routable('m' as never)).toHaveLength(1);
  });
});

describe('what a daemon shows', () => {
  it('sums downtime and stranded accelerators while a group is broken', async () => {
    const world = await serving();
    for (const engine of [...world.engines.values()].slice(0, 4)) engine.up = false;
    await world.advance(20_000);
    const totals = world.daemons.map(({ control }) => control.status() as never as Status);
    const downtime = totals.map(({ totals: one }) => one.downtimeSeconds.m ?? 0);
    const stranded = totals.map(({ totals: one }) => one.strandedAcceleratorSeconds.m ?? 0);
    expect(Math.max(...downtime)).toBeGreaterThan(15);
    expect(Math.max(...stranded)).toBeGreaterThan(15 * 4 * 8);
    // Only the holder counts, so that the daemons' totals may be summed.
    expect(downtime.filter((seconds) => seconds > 0)).toHaveLength(1);
  });

  it('expects a group that forms', async () => {
    const world = createWorld();
    for (const n of [1, 2, 3, 4]) world.addEngine(`e${n}`, 'd1');
    const { control } = await world.addDaemon('a');
    world.config.next(configOf(modelSpec('m')));
    expect(control.expectedAt('m' as never)).toBeUndefined();
    await world.advance(3_000);
    expect(control.expectedAt('m' as never)).toBeDefined();
  });
});

interface Status {
  readonly totals: {
    readonly downtimeSeconds: Record<string, number>;
    readonly strandedAcceleratorSeconds: Record<string, number>;
  };
}

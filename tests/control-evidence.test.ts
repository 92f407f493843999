import { describe, expect, it } from 'vitest';

import { configOf, createWorld, modelSpec } from './support/control-world';
import type { World } from './support/control-world';

async function startServing(): Promise<World> {
  const world = createWorld();
  for (const n of [1, 2, 3, 4, 5]) world.addEngine(`e${n}`, 'd1');
  for (const id of ['a1', 'a2', 'a3']) await world.addDaemon(id);
  world.config.next(configOf(modelSpec('m')));
  await world.advance(12_000);
  return world;
}

describe('evidence from a failed request', () => {
  it('makes a group unroutable on this daemon at once, until a fresh probe succeeds', async () => {
    const world = await startServing();
    const [daemon] = world.daemons;
    const [group] = daemon?.control.routable('m' as never) ?? [];
    if (!daemon || !group) throw new Error('no daemon has a routable group');
    const lost: string[] = [];
    daemon.control.lost.subscribe((loss) => lost.push(loss.group));
    const { id, epoch } = group;
    daemon.control.report({ group: id, epoch, kind: 'lost', step: 'send' });
    expect(daemon.control.routable('m' as never)).toEqual([]);
    expect(lost).toEqual([id]);
    await world.settle();
    expect(daemon.control.routable('m' as never)).toEqual([]);
    await world.advance(1_500);
    expect(daemon.control.routable('m' as never)).toHaveLength(1);
  });

  it('keeps the group unroutable while a member does not answer', async () => {
    const world = await startServing();
    const [daemon] = world.daemons;
    const [group] = daemon?.control.routable('m' as never) ?? [];
    if (!daemon || !group) throw new Error('no daemon has a routable group');
    const member = world.engines.get(group.members[2]?.instance ?? '');
    if (member) member.up = false;
    daemon.control.report({ group: group.id, epoch: group.epoch, kind: 'lost', step: 'send' });
    for (let i = 0; i < 20; i++) {
      expect(daemon.control.routable('m' as never)).toEqual([]);
      await world.advance(100);
    }
  });

  it('does not include the refusal of a full group', async () => {
    const world = await startServing();
    const [daemon] = world.daemons;
    const [group] = daemon?.control.routable('m' as never) ?? [];
    if (!daemon || !group) throw new Error('no daemon has a routable group');
    daemon.control.report({ group: group.id, epoch: group.epoch, kind: 'refused', step: 'send' });
    expect(daemon.control.routable('m' as never)).toHaveLength(1);
  });
});

describe('status and estimates of a daemon', () => {
  it('sums downtime and stranded accelerators while a group is broken', async () => {
    const world = await startServing();
    for (const engine of [...world.engines.values()].slice(0, 4)) engine.up = false;
    await world.advance(20_000);
    const totals = world.daemons.map(({ control }) => control.status() as never as Status);
    const downtime = totals.map(({ totals: one }) => one.downtimeSeconds.m ?? 0);
    const stranded = totals.map(({ totals: one }) => one.strandedAcceleratorSeconds.m ?? 0);
    expect(Math.max(...downtime)).toBeGreaterThan(15);
    expect(Math.max(...stranded)).toBeGreaterThan(15 * 4 * 8);
    // Only the holder counts, so that the totals of all daemons can be summed.
    expect(downtime.filter((seconds) => seconds > 0)).toHaveLength(1);
  });

  it('estimates when a forming group will be ready', async () => {
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

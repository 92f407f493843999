import { describe, expect, it } from 'vitest';

import { configOf, createWorld, modelSpec } from './support/control-world';
import type { World } from './support/control-world';

const OUTAGE_MS = 600_000;
/** Planned size of the fleet, and the table's limits for it. */
const DAEMONS_AT_SIZE = 670;
/** 7,500 servers in domains of 30. */
const DOMAINS_AT_SIZE = 250;
const COMMITS_PER_SECOND = 400;
const READS_PER_SECOND = 2_000;

async function startServing(): Promise<World> {
  const world = createWorld();
  for (let n = 1; n <= 6; n++) world.addEngine(`e${n}`, 'd1');
  for (let n = 1; n <= 6; n++) world.addEngine(`f${n}`, 'd2');
  for (const id of ['a1', 'a2', 'a3', 'a4', 'a5', 'a6', 'a7']) await world.addDaemon(id);
  world.config.next(configOf(modelSpec('m', { replicas: 2 })));
  await world.advance(15_000);
  return world;
}

function countRoutable(world: World): readonly number[] {
  return world.daemons.map(({ control }) => control.routable('m' as never).length);
}

describe('ten minutes without the table service', () => {
  it('keep complete groups routable, and make incomplete ones unroutable', async () => {
    const world = await startServing();
    world.table.down = true;
    const routableCounts: number[] = [];
    for (let passed = 0; passed < OUTAGE_MS / 2; passed += 5_000) {
      await world.advance(5_000);
      routableCounts.push(Math.min(...countRoutable(world)));
    }
    expect(Math.min(...routableCounts)).toBe(2);
    const [group] = world.daemons[0]?.control.routable('m' as never) ?? [];
    const victim = world.engines.get(group?.members[2]?.instance ?? '');
    if (!victim) throw new Error('no member');
    victim.up = false;
    await world.advance(3_500);
    for (const { control } of world.daemons) {
      const ids = control.routable('m' as never).map((one) => one.id);
      expect(ids).not.toContain(group?.id);
    }
    await world.advance(OUTAGE_MS / 2);
    expect(Math.max(...countRoutable(world))).toBe(1);
    world.table.down = false;
    await world.advance(25_000);
    expect(Math.min(...countRoutable(world))).toBe(2);
  });

  it('cause no burst of reads or commits on the table, neither during the outage nor after it', async () => {
    const world = await startServing();
    const peak = { reads: 0, commits: 0 };
    world.table.down = true;
    await world.advance(OUTAGE_MS - 30_000);
    for (let second = 0; second < 60; second++) {
      world.table.down = second < 30;
      const { reads, commits } = world.table;
      await world.advance(1_000);
      peak.reads = Math.max(peak.reads, world.table.reads - reads);
      peak.commits = Math.max(peak.commits, world.table.commits - commits);
    }
    const share = world.daemons.length / DAEMONS_AT_SIZE;
    expect(peak.reads).toBeLessThan(READS_PER_SECOND * share);
    // Only the last holders try to commit, whatever the number of daemons.
    expect(peak.commits).toBeLessThanOrEqual((COMMITS_PER_SECOND / DOMAINS_AT_SIZE) * 2);
    process.stdout.write(
      `worst second at the end of the outage and after it: ${JSON.stringify(peak)}\n`,
    );
  });
});

describe('a daemon that starts while the table is down', () => {
  it('learns the groups from its peers and routes to them', async () => {
    const world = await startServing();
    world.table.down = true;
    const daemon = await world.addDaemon('b');
    await world.advance(5_000);
    expect(daemon.control.routable('m' as never)).toHaveLength(2);
  });
});

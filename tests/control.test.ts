import { describe, expect, it } from 'vitest';

import { configOf, createWorld, modelSpec, rowsBelow } from './support/control-world';

describe('control plane with one daemon and no peers', () => {
  it('forms the configured number of groups and makes them routable', async () => {
    const world = createWorld();
    for (const n of [1, 2, 3, 4, 5, 6, 7, 8]) world.addEngine(`e${n}`, 'd1');
    await world.addDaemon('a');
    world.config.next(configOf(modelSpec('m', { replicas: 2 })));
    await world.advance(18_000);
    expect(world.daemons[0]?.control.routable('m' as never)).toHaveLength(2);
    expect(rowsBelow(world.table, 'slot/m/')).toHaveLength(2);
  });
});

/** Stateful fuzzing of the control plane over in-memory ports, against the engines' records. */

import { setImmediate } from 'node:timers/promises';
import fc from 'fast-check';

import { restart } from '../../support/control-engine';
import { createWorld } from '../../support/control-world';
import type { World } from '../../support/control-world';
import { ACTS, commandArbitraries, fullConfig } from './commands';
import { createOracle } from './oracle';
import type { FuzzOptions } from '../options';

export interface GroupsFuzzOptions extends FuzzOptions {
  /** Longest history, in commands. */
  readonly maxCommands?: number;
}

const DAEMONS = 3;
const ENGINES = 6;
const START_MS = 15_000;
/** A lapsed lease, a domain's silence, a drain, a load and the retries of each. */
const RECOVERY_MS = 240_000;

async function start(): Promise<World> {
  const oracle = createOracle();
  const world = createWorld({
    drift: 0.03,
    loadMs: 3_000,
    onStep: (stepped) => {
      oracle.check(stepped);
    },
  });
  for (let i = 0; i < ENGINES; i++) {
    world.addEngine(`e${i}`, 'd1');
    // The second domain's engines obey whoever gives an order.
    world.addEngine(`f${i}`, 'd2', { checksFencing: false });
  }
  for (let i = 0; i < DAEMONS; i++) await world.addDaemon(`d${i}`);
  world.config.next(fullConfig());
  await world.advance(START_MS);
  return world;
}

/** All faults end; what is wanted must then serve again, on every daemon. */
async function recover(world: World): Promise<void> {
  world.flushLate();
  Object.assign(world.table, { down: false, lostAnswers: 0, lateCommits: 0 });
  world.config.next(fullConfig());
  for (const daemon of world.daemons) {
    daemon.running = true;
    Object.assign(daemon, { lateOrders: 0 });
    Object.assign(daemon.cut, { engines: false, table: false, gossip: false });
  }
  for (const engine of [...world.engines.values()]) {
    if (!engine.up) restart(engine, world.now());
    const at = [...world.engines.keys()].indexOf(engine.id);
    if (engine.leaving) await ACTS['replace instance']?.(world, at);
  }
  await world.advance(RECOVERY_MS);
  for (const model of ['m', 'n']) {
    const wanted = fullConfig().models[model]?.replicas;
    for (const { id, control } of world.daemons) {
      const found = control.routable(model as never).length;
      if (found !== wanted) throw new Error(`${id} has ${found} groups of ${model} in the end`);
    }
  }
}

/** Throws with the seed and the shrunk history should a check fail. */
export async function fuzzGroups({
  seed,
  runs,
  maxCommands = 25,
}: GroupsFuzzOptions): Promise<void> {
  const histories = fc.commands(commandArbitraries(), { maxCommands });
  await fc.assert(
    fc.asyncProperty(histories, async (commands) => {
      // All time is injected, so nothing else would let the test runner's own messages through.
      await setImmediate();
      const real = await start();
      await fc.asyncModelRun(() => ({ model: {}, real }), commands);
      await recover(real);
    }),
    { seed, numRuns: runs, endOnFailure: false },
  );
}

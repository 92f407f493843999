/** Stateful fuzzing of the control plane over in-memory ports, checked against engine records. */

import { setImmediate } from 'node:timers/promises';
import fc from 'fast-check';

import { restart } from '../../support/control-engine';
import { createWorld } from '../../support/control-world';
import type { World } from '../../support/control-world';
import { ACTIONS, commandArbitraries, fullConfig } from './commands';
import { createOracle } from './oracle';
import type { FuzzOptions } from '../options';

export interface GroupsFuzzOptions extends FuzzOptions {
  /** Longest history, in commands. */
  readonly maxCommands?: number;
}

const DAEMONS = 3;
const ENGINES = 6;
const START_MS = 15_000;
/** Covers an expired lease, an unresponsive domain, a drain, a load and the retries of each. */
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

/** Ends all faults; every daemon must then route to all configured replicas again. */
async function recover(world: World): Promise<void> {
  world.flushLate();
  Object.assign(world.table, { down: false, lostAnswers: 0, lateCommits: 0 });
  world.config.next(fullConfig());
  for (const daemon of world.daemons) {
    daemon.running = true;
    Object.assign(daemon, { lateOrders: 0 });
    Object.assign(daemon.partitioned, { engines: false, table: false, gossip: false });
  }
  for (const engine of [...world.engines.values()]) {
    if (!engine.up) restart(engine, world.now());
    const pick = [...world.engines.keys()].indexOf(engine.id);
    if (engine.leaving) await ACTIONS['replace instance']?.(world, pick);
  }
  await world.advance(RECOVERY_MS);
  for (const model of ['m', 'n']) {
    const expected = fullConfig().models[model]?.replicas;
    for (const { id, control } of world.daemons) {
      const routable = control.routable(model as never).length;
      if (routable !== expected)
        throw new Error(`${id} routes to ${routable} groups of ${model} after recovery`);
    }
  }
}

/** Runs the fuzzer; throws with the seed and the shrunk command history if a check fails. */
export async function fuzzGroups({
  seed,
  runs,
  maxCommands = 25,
}: GroupsFuzzOptions): Promise<void> {
  const histories = fc.commands(commandArbitraries(), { maxCommands });
  await fc.assert(
    fc.asyncProperty(histories, async (commands) => {
      // Time is injected, so without this the test runner's own messages would not be processed.
      await setImmediate();
      const real = await start();
      await fc.asyncModelRun(() => ({ model: {}, real }), commands);
      await recover(real);
    }),
    { seed, numRuns: runs, endOnFailure: false },
  );
}

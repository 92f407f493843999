/** Commands of the fuzzer: faults and repairs, each followed by some simulated time. */

import fc from 'fast-check';

import { restart } from '../../support/control-engine';
import type { FakeEngine } from '../../support/control-engine';
import { configOf, modelSpec } from '../../support/control-world';
import type { FakeDaemon, World } from '../../support/control-world';

/** Empty: the oracle checks the system itself after every step. */
export type Model = object;
type Step = fc.AsyncCommand<Model, World>;
type Action = (world: World, pick: number) => void | Promise<void>;

export function engineAt(world: World, pick: number): FakeEngine | undefined {
  const all = [...world.engines.values()];
  return all[pick % all.length];
}

function daemonAt(world: World, pick: number): FakeDaemon | undefined {
  return world.daemons[pick % world.daemons.length];
}

function onEngine(change: (engine: FakeEngine, world: World) => void): Action {
  return (world, pick) => {
    const engine = engineAt(world, pick);
    if (engine) change(engine, world);
  };
}

function onDaemon(change: (daemon: FakeDaemon, world: World) => void): Action {
  return (world, pick) => {
    const daemon = daemonAt(world, pick);
    if (daemon) change(daemon, world);
  };
}

function setDomain(world: World, pick: number, up: boolean): void {
  const domain = pick % 2 === 0 ? 'd1' : 'd2';
  for (const entry of world.listed.values()) {
    const engine = world.engines.get(entry.id);
    if (engine && entry.domain === domain) engine.up = up;
  }
}

let replacements = 0;

/** Replaces an instance by a new one in its domain. */
function replaceInstance(engine: FakeEngine, world: World): void {
  const entry = world.listed.get(engine.id);
  if (entry?.domain === undefined) return;
  world.listed.delete(engine.id);
  world.engines.delete(engine.id);
  replacements++;
  world.addEngine(`new${replacements}`, entry.domain, { checksFencing: engine.checksFencing });
}

export const ACTIONS: Readonly<Record<string, Action>> = {
  wait: () => undefined,
  'freeze engine': onEngine((engine) => {
    engine.up = false;
  }),
  'resume engine': onEngine((engine) => {
    engine.up = true;
  }),
  'restart engine': onEngine((engine, world) => {
    restart(engine, world.now());
  }),
  'two engines at once': (world, pick) => {
    for (const engine of [engineAt(world, pick), engineAt(world, pick + 1)]) {
      if (engine) engine.up = false;
    }
  },
  'engine and daemon at once': (world, pick) => {
    const engine = engineAt(world, pick);
    const daemon = daemonAt(world, pick);
    if (engine) engine.up = false;
    if (daemon) daemon.running = false;
  },
  'domain dark': (world, pick) => {
    setDomain(world, pick, false);
  },
  'domain back': (world, pick) => {
    setDomain(world, pick, true);
  },
  leave: onEngine((engine) => {
    engine.leaving = true;
  }),
  'replace instance': onEngine(replaceInstance),
  'freeze daemon': onDaemon((daemon) => {
    daemon.running = false;
  }),
  'resume daemon': onDaemon((daemon) => {
    daemon.running = true;
  }),
  'kill daemon': async (world, pick) => {
    const daemon = daemonAt(world, pick);
    if (daemon) world.kill(daemon);
    replacements++;
    await world.addDaemon(`daemon${replacements}`);
  },
  'partition from engines': onDaemon(({ partitioned: cut }) => {
    cut.engines = true;
  }),
  'partition from table': onDaemon(({ partitioned: cut }) => {
    cut.table = true;
  }),
  'partition from peers': onDaemon(({ partitioned: cut }) => {
    cut.gossip = true;
  }),
  heal: onDaemon(({ partitioned: cut }) => {
    Object.assign(cut, { engines: false, table: false, gossip: false });
  }),
  'table down': ({ table }) => {
    table.down = true;
  },
  'table up': ({ table }) => {
    table.down = false;
  },
  'answers lost': ({ table }, pick) => {
    table.lostAnswers += 1 + (pick % 4);
  },
  'commits late': ({ table }, pick) => {
    table.lateCommits += 1 + (pick % 3);
  },
  'orders late': onDaemon((daemon) => {
    daemon.lateOrders += 3;
  }),
  'late ones arrive': (world) => {
    world.flushLate();
  },
  'fewer replicas': ({ config }) => {
    config.next(configOf(modelSpec('m', { membersPerReplica: 3, replicas: 2 })));
  },
  'all replicas': ({ config }) => {
    config.next(fullConfig());
  },
};

export function fullConfig() {
  return configOf(
    modelSpec('m', {
      membersPerReplica: 3,
      replicas: 3,
      weights: { downtime: 20, stranded: 1 },
    }),
    modelSpec('n', { membersPerReplica: 2, replicas: 1 }),
  );
}

/** Long enough for leases to expire sometimes, short enough to interrupt operations in progress. */
const WAITS_MS = [100, 300, 1_000, 3_000, 12_000] as const;

export function commandArbitraries(): fc.Arbitrary<Step>[] {
  return Object.entries(ACTIONS).map(([name, action]) =>
    fc.tuple(fc.nat({ max: 11 }), fc.constantFrom(...WAITS_MS)).map(([pick, waitMs]) => ({
      check: () => true,
      run: async (_model: Model, world: World) => {
        await action(world, pick);
        await world.advance(waitMs);
      },
      toString: () => `${name} (${pick}), ${waitMs} ms`,
    })),
  );
}

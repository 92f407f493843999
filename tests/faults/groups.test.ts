import { describe, expect, it } from 'vitest';

import { createOracle } from '../fuzz/groups/oracle';
import { restart } from '../support/control-engine';
import type { FakeEngine } from '../support/control-engine';
import { configOf, createWorld, modelSpec } from '../support/control-world';
import type { FakeDaemon, World } from '../support/control-world';

/** The step in progress when the fault starts; `reached` detects it from the log or the engines. */
interface StepCase {
  readonly name: string;
  readonly prepare: (world: World) => void | Promise<void>;
  readonly reached: (world: World) => boolean;
}

interface FaultCase {
  readonly name: string;
  readonly strike: (world: World) => void | Promise<void>;
  readonly end: (world: World) => void;
}

const START_MS = 12_000;
const FAULT_MS = 25_000;
const RECOVERY_MS = 60_000;
const MAX_WAIT_MS = 40_000;

function holder(world: World): FakeDaemon | undefined {
  return world.daemons.find(({ control }) => control.heldDomains().length > 0) ?? world.daemons[0];
}

function member(world: World, rank: number): FakeEngine | undefined {
  return [...world.engines.values()].find((one) => one.rank === rank);
}

function logged(world: World, reason: string): boolean {
  return world.log.some((line) => line.includes(`"reason":"${reason}"`));
}

function start(world: World): void {
  world.config.next(configOf(modelSpec('m')));
}

async function started(world: World): Promise<void> {
  start(world);
  await world.advance(START_MS);
}

async function withLostMember(world: World): Promise<void> {
  await started(world);
  const lost = member(world, 1);
  if (lost) lost.up = false;
}

async function withLeavingMember(world: World): Promise<void> {
  await started(world);
  const rank0 = member(world, 0);
  if (rank0) rank0.inFlight = 1;
  const leaving = member(world, 2);
  if (leaving) leaving.leaving = true;
}

const STEPS: readonly StepCase[] = [
  { name: 'taking the lease', prepare: start, reached: () => true },
  { name: 'forming', prepare: start, reached: ({ log }) => log.some((l) => l.includes('taken')) },
  {
    name: 'ordering joins',
    prepare: start,
    reached: (world) => logged(world, 'form'),
  },
  {
    name: 'loading weights',
    prepare: start,
    reached: ({ engines }) => [...engines.values()].some((one) => one.state === 'loading'),
  },
  { name: 'serving', prepare: started, reached: (world) => logged(world, 'serving') },
  {
    name: 'waiting for a member',
    prepare: withLostMember,
    reached: ({ engines }) => [...engines.values()].some((one) => one.state === 'broken'),
  },
  { name: 'replacing', prepare: withLostMember, reached: (world) => logged(world, 'replace') },
  {
    name: 'draining',
    prepare: withLeavingMember,
    reached: (world) => member(world, 0)?.state === 'draining',
  },
  {
    name: 'dissolving',
    prepare: async (world) => {
      await started(world);
      world.config.next(configOf(modelSpec('m', { replicas: 0 })));
    },
    reached: (world) => logged(world, 'unwanted'),
  },
];

const noop = (): void => undefined;

const FAULTS: readonly FaultCase[] = [
  {
    name: 'holder killed',
    strike: async (world) => {
      const target = holder(world);
      if (target) world.kill(target);
      await world.addDaemon('new');
    },
    end: noop,
  },
  {
    name: 'holder frozen past its lease',
    strike: (world) => {
      Object.assign(holder(world) ?? {}, { running: false });
    },
    end: (world) => {
      for (const daemon of world.daemons) daemon.running = true;
    },
  },
  ...(['table', 'engines', 'gossip'] as const).map((what) => ({
    name: `holder cut off: ${what}`,
    strike: (world: World) => {
      Object.assign(holder(world)?.partitioned ?? {}, { [what]: true });
    },
    end: (world: World) => {
      for (const { partitioned: cut } of world.daemons) cut[what] = false;
    },
  })),
  {
    name: 'table down',
    strike: ({ table }) => {
      table.down = true;
    },
    end: ({ table }) => {
      table.down = false;
    },
  },
  {
    name: 'commit responses lost',
    strike: ({ table }) => {
      table.lostAnswers = 3;
    },
    end: noop,
  },
  {
    name: 'commits delayed',
    strike: ({ table }) => {
      table.lateCommits = 3;
    },
    end: (world) => {
      world.flushLate();
    },
  },
  {
    name: 'orders delayed',
    strike: (world) => {
      Object.assign(holder(world) ?? {}, { lateOrders: 6 });
    },
    end: (world) => {
      world.flushLate();
    },
  },
  ...[0, 3].map((rank) => ({
    name: `member of rank ${rank} dies`,
    strike: (world: World) => {
      Object.assign(member(world, rank) ?? {}, { up: false });
    },
    end: (world: World) => {
      for (const one of world.engines.values()) {
        if (!one.up) restart(one, world.now());
      }
    },
  })),
  {
    name: 'member pauses',
    strike: (world) => {
      Object.assign(member(world, 3) ?? {}, { up: false });
    },
    end: (world) => {
      for (const one of world.engines.values()) one.up = true;
    },
  },
  {
    name: 'all engines of the domain down',
    strike: ({ engines }) => {
      for (const one of engines.values()) one.up = false;
    },
    end: ({ engines }) => {
      for (const one of engines.values()) one.up = true;
    },
  },
  {
    name: 'holder killed and a member dies',
    strike: async (world) => {
      Object.assign(member(world, 2) ?? {}, { up: false });
      const target = holder(world);
      if (target) world.kill(target);
      await world.addDaemon('new');
    },
    end: noop,
  },
  {
    name: 'table down and two members die',
    strike: (world) => {
      world.table.down = true;
      for (const rank of [0, 1]) Object.assign(member(world, rank) ?? {}, { up: false });
    },
    end: ({ table }) => {
      table.down = false;
    },
  },
];

async function createCheckedWorld(checksFencing: boolean): Promise<World> {
  const oracle = createOracle();
  const world = createWorld({
    drift: 0.03,
    onStep: (current) => {
      oracle.check(current);
    },
  });
  for (let n = 1; n <= 7; n++) world.addEngine(`e${n}`, 'd1', { checksFencing });
  for (const id of ['a1', 'a2', 'a3']) await world.addDaemon(id);
  return world;
}

async function until(world: World, reached: (world: World) => boolean): Promise<void> {
  for (let waited = 0; waited < MAX_WAIT_MS && !reached(world); waited += 100) {
    await world.advance(100);
  }
  expect(reached(world)).toBe(true);
}

describe.each(STEPS)('while $name', (step) => {
  describe.each([true, false])('engines that check fencing numbers: %s', (checksFencing) => {
    it.each(FAULTS)(
      '$name: violates no invariant, and the model is served after recovery',
      async (fault) => {
        const world = await createCheckedWorld(checksFencing);
        await step.prepare(world);
        await until(world, step.reached);
        await fault.strike(world);
        await world.advance(FAULT_MS);
        fault.end(world);
        for (const one of world.engines.values()) one.inFlight = 0;
        start(world);
        await world.advance(RECOVERY_MS);
        for (const { control } of world.daemons) {
          expect(control.routable('m' as never)).toHaveLength(1);
        }
      },
    );
  });
});

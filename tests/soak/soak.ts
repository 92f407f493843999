/** One soak: real daemons under load and a seeded schedule of faults, judged from outside. */

import { createRandom } from '../../src/adapters/runtime';
import { pause } from '../../src/utils/pause';
import { SMALL, LARGE } from '../gateway/support';
import { callDaemon } from '../support/gateway-daemon';
import { startCallers } from './callers';
import { FAULTS, planEntryFaults, planFaults } from './faults';
import type { PlannedFault } from './faults';
import { judge, tally } from './judge';
import { FORMER_KEY, KEY, startWorld } from './world';
import type { SoakDaemon, World } from './world';

export interface SoakOptions {
  readonly seed: number;
  readonly daemons?: number;
  readonly callersPerDaemon?: number;
  readonly faults?: number;
  /** Faults of servers' entries beside them: restarts under the same name, spoiled rows. */
  readonly entryFaults?: number;
  readonly durationMs?: number;
  readonly firstPort?: number;
  /** Directory for the daemons' logs. */
  readonly logs?: string;
}

export interface SoakReport {
  readonly seed: number;
  readonly plan: readonly PlannedFault[];
  readonly counts: Readonly<Record<string, number>>;
  readonly faults: readonly string[];
}

/** Once no fault is left, all is served again within this: a head that must break, and a load of weights. */
const RECOVERY_MS = 40_000;
const LOOK_MS = 100;
/** Requests on their way when the load ends have run by then, if ever. */
const SETTLE_MS = 500;

async function carryOut(world: World, plan: readonly PlannedFault[], seed: number): Promise<void> {
  const random = createRandom(seed + 1);
  const startedAt = performance.now();
  const ends: Promise<void>[] = [];
  for (const { name, at, forMs } of plan) {
    await pause(Math.max(0, at - (performance.now() - startedAt)));
    const end = FAULTS[name]?.({ world, random });
    if (end) ends.push(pause(forMs).then(end));
  }
  await Promise.all(ends);
}

let lastProbe = 0;

async function statusOf(
  daemon: SoakDaemon,
  path: string,
  { key = KEY, model = SMALL } = {},
): Promise<number> {
  const requestId = `probe-${lastProbe++}`;
  const options = { requestId, key, model, body: 'events=2', waitMs: 3_000 };
  return callDaemon(daemon.front, `/${path}/probe`, options).then(
    ({ status, isWhole }) => (isWhole ? status : 0),
    () => 0,
  );
}

/** What every daemon must come to answer once the faults are over, by the newest configuration. */
function expectations(world: World, isKeyRemoved: boolean) {
  const newest = world.addedRoutes.at(-1);
  return [
    { path: 'stream', status: 200, model: SMALL },
    { path: 'stream', status: 200, model: LARGE },
    { path: 'safe', status: 200 },
    { path: 'unknown', status: 404 },
    ...(newest === undefined ? [] : [{ path: newest, status: 200 }]),
    ...(isKeyRemoved ? [{ path: 'safe', status: 401, key: FORMER_KEY }] : []),
  ];
}

/** Waits until every daemon answers as it must; names what stays wrong. */
async function awaitRecovery(world: World, isKeyRemoved: boolean): Promise<string[]> {
  const until = performance.now() + RECOVERY_MS;
  const wrong: string[] = [];
  for (const daemon of world.daemons) {
    for (const { path, status, ...asked } of expectations(world, isKeyRemoved)) {
      let found = await statusOf(daemon, path, asked);
      while (found !== status && performance.now() < until) {
        await pause(LOOK_MS);
        found = await statusOf(daemon, path, asked);
      }
      if (found !== status) wrong.push(`${daemon.id} still answers ${found} at /${path}/`);
    }
  }
  return wrong;
}

async function awaitServing(world: World): Promise<void> {
  const { fleet } = world.platform;
  while (fleet.serving(SMALL) === 0 || fleet.serving(LARGE) === 0) await pause(LOOK_MS);
}

export async function soak({
  seed,
  daemons = 3,
  callersPerDaemon = 6,
  faults = 14,
  entryFaults = 0,
  durationMs = 14_000,
  firstPort = 23_000,
  logs,
}: SoakOptions): Promise<SoakReport> {
  const random = createRandom(seed);
  const common = planFaults(random, faults, durationMs);
  const ofEntries = planEntryFaults(createRandom(seed), entryFaults, durationMs);
  const plan = [...common, ...ofEntries].sort((a, b) => a.at - b.at);
  const world = await startWorld({ daemons, firstPort, ...(logs !== undefined && { logs }) });
  try {
    await awaitServing(world);
    const callers = startCallers(world, random, callersPerDaemon);
    await carryOut(world, plan, seed);
    const isKeyRemoved = plan.some(({ name }) => name === 'key-removed');
    const wrong = await awaitRecovery(world, isKeyRemoved);
    await callers.stop();
    await pause(SETTLE_MS);
    return {
      seed,
      plan,
      counts: tally(callers.calls),
      faults: [...wrong, ...judge(world, callers.calls)],
    };
  } finally {
    world.close();
  }
}

/** One soak: real daemons under load and a seeded schedule of faults, judged from outside. */

import { createRandom } from '../../src/adapters/runtime';
import type { Random } from '../../src/ports/runtime';
import { pause } from '../../src/utils/pause';
import { SMALL, LARGE } from '../gateway/support';
import { callDaemon, COMMON_SETTINGS } from '../support/gateway-daemon';
import { startCallers } from './callers';
import { FAULTS, planEntryFaults, planFaults, planReturns, planSilences } from './faults';
import type { PlannedFault } from './faults';
import { judge, tally } from './judge';
import { runStatementRound } from './statements';
import { FORMER_KEY, KEY, startWorld } from './world';
import type { SoakDaemon, World } from './world';

export interface SoakOptions {
  readonly seed: number;
  readonly daemons?: number;
  readonly callersPerDaemon?: number;
  readonly faults?: number;
  /** Faults of servers' entries beside them: restarts under the same name, spoiled rows. */
  readonly entryFaults?: number;
  /** Returns of the store from an older copy among the faults. */
  readonly returns?: number;
  /** Rounds of silences before them, each followed by a change that must be in force in time. */
  readonly silentRounds?: number;
  /** Rounds in which servers name limits, ask for rest or say that they leave, before the faults. */
  readonly statementRounds?: number;
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

async function carryOut(
  world: World,
  plan: readonly PlannedFault[],
  random: Random,
): Promise<void> {
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

const SILENCES_OF_ROUND = 3;
/** Longer than any call to the store may stay out. */
const LONGEST_SILENCE_MS = 6_000;
/** A probe's own way and time. */
const PROBE_SLACK_MS = 250;

/**
 * Silences that end together, and changes in their midst and right at their end: once the time to settle
 * has passed, every daemon serves the newest route.
 */
async function runSilentRound(world: World, random: Random): Promise<string[]> {
  const plan = planSilences(random, SILENCES_OF_ROUND, LONGEST_SILENCE_MS);
  const done = carryOut(world, plan, random);
  await pause(random.next() * LONGEST_SILENCE_MS);
  world.addRoute();
  await done;
  world.addRoute();
  const route = world.addedRoutes.at(-1) ?? '';
  await pause(COMMON_SETTINGS.settleMs + PROBE_SLACK_MS);
  const found = await Promise.all(world.daemons.map((daemon) => statusOf(daemon, route)));
  const names = plan.map(({ name, at, forMs }) => `${name} ${at}+${forMs}`).join();
  return found.flatMap((status, n) =>
    status === 200 ? [] : [`daemon-${n} answers ${status} at the newest route after ${names}`],
  );
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
  returns = 0,
  silentRounds = 0,
  statementRounds = 0,
  durationMs = 14_000,
  firstPort = 23_000,
  logs,
}: SoakOptions): Promise<SoakReport> {
  const random = createRandom(seed);
  const common = planFaults(random, faults, durationMs);
  const ofEntries = planEntryFaults(createRandom(seed), entryFaults, durationMs);
  const ofReturns = planReturns(createRandom(seed + 3), returns, durationMs);
  const plan = [...common, ...ofEntries, ...ofReturns].sort((a, b) => a.at - b.at);
  const world = await startWorld({ daemons, firstPort, ...(logs !== undefined && { logs }) });
  try {
    await awaitServing(world);
    const callers = startCallers(world, random, callersPerDaemon);
    const late: string[] = [];
    const ofSilences = createRandom(seed + 2);
    for (let round = 0; round < silentRounds; round++) {
      late.push(...(await runSilentRound(world, ofSilences)));
    }
    const ofStatements = createRandom(seed + 4);
    for (let round = 0; round < statementRounds; round++) {
      late.push(...(await runStatementRound(world, ofStatements, callers.calls)));
    }
    await carryOut(world, plan, createRandom(seed + 1));
    const isKeyRemoved = plan.some(({ name }) => name === 'key-removed');
    const wrong = await awaitRecovery(world, isKeyRemoved);
    await callers.stop();
    await pause(SETTLE_MS);
    return {
      seed,
      plan,
      counts: tally(callers.calls),
      faults: [...late, ...wrong, ...judge(world, callers.calls)],
    };
  } finally {
    world.close();
  }
}

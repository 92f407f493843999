/** Runs daemon processes under load and a seeded schedule of faults, and checks them from outside. */

import { createRandom } from '../../src/adapters/runtime';
import type { Random } from '../../src/ports/runtime';
import { pause } from '../../src/utils/pause';
import { SMALL, LARGE } from '../gateway/support';
import { callDaemon, COMMON_SETTINGS } from '../support/gateway-daemon';
import { startCallers } from './callers';
import { FAULTS, planCuts, planEntryFaults, planFaults, planReturns, planSilences } from './faults';
import type { PlannedFault } from './faults';
import { judge, summarize, tally } from './judge';
import {
  COMPANION_FAULTS,
  PAUSE_FAULTS,
  planPauses,
  planSoundSilences,
  SILENCE_FAULTS,
} from './pauses';
import { startPipelines } from './pipelines';
import { CUT_FAULTS, planSpoils, SPOIL_FAULTS } from './spoils';
import { runStatementRound } from './statements';
import { FORMER_KEY, KEY, startWorld } from './world';
import { runZoneRound } from './zones';
import type { SoakDaemon, World } from './world';

export interface SoakOptions {
  readonly seed: number;
  readonly daemons?: number;
  readonly callersPerDaemon?: number;
  readonly faults?: number;
  /** Additional faults in the servers' entries: restarts under the same name, invalid rows. */
  readonly entryFaults?: number;
  /** Restores of the store from an older copy, in the same schedule. */
  readonly returns?: number;
  /** Cuts of daemons from all servers, in the same schedule. */
  readonly cuts?: number;
  /** Pauses of servers or of all daemons, in the same schedule. */
  readonly pauses?: number;
  /** Silences of sound servers, in the same schedule. */
  readonly silences?: number;
  /** Spoiled answers, entries and organisations, in the same schedule. */
  readonly spoils?: number;
  /** Answers that are cut in their head or body, in the same schedule. */
  readonly cutAnswers?: number;
  /** Rounds of silent faults before the schedule, each followed by a change that must apply in time. */
  readonly silentRounds?: number;
  /** Rounds before the schedule in which servers send limits, Retry-After or leaving headers. */
  readonly statementRounds?: number;
  /** Rounds before the schedule in which a zone is evacuated and its servers are cold afterwards. */
  readonly zoneRounds?: number;
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
  /** Number of faults by subject. */
  readonly summary: Readonly<Record<string, number>>;
}

/** Recovery time after the last fault: covers detecting a broken head and loading weights. */
const RECOVERY_MS = 40_000;
const POLL_MS = 100;
const FURTHER_CALLERS = 3;
/** Requests in flight when the load ends run within this time, if at all. */
const SETTLE_MS = 500;

const ALL_FAULTS = {
  ...{ ...FAULTS, ...PAUSE_FAULTS, ...SILENCE_FAULTS, ...COMPANION_FAULTS },
  ...{ ...SPOIL_FAULTS, ...CUT_FAULTS },
};

async function runSchedule(
  world: World,
  plan: readonly PlannedFault[],
  random: Random,
): Promise<void> {
  const startedAt = performance.now();
  const ends: Promise<void>[] = [];
  for (const { name, at, forMs } of plan) {
    await pause(Math.max(0, at - (performance.now() - startedAt)));
    const noteEnd = world.incidents.noteFault(name);
    const end = ALL_FAULTS[name]?.({ world, random });
    ends.push(pause(forMs).then(end).then(noteEnd));
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

/** Responses that every daemon must give after the faults, under the newest configuration. */
function expectations(world: World, isKeyRemoved: boolean) {
  const newest = world.addedRoutes.at(-1);
  return [
    { path: 'stream', status: 200, model: SMALL },
    { path: 'stream', status: 200, model: LARGE },
    { path: 'safe', status: 200 },
    { path: 'unknown', status: 404 },
    ...(newest === undefined ? [] : [{ path: newest, status: 200 }]),
    ...world.organisations
      .filter(({ name }) => world.isReadable(name))
      .map(({ key }) => ({ path: 'safe', status: 200, key })),
    ...(isKeyRemoved ? [{ path: 'safe', status: 401, key: FORMER_KEY }] : []),
  ];
}

const SILENCES_PER_ROUND = 3;
/** Exceeds the timeout of every store call. */
const MAX_SILENCE_MS = 6_000;
/** Allowance for the probe itself. */
const PROBE_SLACK_MS = 250;

/**
 * Runs overlapping silent faults, with a configuration change during them and one right after the last.
 * Every daemon must serve the newest route after the settling time.
 */
async function runSilentRound(world: World, random: Random): Promise<string[]> {
  const plan = planSilences(random, SILENCES_PER_ROUND, MAX_SILENCE_MS);
  const done = runSchedule(world, plan, random);
  await pause(random.next() * MAX_SILENCE_MS);
  world.addRoute();
  await done;
  world.addRoute();
  const route = world.addedRoutes.at(-1) ?? '';
  await pause(COMMON_SETTINGS.settleMs + PROBE_SLACK_MS);
  const found = await Promise.all(world.daemons.map((daemon) => statusOf(daemon, route)));
  const names = plan.map(({ name, at, forMs }) => `${name} ${at}+${forMs}`).join();
  return found.flatMap((status, n) =>
    status === 200 ? [] : [`daemon-${n} returns ${status} for the newest route after ${names}`],
  );
}

/** Waits for the expected responses of every daemon and returns those still unrecovered at the time limit. */
async function awaitRecovery(world: World, isKeyRemoved: boolean): Promise<string[]> {
  const until = performance.now() + RECOVERY_MS;
  const unrecovered: string[] = [];
  for (const daemon of world.daemons) {
    for (const { path, status, ...asked } of expectations(world, isKeyRemoved)) {
      let found = await statusOf(daemon, path, asked);
      while (found !== status && performance.now() < until) {
        await pause(POLL_MS);
        found = await statusOf(daemon, path, asked);
      }
      if (found !== status) unrecovered.push(`${daemon.id} still returns ${found} for /${path}/`);
    }
  }
  return unrecovered;
}

async function awaitServing(world: World): Promise<void> {
  const { fleet } = world.platform;
  while (fleet.serving(SMALL) === 0 || fleet.serving(LARGE) === 0) await pause(POLL_MS);
}

/** Runs one soak; the report lists the violated guarantees in `faults`. */
export async function soak({
  seed,
  daemons = 3,
  callersPerDaemon = 6,
  faults = 14,
  entryFaults = 0,
  returns = 0,
  cuts = 0,
  pauses = 0,
  silences = 0,
  spoils = 0,
  cutAnswers = 0,
  silentRounds = 0,
  statementRounds = 0,
  zoneRounds = 0,
  durationMs = 14_000,
  firstPort = 23_000,
  logs,
}: SoakOptions): Promise<SoakReport> {
  const random = createRandom(seed);
  const common = planFaults(random, faults, durationMs);
  const entryPlan = planEntryFaults(createRandom(seed), entryFaults, durationMs);
  const returnPlan = planReturns(createRandom(seed + 3), returns, durationMs);
  const cutPlan = planCuts(createRandom(seed + 6), cuts, durationMs);
  const pausePlan = planPauses(createRandom(seed + 7), pauses, durationMs);
  const silencePlan = planSoundSilences(createRandom(seed + 8), silences, durationMs);
  const spoiled = { count: spoils, durationMs };
  const spoilPlan = planSpoils(createRandom(seed + 9), SPOIL_FAULTS, spoiled);
  const cut = { count: cutAnswers, durationMs };
  const cutAnswerPlan = planSpoils(createRandom(seed + 12), CUT_FAULTS, cut);
  const plan = [
    ...[...common, ...entryPlan, ...returnPlan, ...cutPlan, ...pausePlan],
    ...[...silencePlan, ...spoilPlan, ...cutAnswerPlan],
  ].sort((a, b) => a.at - b.at);
  const hasZones = zoneRounds > 0;
  const world = await startWorld({
    ...{ daemons, firstPort, hasZones },
    ...(logs !== undefined && { logs }),
  });
  try {
    await awaitServing(world);
    const callers = startCallers(world, random, { perDaemon: callersPerDaemon });
    // The callers of earlier seeds stay as they were.
    const hasFurther = silences + spoils + cutAnswers > 0;
    const further = hasFurther
      ? [
          startCallers(world, createRandom(seed + 10), {
            perDaemon: FURTHER_CALLERS,
            isFurther: true,
          }),
          startPipelines(world, createRandom(seed + 11)),
        ]
      : [];
    const roundFaults: string[] = [];
    const silenceRandom = createRandom(seed + 2);
    for (let round = 0; round < silentRounds; round++) {
      roundFaults.push(...(await runSilentRound(world, silenceRandom)));
    }
    const statementRandom = createRandom(seed + 4);
    for (let round = 0; round < statementRounds; round++) {
      roundFaults.push(...(await runStatementRound(world, statementRandom, callers.calls)));
    }
    const zoneRandom = createRandom(seed + 5);
    for (let round = 0; round < zoneRounds; round++) {
      roundFaults.push(...(await runZoneRound(world, zoneRandom)));
    }
    await runSchedule(world, plan, createRandom(seed + 1));
    const isKeyRemoved = plan.some(({ name }) => name === 'key-removed');
    const unrecovered = await awaitRecovery(world, isKeyRemoved);
    await Promise.all([callers, ...further].map((one) => one.stop()));
    await pause(SETTLE_MS);
    const calls = [callers, ...further].flatMap((one) => one.calls);
    const found = [...roundFaults, ...unrecovered, ...judge(world, calls)];
    return { seed, plan, counts: tally(calls), faults: found, summary: summarize(found) };
  } finally {
    world.close();
  }
}

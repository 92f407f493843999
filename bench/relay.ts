/**
 * Compares the daemon with a minimal relay: separate processes on loopback, with the same backend
 * servers behind both, measured alternately in one run.
 */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import * as z from 'zod';

import { until } from '../tests/support/processes';
import { documentFor, startSystem, submit, untilServing } from '../tests/support/system';
import type { System } from '../tests/support/system';
import { cpuMs, createCaller, runCalls } from './relay-load';
import type { Caller, LoopResult, Target } from './relay-load';
import { quantile, round, summarise } from './statistics';
import type { Summary } from './statistics';

const ROUNDS = 5;
const ENGINES = 4;
const MEMBERS = 1;
const MAX_BATCH = 64;
const STREAM_TOKENS = 400;
const STREAMS = 240;
const STREAM_WIDTH = 48;
const PACED_TOKEN_MS = 10;
const PACED_WIDTH = 160;
const SMALL_CALLS = 2_000;
const SMALL_WIDTH = 32;
const SINGLE_CALLS = 300;
/** Fraction of a round's calls made as warm-up, so that both programs are compiled. */
const WARM_UP_PART = 1;

const readyLine = z.object({ address: z.string() });
const memberStatus = z.looseObject({
  group: z.string().optional(),
  epoch: z.number().optional(),
  rank: z.number().optional(),
});

/** A relay process. */
export interface Relay extends Target {
  readonly pid: number;
}

export interface Setup {
  readonly system: System;
  readonly daemon: Relay;
  readonly bare: Relay;
  readonly direct: Target;
  readonly caller: Caller;
  stop(): Promise<void>;
}

interface Backend {
  readonly address: string;
  readonly group: string;
  readonly epoch: number;
}

async function backendOf(address: string): Promise<Backend | undefined> {
  const res = await fetch(`http://${address}/status`);
  const { group, epoch, rank } = memberStatus.parse(await res.json());
  if (rank !== 0 || group === undefined || epoch === undefined) return undefined;
  return { address, group, epoch };
}

/** The first member of each group, once all groups have formed. */
async function allBackends(system: System): Promise<readonly Backend[] | undefined> {
  const members = system.engines.flatMap((engine) => engine.members);
  const found = await Promise.all(members.map(({ address }) => backendOf(address)));
  const backends = found.filter((backend) => backend !== undefined);
  return backends.length === ENGINES ? backends : undefined;
}

function startBare(backends: readonly Backend[]): Promise<{ relay: Relay; child: ChildProcess }> {
  const child = spawn(process.execPath, ['bench/relay-bare.mjs', JSON.stringify(backends)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  return new Promise((resolve) => {
    createInterface({ input: child.stdout }).once('line', (line) => {
      const { address } = readyLine.parse(JSON.parse(line));
      resolve({ relay: { address, pid: child.pid ?? 0 }, child });
    });
  });
}

function documentWithLimits(system: System): object {
  const document = structuredClone(documentFor(system, ENGINES, MEMBERS)) as {
    templates: { depot: { models: object; classes: object } };
  };
  document.templates.depot.models = { query: { membersPerReplica: MEMBERS, maxBatch: MAX_BATCH } };
  document.templates.depot.classes = {
    pharmacist: { worth: 10, deadlineMs: 5_000, maxInFlight: 1_000 },
  };
  return document;
}

export async function setUp(daemonArgs: readonly string[]): Promise<Setup> {
  const system = await startSystem({
    daemons: 1,
    domains: Array.from({ length: ENGINES }, () => MEMBERS),
    engineArgs: ['--token-ms', '0', '--max-batch', String(MAX_BATCH)],
    daemonArgs: ['--log-level', 'error', ...daemonArgs],
  });
  try {
    return await setUpOn(system);
  } catch (error) {
    await system.stop();
    throw error;
  }
}

async function setUpOn(system: System): Promise<Setup> {
  const [first] = system.daemons;
  if (first === undefined) throw new Error('the system has no daemons');
  await submit(first, documentWithLimits(system));
  await untilServing(system);
  const backends = await until(() => allBackends(system), 'every group serves');
  const [backend] = backends;
  if (backend === undefined) throw new Error('no group has formed');
  const { relay, child } = await startBare(backends);
  const caller = createCaller();
  const headers = {
    'nutmegstack-group': backend.group,
    'nutmegstack-epoch': String(backend.epoch),
    'nutmegstack-attempt': 'direct',
  };
  return {
    system,
    daemon: { address: first.callers, pid: first.process.child.pid ?? 0 },
    bare: relay,
    direct: { address: backend.address, headers },
    caller,
    stop: async () => {
      caller.close();
      child.kill('SIGKILL');
      await first.process.stop();
      await system.stop();
    },
  };
}

/** A distinct body for each call, so that prefix affinity does not route all calls to one server. */
function bodyOf(tokens: number, stream: boolean, n: number): string {
  const messages = [{ role: 'user', content: `${n}: is paracetamol in stock? tokens=${tokens}` }];
  return JSON.stringify({ model: 'query', messages, stream });
}

/** Results of one kind of load, measured through both relays. */
export interface RelayRow {
  readonly measure: string;
  /** Units per second. */
  readonly daemonPerSecond: Summary;
  readonly barePerSecond: Summary;
  /** Daemon's rate divided by the bare relay's, per round. */
  readonly ratio: Summary;
  /** Bare relay's CPU time divided by the daemon's, per round. */
  readonly cpuRatio: Summary;
  /** CPU time per unit, microseconds. */
  readonly daemonUs: Summary;
  readonly bareUs: Summary;
  /** Fraction of a core that the daemon used; near 1, the daemon limited the rate. */
  readonly daemonCore: Summary;
  readonly bareCore: Summary;
}

export interface Sample {
  readonly perSecond: number;
  readonly us: number;
  readonly core: number;
}

export interface Load {
  readonly measure: string;
  readonly tokens: number;
  readonly stream: boolean;
  /** Duration of an engine step, milliseconds; 0 for as fast as possible. */
  readonly tokenMs: number;
  readonly width: number;
  readonly calls: number;
  /** Units per call. */
  readonly units: number;
}

/** Sets the duration of an engine step, milliseconds. */
export async function setTokenMs({ system }: Setup, tokenMs: number): Promise<void> {
  for (const { members } of system.engines) {
    for (const { address } of members) {
      await fetch(`http://${address}/faults`, {
        method: 'POST',
        body: JSON.stringify({ tokenMs }),
      });
    }
  }
}

export async function sample({ caller }: Setup, relay: Relay, load: Load): Promise<Sample> {
  const { tokens, stream, width, calls, units } = load;
  const body = (n: number): string => bodyOf(tokens, stream, n);
  const before = cpuMs(relay.pid);
  const result: LoopResult = await runCalls(caller, relay, body, width, calls);
  const usedMs = cpuMs(relay.pid) - before;
  const total = calls * units;
  return {
    perSecond: (total * 1_000) / result.elapsedMs,
    us: (usedMs * 1_000) / total,
    core: usedMs / result.elapsedMs,
  };
}

async function compare(setup: Setup, load: Load): Promise<RelayRow> {
  await setTokenMs(setup, load.tokenMs);
  const warmUp = { ...load, calls: Math.ceil(load.calls * WARM_UP_PART) };
  await sample(setup, setup.bare, warmUp);
  await sample(setup, setup.daemon, warmUp);
  const bare: Sample[] = [];
  const daemon: Sample[] = [];
  for (let i = 0; i < ROUNDS; i++) {
    bare.push(await sample(setup, setup.bare, load));
    daemon.push(await sample(setup, setup.daemon, load));
  }
  const ratios = daemon.map(({ perSecond }, i) => perSecond / (bare[i]?.perSecond ?? NaN));
  const of = (samples: readonly Sample[], field: keyof Sample, digits: number): Summary =>
    summarise(
      samples.map((each) => each[field]),
      digits,
    );
  return {
    measure: load.measure,
    daemonPerSecond: of(daemon, 'perSecond', 0),
    barePerSecond: of(bare, 'perSecond', 0),
    ratio: summarise(ratios),
    cpuRatio: summarise(daemon.map(({ us }, i) => (bare[i]?.us ?? NaN) / us)),
    daemonUs: of(daemon, 'us', 2),
    bareUs: of(bare, 'us', 2),
    daemonCore: of(daemon, 'core', 2),
    bareCore: of(bare, 'core', 2),
  };
}

/** Latency of sequential single calls, milliseconds. */
export interface LatencyRow {
  readonly measure: string;
  readonly directMs: number;
  readonly bareMs: number;
  readonly daemonMs: number;
  /** Daemon's latency minus direct latency. */
  readonly addedMs: number;
  /** Latency added by the daemon divided by that added by the bare relay. */
  readonly ratio: number;
}

async function compareLatency(setup: Setup): Promise<LatencyRow[]> {
  await setTokenMs(setup, 0);
  const { caller, direct, bare, daemon } = setup;
  const times = { direct: [] as number[], bare: [] as number[], daemon: [] as number[] };
  for (let i = 0; i < SINGLE_CALLS; i++) {
    const body = bodyOf(1, false, i);
    times.direct.push(await caller.call(direct, body));
    times.bare.push(await caller.call(bare, body));
    times.daemon.push(await caller.call(daemon, body));
  }
  const row = (measure: string, part: number): LatencyRow => {
    const directMs = quantile(times.direct, part);
    const bareMs = quantile(times.bare, part);
    const daemonMs = quantile(times.daemon, part);
    return {
      measure,
      directMs: round(directMs, 2),
      bareMs: round(bareMs, 2),
      daemonMs: round(daemonMs, 2),
      addedMs: round(daemonMs - directMs, 2),
      ratio: round((daemonMs - directMs) / (bareMs - directMs), 2),
    };
  };
  return [row('single small call, median', 0.5), row('single small call, 99th percentile', 0.99)];
}

const LOADS: readonly Load[] = [
  {
    measure: 'stream chunks',
    tokens: STREAM_TOKENS,
    stream: true,
    tokenMs: 0,
    width: STREAM_WIDTH,
    calls: STREAMS,
    units: STREAM_TOKENS,
  },
  {
    measure: 'paced stream chunks',
    tokens: STREAM_TOKENS,
    stream: true,
    tokenMs: PACED_TOKEN_MS,
    width: PACED_WIDTH,
    calls: PACED_WIDTH,
    units: STREAM_TOKENS,
  },
  {
    measure: 'small requests',
    tokens: 1,
    stream: false,
    tokenMs: 0,
    width: SMALL_WIDTH,
    calls: SMALL_CALLS,
    units: 1,
  },
];

export interface RelayOptions {
  /** Additional daemon flags. */
  readonly daemonArgs?: readonly string[];
  /** Names of the loads to run; defaults to all loads and single calls. */
  readonly loads?: readonly string[];
}

/** Measures streams, small calls and single calls through a daemon and a bare relay. */
export async function measureRelay(
  opts: RelayOptions = {},
): Promise<readonly (RelayRow | LatencyRow)[]> {
  const { daemonArgs = [], loads } = opts;
  const setup = await setUp(daemonArgs);
  const rows: (RelayRow | LatencyRow)[] = [];
  try {
    for (const load of LOADS) {
      if (loads?.includes(load.measure) ?? true) rows.push(await compare(setup, load));
    }
    if (loads === undefined) rows.push(...(await compareLatency(setup)));
    return rows;
  } finally {
    await setup.stop();
  }
}

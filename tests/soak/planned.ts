/** A soak of planned work alone: stops with restarts, SIGHUPs and configurations, with no fault beside them. */

import { createRandom } from '../../src/adapters/runtime';
import type { Random } from '../../src/ports/runtime';
import { pause } from '../../src/utils/pause';
import { LARGE, SMALL } from '../gateway/support';
import { askReady, startBalancer } from './balancer';
import { startPlannedCallers } from './planned-callers';
import type { Load } from './planned-callers';
import { judgePlanned } from './planned-judge';
import type { Act, PlannedVerdict } from './planned-judge';
import { startWorld } from './world';
import type { SoakDaemon, World } from './world';

export interface PlannedOptions {
  readonly seed: number;
  readonly daemons?: number;
  /** Callers of each type in each zone. */
  readonly callers?: number;
  readonly durationMs?: number;
  readonly firstPort?: number;
  /** Directory for the daemons' logs. */
  readonly logs?: string;
  /** Bundle of the daemon; that of this work tree by default. */
  readonly program?: string;
}

export interface PlannedReport extends PlannedVerdict {
  readonly seed: number;
  readonly profile: string;
  readonly program: string;
  readonly acts: Readonly<Record<string, number>>;
}

interface Profile extends Omit<Load, 'perType'> {
  readonly name: string;
  /** Added to each way between daemons and plain servers. */
  readonly plainDelayMs: number;
  /** Whether the daemons run for a part of the time only. */
  readonly isSlowed: boolean;
}

const KINDS = ['stream', 'once', 'safe', 'unsafe', 'unsafe'] as const;
const SHORT = { kinds: KINDS, events: [1, 30], plainDelayMs: 60, restMs: 250 } as const;
const LONG = { kinds: KINDS, events: [80, 240], plainDelayMs: 700, restMs: 250 } as const;
const SHORT_PROFILE: Profile = { name: 'short', ...SHORT, isInParts: false, isSlowed: false };
const PROFILES: readonly Profile[] = [
  SHORT_PROFILE,
  { name: 'in parts', ...SHORT, isInParts: true, isSlowed: false },
  { name: 'long', ...LONG, isInParts: false, isSlowed: false },
  { name: 'slowed', ...SHORT, isInParts: false, isSlowed: true },
  { name: 'long, slowed, in parts', ...LONG, isInParts: true, isSlowed: true },
];

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Zones of the daemons: three, three and one of seven. */
const zoneOf = (n: number): string => ZONES[Math.floor(n / 3) % ZONES.length] ?? '';
const MANY_ROUTES = 2_000;
const SETTLE_MS = 500;
/** Readiness of all daemons and balancing before the first act. */
const WARM_UP_MS = 1_500;

type Perform = (acts: ActsContext) => Promise<void>;

interface ActsContext {
  readonly world: World;
  readonly random: Random;
  readonly note: (name: string, daemon?: SoakDaemon) => void;
}

const upTo = (random: Random, ms: number): Promise<void> => pause(random.next() * ms);

function stop({ world, note }: ActsContext, daemon: SoakDaemon): void {
  // A daemon that is stopping is told once.
  if (daemon.meantEnd !== undefined || daemon.process.exitCode !== null) return;
  note('stop', daemon);
  world.stop(daemon);
}

/** A process that has just started and has no handler for SIGHUP yet is ended by it, see KNOWN-RED.txt. */
async function reload({ note }: ActsContext, daemon: SoakDaemon): Promise<void> {
  const { process: child } = daemon;
  if (daemon.meantEnd === undefined && (await askReady(daemon)) === 'silent') return;
  if (daemon.process !== child || child.exitCode !== null || child.signalCode !== null) return;
  note('reload', daemon);
  child.kill('SIGHUP');
}

const pickOf = ({ world: { daemons }, random }: ActsContext): SoakDaemon[] =>
  daemons.filter(() => random.next() < 0.4);

const STOPS: readonly Perform[] = [
  async (ctx) => {
    const gapMs = ctx.random.next() * 1_500;
    for (const daemon of ctx.world.daemons) {
      stop(ctx, daemon);
      await pause(gapMs);
    }
  },
  (ctx) => {
    for (const daemon of ctx.world.daemons) stop(ctx, daemon);
    return Promise.resolve();
  },
  async (ctx) => {
    for (const daemon of pickOf(ctx)) {
      stop(ctx, daemon);
      await upTo(ctx.random, 200);
    }
  },
  async (ctx) => {
    for (const daemon of pickOf(ctx)) {
      stop(ctx, daemon);
      await upTo(ctx.random, 300);
      await reload(ctx, daemon);
    }
  },
];

const CHANGES: readonly Perform[] = [
  async (ctx) => {
    for (const daemon of pickOf(ctx)) await reload(ctx, daemon);
  },
  async (ctx) => {
    for (let n = 0; n < 5; n++) {
      ctx.note('configure');
      ctx.world.addRoute();
      await upTo(ctx.random, 400);
    }
  },
  (ctx) => {
    ctx.note('configure many');
    ctx.world.addManyRoutes(MANY_ROUTES);
    return Promise.resolve();
  },
];

/** Performs one act after another at random intervals; series of acts overlap. */
async function perform(
  ctx: ActsContext,
  acts: readonly Perform[],
  { meanMs, until }: { readonly meanMs: number; readonly until: number },
): Promise<void> {
  const running: Promise<void>[] = [];
  while (performance.now() < until) {
    const act = acts[Math.floor(ctx.random.next() * acts.length)];
    if (act) running.push(act(ctx));
    await upTo(ctx.random, 2 * meanMs);
  }
  await Promise.all(running);
}

const SLICE_MS = 100;

/** Lets each daemon run for 30 to 60 % of the time, as on shared cores, until the returned function is called. */
function slowDown({ daemons }: World, random: Random): () => void {
  let isOver = false;
  const signal = ({ process: child }: SoakDaemon, name: 'SIGSTOP' | 'SIGCONT'): void => {
    if (child.exitCode === null && child.signalCode === null) child.kill(name);
  };
  const slow = async (daemon: SoakDaemon): Promise<void> => {
    while (!isOver) {
      const ranMs = SLICE_MS * (0.3 + 0.3 * random.next());
      signal(daemon, 'SIGSTOP');
      await pause(SLICE_MS - ranMs);
      signal(daemon, 'SIGCONT');
      await pause(ranMs);
    }
  };
  for (const daemon of daemons) void slow(daemon);
  return () => {
    isOver = true;
  };
}

function tally(acts: readonly Act[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { name } of acts) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}

/** Runs planned work beside callers; the report lists every request that was lost, by clause of the rule. */
export async function soakPlanned({
  seed,
  daemons = 7,
  callers = 6,
  durationMs = 30_000,
  firstPort = 23_000,
  logs,
  program = 'dist/gateway.cjs',
}: PlannedOptions): Promise<PlannedReport> {
  const profile = PROFILES[seed % PROFILES.length] ?? SHORT_PROFILE;
  const random = createRandom(seed);
  const world = await startWorld({
    ...{ daemons, firstPort, program, spreadOver: zoneOf, isCuttable: false },
    restartMs: () => 300 + 1_000 * random.next(),
    ...(logs !== undefined && { logs }),
  });
  const zones = [...new Set(world.daemons.map((_, n) => zoneOf(n)))];
  const balancer = startBalancer(world.daemons, zoneOf);
  const acts: Act[] = [];
  const note = (name: string, daemon?: SoakDaemon): void => {
    acts.push({ name, at: performance.now(), ...(daemon && { daemon: daemon.id }) });
  };
  try {
    const { fleet } = world.platform;
    while (fleet.serving(SMALL) === 0 || fleet.serving(LARGE) === 0) await pause(100);
    const { plainServers } = world.platform;
    for (const proxy of world.servers.values()) {
      const isPlain = world.namesBehind([proxy]).some((name) => plainServers.includes(name));
      if (isPlain) proxy.disturb({ silent: [], delayMs: profile.plainDelayMs });
    }
    const load = { ...profile, perType: callers };
    const running = startPlannedCallers(balancer, createRandom(seed + 1), { zones, load });
    await pause(WARM_UP_MS);
    const speedUp = profile.isSlowed ? slowDown(world, createRandom(seed + 2)) : undefined;
    const until = performance.now() + durationMs;
    const ctx = { world, note };
    await Promise.all([
      perform({ ...ctx, random: createRandom(seed + 3) }, STOPS, { meanMs: 5_000, until }),
      perform({ ...ctx, random: createRandom(seed + 4) }, CHANGES, { meanMs: 1_500, until }),
    ]);
    await running.stop();
    speedUp?.();
    await pause(SETTLE_MS);
    const passedOn = new Set(world.platform.statements.arrivals.map(({ requestId }) => requestId));
    const { attempts } = running;
    const verdict = judgePlanned({ attempts, passedOn, acts, ...(logs !== undefined && { logs }) });
    const faults = [...world.unmeantEnds, ...verdict.faults];
    return { seed, profile: profile.name, program, acts: tally(acts), ...verdict, faults };
  } finally {
    balancer.stop();
    world.close();
  }
}

/** The faults that a soak injects, by name. Each begins at once and gives the way to end it. */

import type { Random } from '../../src/ports/runtime';
import { TABLES } from '../../platform/names';
import { SILENT } from './proxy';
import type { LinkFault, Proxy } from './proxy';
import type { SoakDaemon, World } from './world';

export interface FaultContext {
  readonly world: World;
  readonly random: Random;
}

type EndFault = () => void;
type Fault = (ctx: FaultContext) => EndFault;

const NOTHING: EndFault = () => undefined;
/** Longer than the daemons' own time-outs for the store and for connections. */
const LONG_DELAY_MS = 900;
const SHORT_DELAY_MS = 60;
const LONGEST_AWAY_MS = 800;
const OLDEST_COPY_MS = 5_000;

function pick<T>(random: Random, items: readonly T[]): T {
  const found = items[Math.floor(random.next() * items.length)];
  if (found === undefined) throw new Error('nothing to pick from');
  return found;
}

function disturb(proxies: readonly Proxy[], fault: LinkFault): EndFault {
  for (const proxy of proxies) proxy.disturb(fault);
  return () => {
    for (const proxy of proxies) proxy.disturb(undefined);
  };
}

/** A fault of one link, or of a few links of the same kind. */
function ofLinks(
  choose: (ctx: FaultContext) => readonly Proxy[],
  describeFault: (random: Random) => LinkFault,
): Fault {
  return (ctx) => disturb(choose(ctx), describeFault(ctx.random));
}

function resetOf(choose: (ctx: FaultContext) => readonly Proxy[]): Fault {
  return (ctx) => {
    for (const proxy of choose(ctx)) proxy.reset();
    return NOTHING;
  };
}

const storeLink = ({ world, random }: FaultContext): readonly Proxy[] => [
  pick(random, world.daemons).toStore,
];
const allStoreLinks = ({ world }: FaultContext): readonly Proxy[] =>
  world.daemons.map(({ toStore }) => toStore);
const peerLinks = ({ world, random }: FaultContext): readonly Proxy[] => [
  pick(random, world.daemons).toPeers,
];
const serverLinks = ({ world, random }: FaultContext): readonly Proxy[] => {
  const all = [...world.servers.values()].slice(0, serversInUse(world));
  return [pick(random, all), pick(random, all), pick(random, all)];
};

function serversInUse({ platform }: World): number {
  return platform.fleet.servers.size;
}

const silence = (): LinkFault => SILENT;
const oneWay = (random: Random): LinkFault => ({
  silent: [random.next() < 0.5 ? 'to-target' : 'from-target'],
  delayMs: 0,
});
const delay = (random: Random): LinkFault => ({
  silent: [],
  delayMs: random.next() < 0.5 ? SHORT_DELAY_MS : LONG_DELAY_MS,
});

function kill(daemon: SoakDaemon): void {
  daemon.meantEnd = 'killed';
  daemon.process.kill('SIGKILL');
}

function pauseProcess(daemon: SoakDaemon): EndFault {
  const child = daemon.process;
  child.kill('SIGSTOP');
  return () => {
    child.kill('SIGCONT');
  };
}

/** Takes members of groups down for good; others come in their place. */
function killServers({ world, random }: FaultContext, count: number): EndFault {
  const alive = [...world.platform.fleet.servers.values()].filter(
    ({ isAlive, joined }) => isAlive && joined !== undefined,
  );
  const killed = Array.from({ length: Math.min(count, alive.length) }, () => pick(random, alive));
  for (const { id } of killed) world.platform.fleet.kill(id);
  return () => {
    for (const { domain } of new Set(killed)) void world.platform.addEngine(domain);
  };
}

const COMMON_FAULTS: Readonly<Record<string, Fault>> = {
  'store-link-silent': ofLinks(storeLink, silence),
  'store-link-one-way': ofLinks(storeLink, oneWay),
  'store-link-slow': ofLinks(storeLink, delay),
  'store-link-reset': resetOf(storeLink),
  'store-silent': ofLinks(allStoreLinks, silence),
  'store-slow': ofLinks(allStoreLinks, delay),
  'store-resets': resetOf(allStoreLinks),
  'store-down': ({ world }) => {
    world.platform.store.faults.isDown = true;
    return () => (world.platform.store.faults.isDown = false);
  },
  'store-loses-answers': ({ world }) => {
    world.platform.store.faults.losesAnswers = true;
    return () => (world.platform.store.faults.losesAnswers = false);
  },
  'store-forgets': ({ world }) => {
    world.platform.store.compact();
    return NOTHING;
  },
  'peer-links-silent': ofLinks(peerLinks, silence),
  'peer-links-one-way': ofLinks(peerLinks, oneWay),
  'peer-links-slow': ofLinks(peerLinks, delay),
  'peer-links-reset': resetOf(peerLinks),
  'server-links-silent': ofLinks(serverLinks, silence),
  'server-links-one-way': ofLinks(serverLinks, oneWay),
  'server-links-slow': ofLinks(serverLinks, delay),
  'server-links-reset': resetOf(serverLinks),
  'server-lost': (ctx) => killServers(ctx, 1),
  'servers-lost': (ctx) => killServers(ctx, 4),
  'answers-spoiled': ({ world }) => {
    Object.assign(world.platform.plainFaults, { cutAnswers: 3, failAnswers: 3, refuse: 3 });
    return NOTHING;
  },
  'daemon-killed': ({ world, random }) => {
    kill(pick(random, world.daemons));
    return NOTHING;
  },
  'daemons-killed': ({ world }) => {
    world.daemons.forEach(kill);
    return NOTHING;
  },
  'daemon-paused': ({ world, random }) => pauseProcess(pick(random, world.daemons)),
  'daemon-stopped': ({ world, random }) => {
    const daemon = pick(random, world.daemons);
    daemon.meantEnd ??= 'stopped';
    daemon.process.kill('SIGTERM');
    return NOTHING;
  },
  'daemon-reloaded': ({ world, random }) => {
    pick(random, world.daemons).process.kill('SIGHUP');
    return NOTHING;
  },
  'route-added': ({ world }) => {
    world.addRoute();
    return NOTHING;
  },
  'key-removed': ({ world }) => {
    world.removeKey();
    return NOTHING;
  },
};

/**
 * Faults of the servers' own entries. They are drawn apart from the others, so that the schedules of
 * seeds that once showed a fault stay as they were.
 */
const ENTRY_FAULTS: Readonly<Record<string, Fault>> = {
  'server-restarted': ({ world, random }) => {
    const { fleet } = world.platform;
    const alive = [...fleet.servers.values()].filter((server) => server.isAlive);
    fleet.restart(pick(random, alive).id);
    return NOTHING;
  },
  'entry-spoiled': ({ world, random }) => {
    const { fleet, store } = world.platform;
    const { name } = pick(random, [...fleet.servers.values()]);
    store.put(TABLES.servers, name, { state: 'unheard-of', address: random.next() });
    return NOTHING;
  },
  'entry-of-stranger': ({ world }) => {
    const row = { service: 'nobody', state: 'ready', address: 'nowhere', zone: 1 };
    world.platform.store.put(TABLES.servers, 'stranger', row);
    return NOTHING;
  },
};

function muteOf(choose: (ctx: FaultContext) => readonly Proxy[]): Fault {
  return (ctx) => {
    for (const proxy of choose(ctx)) proxy.mute();
    return NOTHING;
  };
}

const allPeerLinks = ({ world }: FaultContext): readonly Proxy[] =>
  world.daemons.map(({ toPeers }) => toPeers);

/** What hides the operator's changes from daemons without an error. They are drawn apart as well. */
export const SILENCES: Readonly<Record<string, Fault>> = {
  'store-silent': ofLinks(allStoreLinks, silence),
  'store-link-silent': ofLinks(storeLink, silence),
  'store-one-way': ofLinks(allStoreLinks, oneWay),
  'store-connections-muted': muteOf(allStoreLinks),
  'store-connection-muted': muteOf(storeLink),
  'peer-connections-muted': muteOf(allPeerLinks),
  'peer-links-silent': ofLinks(allPeerLinks, silence),
  'daemon-paused': ({ world, random }) => pauseProcess(pick(random, world.daemons)),
};

/** Returns of the store from an older copy. They are drawn apart as well. */
const RETURN_FAULTS: Readonly<Record<string, Fault>> = {
  'store-returns': ({ world, random }) => {
    const awayMs = random.next() * LONGEST_AWAY_MS;
    const copyAgeMs = random.next() * OLDEST_COPY_MS;
    void world.platform.returnStore({ awayMs, copyAgeMs });
    return NOTHING;
  },
};

export const FAULTS: Readonly<Record<string, Fault>> = {
  ...COMMON_FAULTS,
  ...ENTRY_FAULTS,
  ...RETURN_FAULTS,
  ...SILENCES,
};

/** One fault of a schedule; times are milliseconds from the start of the load. */
export interface PlannedFault {
  readonly name: string;
  readonly at: number;
  readonly forMs: number;
}

const SHORTEST_MS = 300;
const LONGEST_MS = 4_000;

function drawFaults(
  random: Random,
  names: readonly string[],
  count: number,
  durationMs: number,
): PlannedFault[] {
  const plan = Array.from({ length: count }, () => ({
    name: pick(random, names),
    at: Math.round(random.next() * durationMs),
    forMs: Math.round(SHORTEST_MS + random.next() * (LONGEST_MS - SHORTEST_MS)),
  }));
  return plan.sort((a, b) => a.at - b.at);
}

/** A schedule of overlapping faults. */
export function planFaults(random: Random, count: number, durationMs: number): PlannedFault[] {
  return drawFaults(random, Object.keys(COMMON_FAULTS), count, durationMs);
}

/** Silences that overlap, all over by `longestMs`. */
export function planSilences(random: Random, count: number, longestMs: number): PlannedFault[] {
  return drawFaults(random, Object.keys(SILENCES), count, longestMs / 2).map((fault) => ({
    ...fault,
    forMs: Math.min(fault.forMs, longestMs - fault.at),
  }));
}

/** Faults of the servers' entries that fall between those of a schedule. */
export function planEntryFaults(random: Random, count: number, durationMs: number): PlannedFault[] {
  return drawFaults(random, Object.keys(ENTRY_FAULTS), count, durationMs);
}

/** Returns of the store that fall between the faults of a schedule. */
export function planReturns(random: Random, count: number, durationMs: number): PlannedFault[] {
  return drawFaults(random, Object.keys(RETURN_FAULTS), count, durationMs);
}

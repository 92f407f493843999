/** The system under test: the platform stand-in, daemon processes, and a proxy on every link between them. */

import type { ChildProcess } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import * as z from 'zod';

import { TABLES } from '../../platform/names';
import {
  describeConfig,
  describeRoute,
  DEFAULT_ROUTES,
} from '../../stand-ins/users-platform/document';
import { LLM_SERVICE, PLAIN_SERVICE, startPlatform } from '../../stand-ins/users-platform/start';
import type { PlatformStandIn } from '../../stand-ins/users-platform/start';
import type { InstanceId, ServerName } from '../../src/core/ids';
import { ENGINE } from '../gateway/support';
import { cutOff, launchDaemon } from '../support/gateway-daemon';
import type { CutKind, ServerPorts } from '../support/gateway-daemon';
import { startProxy } from './proxy';
import type { Proxy } from './proxy';
import { createIncidents } from './incidents';
import type { Incidents } from './incidents';
import { COLD_PER_S, COLD_SETTINGS, zoneOf } from './zones';

export const KEY = 'key-of-the-depot';
/** API key that `removeKey` removes from the configuration. */
export const FORMER_KEY = 'former-key-of-the-depot';
const HOST = '127.0.0.1';
/** As it is read from bytes that are no text. */
const UNREADABLE_ADDRESS = '127.0.0\ufffd1:9';
const PORTS_PER_DAEMON = 8;
/** Ports that a world of up to seven daemons takes, from its first one on. */
export const SOAK_PORTS = 400;
const PLAIN_SERVERS = 3;
const DOMAINS = [11, 11];
/** Streams that may not be resumed. */
const ONCE_ROUTE = describeRoute('once', 'streaming', LLM_SERVICE, { maxGapMs: 250 });
/** Maximum number of engine servers added during a run. */
const SPARE_PORTS = 120;
const holderSchema = z.object({ holder: z.string() });
/** Time for a stream's answer, as its caller states it. */
export const CALL_DEADLINE_MS = 5_000;

/** An organisation of the configuration, with one key. */
export interface Organisation {
  readonly name: string;
  readonly key: string;
}

/** How the soak ended a daemon process on purpose. */
export type MeantEnd = 'killed' | 'stopped';

export interface SoakDaemon {
  readonly id: string;
  readonly front: string;
  readonly ready: string;
  /** Proxies of the daemon's store connection and of incoming peer connections. */
  readonly toStore: Proxy;
  readonly toPeers: Proxy;
  process: ChildProcess;
  meantEnd: MeantEnd | undefined;
  /** Notes that the process that was told to stop has ended. */
  noteEnded: (() => void) | undefined;
}

export interface World {
  readonly platform: PlatformStandIn;
  readonly daemons: readonly SoakDaemon[];
  /** Proxies of the servers, by published address. */
  readonly servers: ReadonlyMap<string, Proxy>;
  /** Daemon exits that the soak did not cause. */
  readonly unmeantEnds: readonly string[];
  /** What explains torn answers. */
  readonly incidents: Incidents;
  /** Listen addresses of servers whose entries name an address that cannot be read. */
  readonly unreadable: Set<string>;
  /** Organisations that were added, oldest first. */
  readonly organisations: readonly Organisation[];
  addOrganisation(name: string): void;
  /** Whether a header can hold the organisation's name. */
  isReadable(organisation: string): boolean;
  /** Names of all servers. */
  serverNames(): readonly ServerName[];
  /** Names of the servers behind these proxies. */
  namesBehind(proxies: readonly Proxy[]): readonly ServerName[];
  /** The daemon that holds the lease, as the store has it. */
  leader(): SoakDaemon | undefined;
  /** Tells a daemon to stop, once. */
  stop(daemon: SoakDaemon): void;
  /** Names of the members of the groups that the servers are in, and of the servers. */
  withGroups(ids: readonly InstanceId[]): readonly ServerName[];
  /** Names of the added routes, oldest first. */
  readonly addedRoutes: readonly string[];
  /** Cuts the daemon's current process off from all servers, or ends that. */
  cutOff(daemon: SoakDaemon, kind: CutKind | undefined): void;
  addRoute(): void;
  /** Publishes a version with so many further routes; the next one is without them. */
  addManyRoutes(count: number): void;
  removeKey(): void;
  close(): void;
}

export interface WorldOptions {
  readonly daemons: number;
  readonly firstPort: number;
  /** Directory for the daemons' logs; logs are discarded if undefined. */
  readonly logs?: string;
  /** Spreads the servers over two zones, and bounds the requests to cold servers. */
  readonly hasZones?: boolean;
  /** Zone of the n-th daemon, of the n-th plain server and of the n-th domain. */
  readonly spreadOver?: (n: number) => string;
  /** Bundle of the daemon; that of this work tree by default. */
  readonly program?: string;
  /** Whether daemons may be cut off from servers. */
  readonly isCuttable?: boolean;
  /** Time from the end of a daemon's process to the next one's start, milliseconds. */
  readonly restartMs?: () => number;
}

/** Starts the platform, proxies and daemons, and publishes the first configuration. */
export async function startWorld({
  daemons: count,
  firstPort,
  logs,
  hasZones = false,
  spreadOver,
  program,
  isCuttable = true,
  restartMs,
}: WorldOptions): Promise<World> {
  const dir = mkdtempSync(join(tmpdir(), 'nutmegstack-soak-'));
  const proxies = new Map<string, Proxy>();
  const unmeantEnds: string[] = [];
  const addedRoutes: string[] = [];
  const unreadable = new Set<string>();
  const organisations: Organisation[] = [];
  const incidents = createIncidents(CALL_DEADLINE_MS);
  let keys = [KEY, FORMER_KEY];
  let version = 0;
  let isClosed = false;

  const serverPorts = firstPort + PORTS_PER_DAEMON * count;
  const proxyOffset = SPARE_PORTS + 40;
  /** Servers are published at the address of their proxy, at a fixed port offset. */
  const publishedAddress = (address: string): string => {
    const port = Number(address.split(':')[1]);
    return `${HOST}:${port + proxyOffset}`;
  };
  const platform = await startPlatform({
    host: HOST,
    firstPort: serverPorts,
    engine: ENGINE,
    domains: DOMAINS,
    plainServers: PLAIN_SERVERS,
    publishedAddress: (address) =>
      unreadable.has(address) ? UNREADABLE_ADDRESS : publishedAddress(address),
    ...(hasZones && { zoneOf }),
    ...(spreadOver && { zoneOf: spreadOver }),
  });
  const servers = 1 + PLAIN_SERVERS + DOMAINS.reduce((sum, size) => sum + size, 0) + SPARE_PORTS;
  for (let port = serverPorts + 1; port < serverPorts + servers; port++) {
    const published = publishedAddress(`${HOST}:${port}`);
    proxies.set(published, await startProxy(published, `${HOST}:${port}`));
  }

  const publishedPorts: ServerPorts = {
    firstPort: serverPorts + proxyOffset + 1,
    lastPort: serverPorts + proxyOffset + servers,
  };

  const configure = (manyRoutes: readonly string[] = []): void => {
    version += 1;
    const routes = [
      ...DEFAULT_ROUTES,
      ONCE_ROUTE,
      ...[...addedRoutes, ...manyRoutes].map((name) => describeRoute(name, 'safe', PLAIN_SERVICE)),
    ];
    const added = organisations.map(({ name, key }) => ({ name, apiKeys: [key] }));
    const cold = hasZones ? { coldPerS: COLD_PER_S } : {};
    platform.configure(
      describeConfig({
        ...{ version, routes, engine: ENGINE, ...cold },
        organisations: [{ name: 'depot', apiKeys: keys }, ...added],
      }),
    );
  };

  const portOf = (n: number, role: number): string =>
    `${HOST}:${firstPort + PORTS_PER_DAEMON * n + role}`;
  const seeds = [portOf(0, 3), portOf(1, 3)];

  const start = (daemon: SoakDaemon): void => {
    const n = daemons.indexOf(daemon);
    const log = logs === undefined ? 'ignore' : openSync(join(logs, `${daemon.id}.jsonl`), 'a');
    const child = launchDaemon(
      {
        id: daemon.id,
        dir,
        listen: daemon.front,
        readyListen: daemon.ready,
        peerListen: daemon.toPeers.address,
        forwardListen: portOf(n, 5),
        seeds,
        platform: daemon.toStore.address,
        more: {
          peerBind: portOf(n, 2),
          ...(hasZones && COLD_SETTINGS),
          ...(spreadOver && { zone: spreadOver(n) }),
        },
      },
      log,
      { isCuttable, ...(program !== undefined && { program }) },
    );
    if (typeof log === 'number') closeSync(log);
    daemon.process = child;
    daemon.meantEnd = undefined;
    daemon.noteEnded = undefined;
    child.once('exit', (code, signal) => {
      daemon.noteEnded?.();
      if (signal !== null) incidents.noteExit(daemon.id);
      // SIGTERM kills a process that has not installed its handler yet.
      const isStopped = daemon.meantEnd === 'stopped' && (code === 0 || signal === 'SIGTERM');
      const isExpected = daemon.meantEnd === 'killed' || isStopped || isClosed;
      if (!isExpected) unmeantEnds.push(`${daemon.id} exited unexpectedly with ${code ?? signal}`);
      if (isClosed) return;
      if (!restartMs) start(daemon);
      else
        setTimeout(() => {
          if (!isClosed) start(daemon);
        }, restartMs());
    });
  };

  const daemons: SoakDaemon[] = [];
  for (let n = 0; n < count; n++) {
    daemons.push({
      id: `daemon-${n}`,
      front: portOf(n, 0),
      ready: portOf(n, 1),
      toStore: await startProxy(portOf(n, 4), platform.storeAddress),
      toPeers: await startProxy(portOf(n, 3), portOf(n, 2)),
      // Set by `start` before it is read.
      process: undefined as unknown as ChildProcess,
      meantEnd: undefined,
      noteEnded: undefined,
    });
  }
  daemons.forEach(start);
  configure();

  return {
    platform,
    daemons,
    servers: proxies,
    unmeantEnds,
    incidents,
    withGroups: (ids) =>
      ids.flatMap((id) => {
        const { fleet } = platform;
        const members = fleet.servers.get(id)?.joined?.members ?? [];
        return [id, ...members].flatMap((member) => fleet.servers.get(member)?.name ?? []);
      }),
    addedRoutes,
    unreadable,
    organisations,
    addOrganisation: (name) => {
      organisations.push({ name, key: `key-${organisations.length}` });
      configure();
    },
    isReadable: (name) => Buffer.from(name, 'latin1').toString('latin1') === name,
    serverNames: () => platform.serversOf({}),
    namesBehind: (chosen) => {
      const isChosen = (address: string): boolean =>
        chosen.some((proxy) => proxy === proxies.get(publishedAddress(address)));
      const plain = platform.plainServers.filter((_, n) =>
        isChosen(`${HOST}:${serverPorts + 1 + n}`),
      );
      const engines = [...platform.fleet.servers.values()];
      return [
        ...plain,
        ...engines.filter(({ address }) => isChosen(address)).map(({ name }) => name),
      ];
    },
    leader: () => {
      const leases = platform.store
        .list(TABLES.state)
        .flatMap((row) => holderSchema.safeParse(row).data ?? []);
      return daemons.find(({ id }) => id === leases.at(-1)?.holder);
    },
    stop: (daemon) => {
      daemon.meantEnd ??= 'stopped';
      daemon.noteEnded ??= incidents.noteStop(daemon.id);
      daemon.process.kill('SIGTERM');
    },
    cutOff: ({ process: child }, kind) => {
      if (child.connected) cutOff(child, kind, publishedPorts);
    },
    addRoute: () => {
      addedRoutes.push(`added-${addedRoutes.length}`);
      configure();
    },
    addManyRoutes: (count) => {
      configure(Array.from({ length: count }, (_, n) => `many-${n}`));
    },
    removeKey: () => {
      keys = [KEY];
      configure();
    },
    close: () => {
      isClosed = true;
      for (const { process: child, toStore, toPeers } of daemons) {
        child.kill('SIGKILL');
        toStore.close();
        toPeers.close();
      }
      for (const proxy of proxies.values()) proxy.close();
      platform.close();
      rmSync(dir, { recursive: true });
    },
  };
}

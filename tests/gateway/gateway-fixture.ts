/**
 * Starts daemons with stand-in servers whose response headers a test can set, and sends requests to
 * them.
 */

import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, openSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { HEADERS, PATHS } from '../../platform/names';
import { describeConfig, DEFAULT_ROUTES } from '../../stand-ins/users-platform/document';
import { startPlatform } from '../../stand-ins/users-platform/start';
import type { PlatformStandIn } from '../../stand-ins/users-platform/start';
import type { EngineSpec } from '../../src/core/gateway/types';
import type { ServerName } from '../../src/core/ids';
import { pause } from '../../src/utils/pause';
import { callDaemon, cutOff, launchDaemon } from '../support/gateway-daemon';
import type { CutKind, LinkDelay, Reply } from '../support/gateway-daemon';
import { ENGINE, LARGE, SMALL } from './support';

const HOST = '127.0.0.1';
export const FIXTURE_KEY = 'key-of-the-depot';
const PORTS_PER_DAEMON = 10;
const SERVER_PORTS = 100;
const LOOK_MS = 50;

/** A request with its answer, if there was one. */
export interface SentRequest {
  readonly requestId: string;
  readonly body: string;
  /** Parts of its prompt, as sent; empty for none. */
  readonly parts: string;
  readonly daemon: number;
  readonly sentAt: number;
  readonly reply: Reply | undefined;
  readonly answeredAt: number;
}

export function isServed({ reply }: SentRequest): boolean {
  return reply?.status === 200 && reply.isWhole;
}

/** Share of the requests that got a complete answer. */
export function servedShare(sent: readonly SentRequest[]): number {
  return sent.filter(isServed).length / sent.length;
}

export interface GatewayFixture {
  readonly platform: PlatformStandIn;
  /** Heads of the groups that currently serve the model. */
  heads(model: string): readonly ServerName[];
  /** Kills the n-th daemon and starts it again. */
  restart(n: number): void;
  /** Cuts the n-th daemon off from all servers or delays its links to them, or ends that. */
  cutOff(n: number, cut: CutKind | LinkDelay | undefined): void;
  /** Sends a signal to the n-th daemon, for instance SIGSTOP. */
  signal(n: number, signal: NodeJS.Signals): void;
  /** Address of the n-th daemon for callers. */
  address(n: number): string;
  /** Process id of the n-th daemon. */
  pid(n: number): number;
  /** Whether the n-th daemon answers the balancer's question with 200. */
  isReady(n: number): Promise<boolean>;
  /** Metrics of the n-th daemon, as text. */
  metricsOf(n: number): Promise<string>;
  /**
   * Sends `perS` requests a second to each daemon, round robin, for `ms` milliseconds. `bodyOf` and
   * `partsOf`: body of the n-th request, and the parts of its prompt.
   */
  sendRequests(
    path: string,
    perS: number,
    ms: number,
    bodyOf?: (n: number) => string,
    partsOf?: (n: number) => string,
  ): Promise<readonly SentRequest[]>;
  close(): void;
}

export interface FixtureOptions {
  readonly firstPort: number;
  readonly daemons: number;
  readonly plainServers: number;
  /** Servers of each domain; a domain of 11 has room for one group of each model. */
  readonly domains?: readonly number[];
  /** Zone of the n-th domain, and of the n-th plain server. */
  readonly zoneOf?: (n: number) => string;
  /** The store's address as the n-th daemon knows it, for instance that of a proxy. */
  readonly storeAddressOf?: (n: number, address: string) => string;
  readonly engine?: EngineSpec;
  /** Routes of the configuration. */
  readonly routes?: readonly object[];
  /** Further settings of the daemons. */
  readonly settings?: object;
  /** Requests per second that a cold server tolerates. */
  readonly coldPerS?: number;
  /** Model that the n-th request of the fixture names; the small one by default. */
  readonly modelOf?: (n: number) => string;
  /** Longest wait that each request names. */
  readonly waitMs?: number;
  /** Whether `cutOff` may be called. */
  readonly isCuttable?: boolean;
  /** Folder for the daemons' logs. */
  readonly logs?: string;
}

async function until(check: () => boolean): Promise<void> {
  while (!check()) await pause(LOOK_MS);
}

export async function startFixture({
  firstPort,
  daemons,
  plainServers,
  domains = [11, 11],
  engine = ENGINE,
  routes = DEFAULT_ROUTES,
  zoneOf,
  storeAddressOf = (_, address) => address,
  settings,
  coldPerS,
  modelOf = () => SMALL,
  waitMs = 3_000,
  isCuttable = false,
  logs,
}: FixtureOptions): Promise<GatewayFixture> {
  const dir = mkdtempSync(join(tmpdir(), 'nutmegstack-fixture-'));
  const platform = await startPlatform({
    host: HOST,
    firstPort,
    engine,
    domains,
    plainServers,
    ...(zoneOf && { zoneOf }),
  });
  const portOf = (n: number, role: number): string =>
    `${HOST}:${firstPort + SERVER_PORTS + PORTS_PER_DAEMON * n + role}`;
  const launch = (n: number): ChildProcess => {
    const stdout = logs === undefined ? 'ignore' : openSync(join(logs, `daemon-${n}.log`), 'a');
    const daemon = {
      id: `daemon-${n}`,
      dir,
      listen: portOf(n, 0),
      readyListen: portOf(n, 1),
      peerListen: portOf(n, 2),
      forwardListen: portOf(n, 3),
      seeds: [portOf(0, 2), portOf(1, 2)],
      platform: storeAddressOf(n, platform.storeAddress),
      ...(settings && { more: settings }),
    };
    return launchDaemon(daemon, stdout, { isCuttable });
  };
  const processes = Array.from({ length: daemons }, (_, n) => launch(n));
  const organisations = [{ name: 'depot', apiKeys: [FIXTURE_KEY] }];
  platform.configure(
    describeConfig({
      ...{ version: 1, routes, engine, organisations },
      ...(coldPerS !== undefined && { coldPerS }),
    }),
  );
  const groups = domains.length;
  await until(() => [SMALL, LARGE].every((model) => platform.fleet.serving(model) === groups));

  let lastId = 0;
  const sendOnce = async (
    path: string,
    { daemon, body, parts }: Pick<SentRequest, 'daemon' | 'body' | 'parts'>,
  ): Promise<SentRequest> => {
    const n = lastId++;
    const requestId = `request-${n}`;
    const sentAt = performance.now();
    const headers = parts === '' ? {} : { [HEADERS.promptParts]: parts };
    const options = { requestId, key: FIXTURE_KEY, model: modelOf(n), body, headers, waitMs };
    const reply = await callDaemon(portOf(daemon, 0), path, options).catch(() => undefined);
    return { requestId, body, parts, daemon, sentAt, reply, answeredAt: performance.now() };
  };

  return {
    platform,
    heads: (model) =>
      [...platform.fleet.servers.values()].flatMap(({ id, name, joined }) =>
        joined?.state === 'open' && joined.model === model && joined.members[0] === id
          ? [name]
          : [],
      ),
    restart: (n) => {
      processes[n]?.kill('SIGKILL');
      processes[n] = launch(n);
    },
    cutOff: (n, cut) => {
      const child = processes[n];
      const ports = { firstPort: firstPort + 1, lastPort: firstPort + SERVER_PORTS - 1 };
      if (child) cutOff(child, cut, ports);
    },
    signal: (n, signal) => {
      processes[n]?.kill(signal);
    },
    address: (n) => portOf(n, 0),
    pid: (n) => {
      const pid = processes[n]?.pid;
      if (pid === undefined) throw new Error(`daemon ${n} does not run`);
      return pid;
    },
    isReady: (n) =>
      fetch(`http://${portOf(n, 1)}${PATHS.ready}`).then(
        ({ ok }) => ok,
        () => false,
      ),
    metricsOf: async (n) => (await fetch(`http://${portOf(n, 1)}/metrics`)).text(),
    sendRequests: async (path, perS, ms, bodyOf = () => 'events=3', partsOf = () => '') => {
      const startedAt = performance.now();
      const all: Promise<SentRequest>[] = [];
      for (let n = 0; n < (perS * daemons * ms) / 1_000; n++) {
        await pause(startedAt + (n * 1_000) / (perS * daemons) - performance.now());
        all.push(sendOnce(path, { daemon: n % daemons, body: bodyOf(n), parts: partsOf(n) }));
      }
      return Promise.all(all);
    },
    close: () => {
      for (const child of processes) child.kill('SIGKILL');
      platform.close();
      rmSync(dir, { recursive: true });
    },
  };
}

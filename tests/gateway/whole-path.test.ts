import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { Agent } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import * as z from 'zod';

import {
  describeConfig,
  describeRoute,
  DEFAULT_ROUTES,
} from '../../stand-ins/users-platform/document';
import { PLAIN_SERVICE, startPlatform } from '../../stand-ins/users-platform/start';
import type { PlatformStandIn } from '../../stand-ins/users-platform/start';
import { HEADERS, PATHS, TABLES } from '../../platform/names';
import { brandAs } from '../../src/core/ids';
import type { DomainId, FencingNumber } from '../../src/core/ids';
import { leaseKeys } from '../../src/core/lease/keys';
import { isOfEra } from '../../src/core/store-era';
import type { StoreEra } from '../../src/core/store-era';
import { callDaemon, eventIds, launchDaemon } from '../support/gateway-daemon';
import type { CallOptions, Reply } from '../support/gateway-daemon';
import { ENGINE, LARGE, SMALL } from './support';

const HOST = '127.0.0.1';
const FIRST_PORT = 21_400;
const DAEMON_PORT = 21_500;
const DAEMONS = 3;
const KEY = 'key-of-the-depot';

interface Daemon {
  readonly n: number;
  process: ChildProcess;
  readonly front: string;
}

let platform: PlatformStandIn;
const dir = mkdtempSync(join(tmpdir(), 'nutmegstack-gateway-'));
const daemons: Daemon[] = [];
let lastRequest = 0;

function portOf(n: number, role: number): string {
  return `${HOST}:${DAEMON_PORT + 10 * n + role}`;
}

function launch(n: number): ChildProcess {
  return launchDaemon({
    id: `daemon-${n}`,
    dir,
    listen: portOf(n, 0),
    readyListen: portOf(n, 1),
    peerListen: portOf(n, 2),
    seeds: [portOf(0, 2), portOf(1, 2)],
    platform: platform.storeAddress,
  });
}

function send(
  address: string,
  path: string,
  options: Pick<CallOptions, 'body' | 'headers' | 'agent'> = {},
): Promise<Reply> {
  const requestId = `request-${lastRequest++}`;
  return callDaemon(address, path, { requestId, key: KEY, model: SMALL, ...options });
}

async function until(check: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await check())) await new Promise((resolve) => setTimeout(resolve, 50));
}

const LEASE = brandAs<DomainId>('groups');
const leaseSchema = z.object({ fencing: z.number() });
const era = (value: number): StoreEra => brandAs<StoreEra>(value);

const SET_UP_MS = 55_000;

/**
 * Waits for two groups of each model; throws with the actual state if a daemon exits or time runs
 * out.
 */
async function awaitGroups(): Promise<void> {
  const deadline = performance.now() + SET_UP_MS;
  const isServing = (): boolean =>
    platform.fleet.serving(SMALL) === 2 && platform.fleet.serving(LARGE) === 2;
  const hasEnded = (): boolean => daemons.some(({ process: child }) => child.exitCode !== null);
  await until(() => isServing() || hasEnded() || performance.now() > deadline);
  if (isServing()) return;
  const groups = [...platform.fleet.servers.values()].map(({ id, joined }) => [
    id,
    joined?.group,
    joined?.state,
  ]);
  const ends = daemons.map(({ process: child }) => child.exitCode);
  throw new Error(`no groups: daemons ended with ${ends.join()}, ${JSON.stringify(groups)}`);
}

function documentOf(version: number, routes: readonly object[]): object {
  const organisations = [{ name: 'depot', apiKeys: [KEY] }];
  return describeConfig({ version, routes, engine: ENGINE, organisations });
}

beforeAll(async () => {
  platform = await startPlatform({
    host: HOST,
    firstPort: FIRST_PORT,
    engine: ENGINE,
    domains: [11, 11],
    plainServers: 2,
  });
  for (let n = 0; n < DAEMONS; n++) {
    daemons.push({ n, process: launch(n), front: portOf(n, 0) });
  }
  platform.configure(documentOf(1, DEFAULT_ROUTES));
  await awaitGroups();
});

afterAll(() => {
  for (const { process: child } of daemons) child.kill('SIGKILL');
  platform.close();
  rmSync(dir, { recursive: true });
});

function addressOf(n: number): string {
  return daemons[n % DAEMONS]?.front ?? '';
}

function runsOf(body: string): number {
  return platform.runs.filter((run) => run.body === body).length;
}

describe('daemons as processes on the platform', () => {
  it('forward a complete stream, with the organisation and without the key', async () => {
    const replies = await Promise.all(
      daemons.map(({ front: address }, n) =>
        send(address, '/stream/x', { body: `events=5&n=${n}` }),
      ),
    );
    for (const reply of replies) {
      expect(reply).toMatchObject({ status: 200, isWhole: true });
      expect(eventIds(reply.text)).toEqual([1, 2, 3, 4, 5]);
    }
    for (const run of platform.runs) {
      expect(run).toMatchObject({ organisation: 'depot', hadKey: false });
    }
  });

  it('refuse an unknown key, an unknown route and an oversized body', async () => {
    const unknown = { Authorization: 'Bearer nobody' };
    expect((await send(addressOf(0), '/safe/x', { headers: unknown })).status).toBe(401);
    expect((await send(addressOf(0), '/none/x')).status).toBe(404);
    expect((await send(addressOf(0), '/safe/x', { body: 'x'.repeat(200_000) })).status).toBe(413);
  });

  it('send Retry-After to a caller whose model no group serves', async () => {
    const reply = await send(addressOf(0), '/stream/x', {
      headers: { [HEADERS.model]: 'unserved' },
    });
    expect(reply.status).toBe(503);
    expect(Number(reply.headers['retry-after'])).toBeGreaterThanOrEqual(1);
  });

  it('retry a safe call if its server fails or disconnects, and never an unsafe one', async () => {
    platform.plainFaults.cutAnswers = 1;
    expect(await send(addressOf(1), '/safe/x', { body: 'cut' })).toMatchObject({ status: 200 });
    expect(runsOf('cut')).toBe(2);
    platform.plainFaults.failAnswers = 1;
    expect(await send(addressOf(1), '/safe/x', { body: 'failed' })).toMatchObject({ status: 200 });
    platform.plainFaults.cutAnswers = 1;
    expect((await send(addressOf(1), '/unsafe/x', { body: 'once' })).status).toBe(502);
    expect(runsOf('once')).toBe(1);
    platform.plainFaults.failAnswers = 1;
    expect((await send(addressOf(1), '/unsafe/x', { body: 'own failure' })).status).toBe(500);
  });

  it('guarantee that an unsafe call was not executed if the server says so', async () => {
    platform.plainFaults.refuse = 1;
    const reply = await send(addressOf(2), '/unsafe/x', { body: 'refused' });
    expect(reply.status).toBe(503);
    expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
    expect(runsOf('refused')).toBe(0);
  });

  it('resume a stream within its answer when a member of its group is lost', async () => {
    const reply = send(addressOf(0), '/stream/x', { body: 'events=60&n=resumed' });
    await until(() => runsOf('events=60&n=resumed') === 1);
    const head = platform.runs.find((run) => run.body === 'events=60&n=resumed')?.server;
    const member = head && platform.fleet.named(head)?.joined?.members[1];
    if (member === undefined) throw new Error('the stream is not running in any group');
    platform.fleet.kill(member);
    const { status, text, isWhole } = await reply;
    expect({ status, isWhole }).toEqual({ status: 200, isWhole: true });
    expect(eventIds(text)).toEqual(Array.from({ length: 60 }, (_, i) => i + 1));
    expect(runsOf('events=60&n=resumed')).toBe(2);
    await until(() => platform.fleet.serving(SMALL) === 2);
    expect(platform.fleet.violations).toEqual([]);
  });

  it('resume a stream when a member of its group restarts under its name', async () => {
    const reply = send(addressOf(1), '/stream/x', { body: 'events=60&n=restarted' });
    await until(() => runsOf('events=60&n=restarted') === 1);
    const head = platform.runs.find((run) => run.body === 'events=60&n=restarted')?.server;
    const member = head && platform.fleet.named(head)?.joined?.members[1];
    if (member === undefined) throw new Error('the stream is not running in any group');
    platform.fleet.restart(member);
    const { status, text, isWhole } = await reply;
    expect({ status, isWhole }).toEqual({ status: 200, isWhole: true });
    expect(eventIds(text)).toEqual(Array.from({ length: 60 }, (_, i) => i + 1));
    await until(() => platform.fleet.serving(SMALL) === 2);
    expect(platform.fleet.violations).toEqual([]);
  });

  it('keep serving with malformed entries from another writer', async () => {
    const good = { service: 'ledger', address: '127.0.0.1:9', zone: 'zone-a', batchSize: 6 };
    platform.store.put('servers', 'stranger-1', { ...good, state: 'retired' });
    platform.store.put('servers', 'stranger-2', { ...good, state: 'ready', address: 7 });
    platform.store.put('servers', 'stranger-3', { ...good, state: 'ready', born: '9' });
    platform.store.put('servers', 'stranger-4', []);
    await new Promise((resolve) => setTimeout(resolve, 300));
    for (let i = 0; i < 12; i++) {
      expect((await send(addressOf(i % 3), '/safe/x', { body: `beside-${i}` })).status).toBe(200);
    }
  });

  it('have a new version in force on all daemons, also after a kill', async () => {
    platform.configure(
      documentOf(2, [...DEFAULT_ROUTES, describeRoute('added', 'safe', PLAIN_SERVICE)]),
    );
    const isInForce = async ({ front: address }: Daemon): Promise<boolean> =>
      (await send(address, '/added/x')).status === 200;
    for (const daemon of daemons) await until(() => isInForce(daemon));
    platform.store.faults.isDown = true;
    const killed = daemons[1];
    killed?.process.kill('SIGKILL');
    if (killed) killed.process = launch(1);
    const statuses = new Set<number>();
    await until(async () => {
      const status = await send(addressOf(1), '/added/x').then(
        (reply) => reply.status,
        () => 0,
      );
      statuses.add(status);
      return status === 200;
    });
    // Until a peer has sent the configuration, the new process answers that it has none.
    for (const status of statuses) expect([0, 200, 503]).toContain(status);
    platform.store.faults.isDown = false;
  });

  it('learn the servers from peers when they start while the store is down', async () => {
    platform.store.faults.isDown = true;
    // Ends the polls in progress, so that every daemon notices that the store is down.
    platform.store.put('servers', 'stranger-5', []);
    await new Promise((resolve) => setTimeout(resolve, 300));
    const killed = daemons[0];
    killed?.process.kill('SIGKILL');
    if (killed) killed.process = launch(0);
    await until(async () => {
      const status = await send(addressOf(0), '/safe/x').then(
        (reply) => reply.status,
        () => 0,
      );
      return status === 200;
    });
    platform.store.faults.isDown = false;
  });

  it('send no final denial while their configuration has not been confirmed recently', async () => {
    const ask = async (): Promise<Reply> => send(addressOf(1), '/none/x');
    // The store was down until now, so it must confirm the configuration first.
    await until(async () => (await ask()).status === 404);
    platform.store.faults.isSilent = true;
    let reply = await ask();
    while (reply.status === 404) {
      await new Promise((resolve) => setTimeout(resolve, 50));
      reply = await ask();
    }
    expect(reply.status).toBe(503);
    expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
    platform.store.faults.isSilent = false;
    await until(async () => (await ask()).status === 404);
  });

  it("reload everything once the store's history is no longer available", async () => {
    platform.store.compact();
    platform.configure(
      documentOf(3, [...DEFAULT_ROUTES, describeRoute('later', 'safe', PLAIN_SERVICE)]),
    );
    for (const { front: address } of daemons) {
      await until(async () => (await send(address, '/later/x')).status === 200);
    }
  });

  it('keep serving when the store is restored from an older copy, under a new fencing number', async () => {
    platform.configure(
      documentOf(4, [...DEFAULT_ROUTES, describeRoute('newest', 'safe', PLAIN_SERVICE)]),
    );
    for (const { front: address } of daemons) {
      await until(async () => (await send(address, '/newest/x')).status === 200);
    }
    /** Fencing number of the lease in the store's current era; 0 before it was first acquired. */
    const fencing = (): number => {
      const key = leaseKeys(LEASE, era(platform.store.era())).lease;
      const row = platform.store.get(TABLES.state, key);
      return row === undefined ? 0 : leaseSchema.parse(row).fencing;
    };
    const before = fencing();
    const stream = send(addressOf(0), '/stream/x', { body: 'events=120&n=return' });
    const returned = platform.returnStore({ awayMs: 300, copyAgeMs: 2_500 });
    const statuses = new Set<number>();
    const endAt = performance.now() + 3_000;
    for (let n = 0; performance.now() < endAt; n++) {
      statuses.add((await send(addressOf(n), '/newest/x')).status);
    }
    await returned;
    expect([...statuses]).toEqual([200]);
    expect(eventIds((await stream).text)).toHaveLength(120);
    await until(() => fencing() > before);
    expect(isOfEra(brandAs<FencingNumber>(fencing()), era(platform.store.era()))).toBe(true);
    platform.configure(
      documentOf(5, [...DEFAULT_ROUTES, describeRoute('last', 'safe', PLAIN_SERVICE)]),
    );
    for (const { front: address } of daemons) {
      await until(async () => (await send(address, '/last/x')).status === 200);
    }
    await until(async () => (await send(addressOf(0), '/stream/x', { body: 'events=3' })).isWhole);
  });

  it('stop without aborting a stream, and are not ready meanwhile', async () => {
    const stream = send(addressOf(2), '/stream/x', { body: 'events=100&n=stopping' });
    await until(() => runsOf('events=100&n=stopping') === 1);
    const stopped = daemons[2];
    const exited = new Promise<number | null>((resolve) => {
      stopped?.process.once('exit', resolve);
    });
    stopped?.process.kill('SIGTERM');
    await until(async () => (await send(portOf(2, 1), PATHS.ready)).status === 503);
    const reply = await stream;
    expect(reply).toMatchObject({ status: 200, isWhole: true });
    expect(eventIds(reply.text)).toHaveLength(100);
    expect(await exited).toBe(0);
  });

  /**
   * Guards against aborting requests that arrive during a shutdown. A stream was in progress when
   * the shutdown began; its connection was kept alive afterwards, and the caller's next request on
   * it, seconds later, was aborted at the end.
   */
  it('close connections after their answer once a shutdown has begun, however long it took', async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const order: string[] = [];
    const long = send(addressOf(1), '/stream/x', { body: 'events=280&n=long' }).then(() =>
      order.push('long stream ended'),
    );
    const short = send(addressOf(1), '/stream/x', { body: 'events=150&n=short', agent });
    await until(() => runsOf('events=150&n=short') === 1 && runsOf('events=280&n=long') === 1);
    const [kept] = Object.values(agent.sockets).flatMap((sockets) => sockets ?? []);
    kept?.once('close', () => order.push('connection of the short stream closed'));
    daemons[1]?.process.kill('SIGTERM');
    expect(eventIds((await short).text)).toHaveLength(150);
    await long;
    await until(() => order.length === 2);
    agent.destroy();
    expect(order).toEqual(['connection of the short stream closed', 'long stream ended']);
  });
});

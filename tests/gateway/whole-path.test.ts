import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { LLM_SERVICE, PLAIN_SERVICE, startPlatform } from '../../stand-ins/users-platform/start';
import type { PlatformStandIn } from '../../stand-ins/users-platform/start';
import { HEADERS, PATHS } from '../../platform/names';
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

interface Reply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  /** Whether the answer came to its proper end. */
  readonly isWhole: boolean;
}

let platform: PlatformStandIn;
const dir = mkdtempSync(join(tmpdir(), 'nutmegstack-gateway-'));
const daemons: Daemon[] = [];
let lastRequest = 0;

function portOf(n: number, role: number): string {
  return `${HOST}:${DAEMON_PORT + 10 * n + role}`;
}

function launch(n: number): ChildProcess {
  const path = join(dir, `daemon-${n}.json`);
  const settings = {
    id: `daemon-${n}`,
    zone: 'zone-a',
    listen: portOf(n, 0),
    readyListen: portOf(n, 1),
    peerListen: portOf(n, 2),
    seeds: [portOf(0, 2), portOf(1, 2)],
    platform: platform.storeAddress,
    shutdownS: 8,
    leavingMs: 2_000,
    headBreakMs: 6_000,
    retryRatio: 0.2,
    retryWindowS: 10,
    retrySlack: 132,
    loadWindowS: 5,
  };
  writeFileSync(path, JSON.stringify(settings));
  return spawn(process.execPath, ['dist/gateway.cjs'], {
    env: {
      PATH: process.env.PATH,
      NUTMEGSTACK_CONFIG: path,
      NUTMEGSTACK_PEER_SECRET: 'a secret of this test alone',
    },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

/** Sends a request and reads whatever comes back. */
function send(
  address: string,
  path: string,
  { body = '', headers = {} }: { body?: string; headers?: Record<string, string> } = {},
): Promise<Reply> {
  const requestId = `request-${lastRequest++}`;
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = request({
      host,
      port,
      path,
      method: 'POST',
      agent: new Agent(),
      headers: {
        Host: 'a.example',
        Authorization: `Bearer ${KEY}`,
        [HEADERS.requestId]: requestId,
        [HEADERS.waitMs]: '8000',
        [HEADERS.model]: SMALL,
        [HEADERS.tokenCounts]: '100,18',
        'Content-Length': String(body.length),
        ...headers,
      },
    });
    req.on('error', reject);
    req.on('response', (res) => {
      let text = '';
      res.on('data', (chunk: Buffer) => (text += chunk.toString()));
      res.on('error', () => undefined);
      res.on('close', () => {
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          text,
          isWhole: res.complete,
        });
      });
    });
    req.end(body);
  });
}

function eventIds(text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

async function until(check: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await check())) await new Promise((resolve) => setTimeout(resolve, 50));
}

function route(name: string, kind: string, service: string, more: object = {}): object {
  return {
    name,
    host: 'a.example',
    prefix: `/${name}/`,
    kind,
    timeoutMs: 8_000,
    targetLatencyMs: 400,
    priority: 1,
    service,
    maxAttempts: 2,
    ...more,
  };
}

function documentOf(version: number, routes: object[]): object {
  const { models, ...engine } = ENGINE;
  return {
    version,
    routes,
    services: [
      {
        name: LLM_SERVICE,
        healthPath: '/health',
        maxConns: 100,
        engine: {
          batchSize: engine.batchSize,
          interval: engine.stepsPerPass,
          step_ms: engine.stepMs,
          per_seq_ms: engine.perRequestMs,
          context_per_k: engine.perContextKMs,
          read_per_s: engine.prefillTokensPerMs * 1000,
          loadsPerS: engine.loadsPerS,
          loads_at_once: engine.loadsAtOnce,
          usual: engine.usual,
          models: models.map(({ name, size, share, pace, loadMs, warmMs }) => ({
            name,
            size,
            share,
            pace,
            loadS: loadMs / 1000,
            warmS: warmMs / 1000,
          })),
        },
      },
      { name: PLAIN_SERVICE, healthPath: '/health', maxConns: 100 },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'depot', apiKeys: [KEY], priority: 1 }],
  };
}

const ROUTES = [
  route('stream', 'streaming', LLM_SERVICE, { resumable: true, maxGapMs: 250 }),
  route('safe', 'safe', PLAIN_SERVICE),
  route('unsafe', 'unsafe', PLAIN_SERVICE, { maxAttempts: 1 }),
];

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
  platform.configure(documentOf(1, ROUTES));
  await until(() => platform.fleet.serving(SMALL) === 2 && platform.fleet.serving(LARGE) === 2);
});

afterAll(() => {
  for (const { process: child } of daemons) child.kill('SIGKILL');
  platform.close();
  rmSync(dir, { recursive: true });
});

function front(n: number): string {
  return daemons[n % DAEMONS]?.front ?? '';
}

function runsOf(body: string): number {
  return platform.runs.filter((run) => run.body === body).length;
}

describe('daemons as processes on the platform', () => {
  it('pass a stream on whole, with the organisation and without the key', async () => {
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

  it('refuse an unknown key, an unknown route and a body that is too long', async () => {
    const unknown = { Authorization: 'Bearer nobody' };
    expect((await send(front(0), '/safe/x', { headers: unknown })).status).toBe(401);
    expect((await send(front(0), '/none/x')).status).toBe(404);
    expect((await send(front(0), '/safe/x', { body: 'x'.repeat(200_000) })).status).toBe(413);
  });

  it('send a safe call again where its server fails or breaks off, and an unsafe one never', async () => {
    platform.plainFaults.cutAnswers = 1;
    expect(await send(front(1), '/safe/x', { body: 'cut' })).toMatchObject({ status: 200 });
    expect(runsOf('cut')).toBe(2);
    platform.plainFaults.failAnswers = 1;
    expect(await send(front(1), '/safe/x', { body: 'failed' })).toMatchObject({ status: 200 });
    platform.plainFaults.cutAnswers = 1;
    expect((await send(front(1), '/unsafe/x', { body: 'once' })).status).toBe(502);
    expect(runsOf('once')).toBe(1);
    platform.plainFaults.failAnswers = 1;
    expect((await send(front(1), '/unsafe/x', { body: 'own failure' })).status).toBe(500);
  });

  it('promise that an unsafe call has not run where the server says so', async () => {
    platform.plainFaults.refuse = 1;
    const reply = await send(front(2), '/unsafe/x', { body: 'refused' });
    expect(reply.status).toBe(503);
    expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
    expect(runsOf('refused')).toBe(0);
  });

  it('resume a stream within its answer when a member of its group is lost', async () => {
    const reply = send(front(0), '/stream/x', { body: 'events=60&n=resumed' });
    await until(() => runsOf('events=60&n=resumed') === 1);
    const head = platform.runs.find((run) => run.body === 'events=60&n=resumed')?.server;
    const member = head && platform.fleet.servers.get(head)?.joined?.members[1];
    if (member === undefined) throw new Error('the stream runs in no group');
    platform.fleet.kill(member);
    const { status, text, isWhole } = await reply;
    expect({ status, isWhole }).toEqual({ status: 200, isWhole: true });
    expect(eventIds(text)).toEqual(Array.from({ length: 60 }, (_, i) => i + 1));
    expect(runsOf('events=60&n=resumed')).toBe(2);
    await until(() => platform.fleet.serving(SMALL) === 2);
    expect(platform.fleet.violations).toEqual([]);
  });

  it('have a new version in force on all of them, and still have it after a kill', async () => {
    platform.configure(documentOf(2, [...ROUTES, route('added', 'safe', PLAIN_SERVICE)]));
    const isInForce = async ({ front: address }: Daemon): Promise<boolean> =>
      (await send(address, '/added/x')).status === 200;
    for (const daemon of daemons) await until(() => isInForce(daemon));
    platform.store.faults.isDown = true;
    const killed = daemons[1];
    killed?.process.kill('SIGKILL');
    if (killed) killed.process = launch(1);
    const statuses = new Set<number>();
    await until(async () => {
      const status = await send(front(1), '/added/x').then(
        (reply) => reply.status,
        () => 0,
      );
      statuses.add(status);
      return status === 200;
    });
    // Until a peer has told it, the new process says that it does not know.
    for (const status of statuses) expect([0, 200, 503]).toContain(status);
    platform.store.faults.isDown = false;
  });

  it('load everything anew once the history of the store is gone', async () => {
    platform.store.compact();
    platform.configure(documentOf(3, [...ROUTES, route('later', 'safe', PLAIN_SERVICE)]));
    for (const { front: address } of daemons) {
      await until(async () => (await send(address, '/later/x')).status === 200);
    }
  });

  it('stop without cutting a stream, and are unready meanwhile', async () => {
    const stream = send(front(2), '/stream/x', { body: 'events=100&n=stopping' });
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
});

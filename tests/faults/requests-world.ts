/**
 * Two daemons with one table and one plain service, and a gate at each step of a request. Each
 * daemon has its own ports for the table and the service, so that it can be partitioned alone.
 */

import { build } from 'esbuild';
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createInterface } from 'node:readline';

import type { Transaction } from '../../src/ports/platform';
import { createFakeTable } from '../support/fake-table';
import type { FakeTable } from '../support/fake-table';
import { send } from '../support/requests-client';
import type { ReceivedResponse } from '../support/requests-client';
import { listen } from '../support/requests-fixture';

export const STEPS = ['claim', 'send', 'first-byte', 'last-byte', 'record', 'answer'] as const;
export type Step = (typeof STEPS)[number];

const PROGRAM = 'dist/test-requests-daemon.cjs';
export const DEADLINE_MS = 800;

/** How a held operation continues when it is released from a gate. */
export type Release = 'pass' | 'cut-before' | 'cut-after' | 'late';

/** An operation that waits at a step. */
export interface Held {
  readonly daemon: number;
  readonly step: Step;
  readonly release: (how: Release) => void;
}

interface Ports {
  readonly table: string;
  readonly backend: string;
  readonly servers: readonly Server[];
}

export interface World {
  readonly table: FakeTable;
  /** Attempts that the service ran, by request id, in order. */
  readonly runs: { readonly requestId: string; readonly answer: string }[];
  /** Daemons partitioned from the table and the service. */
  readonly cutOff: Set<number>;
  /** Daemons to which the table returns 503. */
  readonly storeDown: Set<number>;
  /** The step at which the next request of a daemon is held. */
  readonly gates: Map<number, Step>;
  /** Resolves when an operation reaches a gate. */
  nextHeld(): Promise<Held>;
  /** Applies all operations that were released as `late`. */
  landLate(): void;
  readonly ports: readonly Ports[];
  readonly close: () => Promise<void>;
}

async function bodyOf(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

function reply(res: ServerResponse, status: number, value: unknown): void {
  if (res.destroyed) return;
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(value));
}

/** The step to which a transaction belongs. */
function stepOf({ writes }: Transaction): 'claim' | 'record' {
  return JSON.stringify(writes).includes('"state":"claimed"') ? 'claim' : 'record';
}

interface ReadRequest {
  readonly keys: readonly string[];
}

/** Starts the table and the service on the ports of both daemons. */
export async function createWorld(): Promise<World> {
  const table = createFakeTable();
  const { table: rows } = table.client();
  const runs: { requestId: string; answer: string }[] = [];
  const cutOff = new Set<number>();
  const storeDown = new Set<number>();
  const gates = new Map<number, Step>();
  const held: Held[] = [];
  const waiters: ((held: Held) => void)[] = [];
  let late: (() => void)[] = [];

  const enqueue = (each: Held): void => {
    const waiter = waiters.shift();
    if (waiter === undefined) held.push(each);
    else waiter(each);
  };

  /** Waits if this step has a gate; each gate holds only one request. */
  const pass = (daemon: number, step: Step): Promise<Release> => {
    if (gates.get(daemon) !== step) return Promise.resolve('pass');
    gates.delete(daemon);
    return new Promise((release) => {
      enqueue({ daemon, step, release });
    });
  };

  const commit = async (daemon: number, res: ServerResponse, body: string): Promise<void> => {
    const transaction = JSON.parse(body) as Transaction;
    const step = stepOf(transaction);
    const run = async (): Promise<void> => {
      const done = await rows.commit(transaction);
      if (step === 'record' && (await pass(daemon, 'answer')) !== 'pass') res.destroy();
      if (done.isOk()) reply(res, 200, done.value);
      else reply(res, 409, { conflict: done.error.message });
    };
    const how = await pass(daemon, step);
    if (how === 'cut-before') res.destroy();
    else if (how === 'late') {
      late.push(() => void run());
      res.destroy();
    } else {
      if (how === 'cut-after') res.destroy();
      await run();
    }
  };

  const serveTable = async (
    daemon: number,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    const body = await bodyOf(req);
    if (cutOff.has(daemon)) res.destroy();
    else if (storeDown.has(daemon)) reply(res, 503, {});
    else if (req.url === '/table/commit') await commit(daemon, res, body);
    else {
      const found = await rows.read((JSON.parse(body) as ReadRequest).keys);
      reply(res, 200, { rows: found.unwrapOr([]) });
    }
  };

  const execute = (req: IncomingMessage): string => {
    const answer = JSON.stringify({ run: runs.length + 1 });
    runs.push({ requestId: String(req.headers['nutmegstack-request-id']), answer });
    return answer;
  };

  const serveBackend = async (
    daemon: number,
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    await bodyOf(req);
    if (cutOff.has(daemon)) {
      res.destroy();
      return;
    }
    const atSend = await pass(daemon, 'send');
    if (atSend === 'cut-before') res.destroy();
    if (atSend === 'late') {
      late.push(() => void execute(req));
      res.destroy();
    }
    if (atSend !== 'pass' && atSend !== 'cut-after') return;
    const answer = execute(req);
    const atFirst = await pass(daemon, 'first-byte');
    if (atSend === 'cut-after' || atFirst !== 'pass') res.destroy();
    if (res.destroyed) return;
    res.writeHead(200, { 'content-length': answer.length });
    res.write(answer.slice(0, 4));
    if ((await pass(daemon, 'last-byte')) !== 'pass') res.destroy();
    else res.end(answer.slice(4));
  };

  const openPorts = async (daemon: number): Promise<Ports> => {
    const stores = await listen((req, res) => void serveTable(daemon, req, res));
    const services = await listen((req, res) => void serveBackend(daemon, req, res));
    return {
      table: stores.address,
      backend: services.address,
      servers: [stores.server, services.server],
    };
  };

  const ports = [await openPorts(0), await openPorts(1)];
  return {
    table,
    runs,
    cutOff,
    storeDown,
    gates,
    ports,
    nextHeld: () => {
      const first = held.shift();
      if (first !== undefined) return Promise.resolve(first);
      return new Promise((resolve) => waiters.push(resolve));
    },
    landLate: () => {
      late.forEach((run) => {
        run();
      });
      late = [];
    },
    close: async () => {
      for (const server of ports.flatMap((each) => each.servers)) {
        server.closeAllConnections();
        await new Promise((resolve) => server.close(resolve));
      }
    },
  };
}

/** Closes the current connections of a daemon and rejects new ones. */
export function cutOff(world: World, daemon: number): void {
  world.cutOff.add(daemon);
  world.ports[daemon]?.servers.forEach((server) => {
    server.closeAllConnections();
  });
}

/** A daemon that runs as a child process. */
export interface DaemonProcess {
  readonly url: string;
  readonly child: ChildProcess;
}

/** Bundles the program of {@link startDaemon}. */
export async function bundleDaemon(): Promise<void> {
  await build({
    entryPoints: ['tests/faults/requests-daemon.ts'],
    outfile: PROGRAM,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
  });
}

/** Starts the process of a daemon and waits until it listens. */
export async function startDaemon(world: World, daemon: number): Promise<DaemonProcess> {
  const ports = world.ports[daemon];
  const args = [PROGRAM, `d${daemon}`, ports?.table ?? '', ports?.backend ?? ''];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  const [line] = (await once(createInterface({ input: child.stdout }), 'line')) as [string];
  const { address } = JSON.parse(line) as { readonly address: string };
  return { url: `http://${address}`, child };
}

/** The outcome of a request: a response, or `broken` if the connection failed before it. */
export type Told = ReceivedResponse | 'broken';

/** Sends the request under test, always with the same idempotency key. */
export async function reserve({ url }: DaemonProcess, deadlineMs: number): Promise<Told> {
  const headers = {
    'idempotency-key': 'k',
    'nutmegstack-deadline': String(Date.now() + deadlineMs),
  };
  const path = `${url}/services/ledger/reserve`;
  return send(path, { headers, body: '{"n":1}' }).catch(() => 'broken' as const);
}

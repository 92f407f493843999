import { mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { ChildProcess } from 'node:child_process';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';

import { pause } from '../../src/utils/pause';
import { launchDaemon } from '../support/gateway-daemon';

const FIRST_PORT = 29_400;
const START_MS = 3_000;
const LOOK_MS = 5;
/** SIGHUP is signal 1, the lowest bit of the mask. */
const HANGUP_BIT = 1n;
const PORTS_PER_DAEMON = 5;
const STARTS = 8;
const REQUEST = 'GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n';

let dir: string;
let store: Server;
let daemons: ChildProcess[];

beforeEach(async () => {
  daemons = [];
  dir = mkdtempSync(join(tmpdir(), 'nutmegstack-signal-'));
  // Takes connections and never answers, so that the daemon goes on starting.
  store = createServer();
  await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  for (const daemon of daemons) daemon.kill('SIGKILL');
  store.close();
  rmSync(dir, { recursive: true });
});

function portOf(n: number, role: number): number {
  return FIRST_PORT + PORTS_PER_DAEMON * n + role;
}

function logOf(n: number): string {
  return join(dir, `d${n}.log`);
}

function launch(n: number): ChildProcess {
  const addressOf = (role: number): string => `127.0.0.1:${portOf(n, role)}`;
  const options = {
    ...{ id: `d${n}`, dir, seeds: [] },
    ...{ listen: addressOf(0), readyListen: addressOf(1), peerListen: addressOf(2) },
    platform: `127.0.0.1:${(store.address() as AddressInfo).port}`,
  };
  const daemon = launchDaemon(options, openSync(logOf(n), 'w'));
  daemons.push(daemon);
  return daemon;
}

function handlesHangup({ pid }: ChildProcess): boolean {
  const mask = /^SigCgt:\s*(\w+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
  return (BigInt(`0x${mask ?? '0'}`) & HANGUP_BIT) !== 0n;
}

/** Waits until the daemon handles signals. Node handles SIGTERM itself before, so that its bit tells nothing. */
async function untilHandled(daemon: ChildProcess): Promise<void> {
  for (let waited = 0; waited < START_MS && !handlesHangup(daemon); waited += LOOK_MS)
    await pause(LOOK_MS);
  expect(handlesHangup(daemon)).toBe(true);
}

/** Connects; undefined if nothing listens. */
function tryConnect(n: number): Promise<Socket | undefined> {
  return new Promise((resolve) => {
    const socket = connect(portOf(n, 0), '127.0.0.1');
    socket.once('connect', () => {
      resolve(socket);
    });
    socket.once('error', () => {
      resolve(undefined);
    });
  });
}

/** The answer to a request that is sent as soon as the daemon listens, which is then told to stop. */
async function callAndStop(daemon: ChildProcess, n: number): Promise<string> {
  let socket = await tryConnect(n);
  for (let waited = 0; !socket && waited < START_MS; waited += 1) {
    await pause(1);
    socket = await tryConnect(n);
  }
  const received: Buffer[] = [];
  socket?.on('data', (chunk: Buffer) => received.push(chunk));
  const ended = new Promise((resolve) => socket?.once('data', resolve).once('close', resolve));
  socket?.write(REQUEST);
  daemon.kill('SIGTERM');
  await Promise.race([ended, pause(START_MS)]);
  return Buffer.concat(received).toString();
}

// Guards against modules that are loaded first, while a signal still ends the process.
it('signals are handled before anything else of a daemon is loaded', () => {
  const source = readFileSync('platform/main.ts', 'utf8');
  expect(/^import .*$/m.exec(source)?.[0]).toBe("import { exitAtStart } from './early-signals';");
  const bundle = readFileSync('dist/gateway.cjs', 'utf8');
  for (const signal of ['SIGTERM', 'SIGHUP']) {
    const handled = bundle.indexOf(`process.on("${signal}"`);
    expect(handled).toBeGreaterThan(-1);
    expect(bundle.slice(0, handled)).not.toMatch(/require\("node:/);
  }
});

// Guards against a daemon that is told to reload its settings while it starts, and ends.
it('a daemon that waits for the store at its start takes SIGHUP', async () => {
  const daemon = launch(0);
  await untilHandled(daemon);
  for (let n = 0; n < 10; n++) {
    daemon.kill('SIGHUP');
    await pause(LOOK_MS);
  }
  expect({ code: daemon.exitCode, signal: daemon.signalCode }).toEqual({
    code: null,
    signal: null,
  });
});

// Guards against a daemon that accepts requests before a SIGTERM stops it in order, and cuts them.
it('requests that arrive as a daemon begins to listen are answered after a SIGTERM', async () => {
  const answers: string[] = [];
  for (let n = 0; n < STARTS; n++) answers.push(await callAndStop(launch(n), n));
  // In place of a missing answer, the log of its daemon.
  const statusOf = (text: string, n: number): string =>
    /^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? readFileSync(logOf(n), 'utf8');
  expect(answers.map(statusOf)).toEqual(Array.from({ length: STARTS }, () => '503'));
});

// Guards against a daemon that goes on starting, and accepts requests, although it was told to stop before.
it('a daemon that is told to stop before it listens ends at once', async () => {
  const daemon = launch(0);
  const exited = new Promise((resolve) => daemon.once('exit', resolve));
  await untilHandled(daemon);
  expect(await tryConnect(0)).toBeUndefined();
  daemon.kill('SIGTERM');
  expect(await Promise.race([exited, pause(START_MS)])).toBe(0);
});

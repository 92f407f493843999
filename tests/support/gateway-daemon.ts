/** Starts gateway daemons as processes and sends requests to them. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { join } from 'node:path';

import { HEADERS } from '../../platform/names';
import { endWithTest } from './reaper';

/** Settings of one daemon, and where its settings file is written. */
export interface DaemonOptions {
  readonly id: string;
  /** Folder of the settings file. */
  readonly dir: string;
  readonly listen: string;
  readonly readyListen: string;
  readonly peerListen: string;
  /** Where it forwards requests of peers; if absent, it forwards none. */
  readonly forwardListen?: string;
  readonly seeds: readonly string[];
  /** Address of the store. */
  readonly platform: string;
  /** Further settings; they override the others. */
  readonly more?: object;
}

/** How a daemon is cut off from all servers; see `cut-links.mjs`. */
export type CutKind = 'hang' | 'reset' | 'refuse-new';

/** What a daemon receives from servers arrives later by `delayMs`, as on a link that is full. */
export interface LinkDelay {
  readonly kind: 'delay';
  readonly delayMs: number;
}

export interface LaunchOptions {
  /** Whether `cutOff` may be called for the daemon. */
  readonly isCuttable?: boolean;
  /** Whether SIGUSR2 throws in a listener of the daemon, and SIGWINCH rejects a promise. */
  readonly throwsOnSignal?: boolean;
  /** Bundle of the daemon; that of this work tree by default. */
  readonly program?: string;
}

/** The ports of all servers. */
export interface ServerPorts {
  readonly firstPort: number;
  readonly lastPort: number;
}

/** Settings shared by the daemons of the tests. */
export const COMMON_SETTINGS = {
  zone: 'zone-a',
  cpuCores: 1,
  cpuShare: 1,
  shutdownS: 8,
  leavingMs: 2_000,
  configMs: 2_000,
  settleMs: 3_000,
  headBreakMs: 6_000,
  retryRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 132,
  loadWindowS: 5,
};

/** Writes the settings file of a daemon and returns its path. */
export function writeSettings({ dir, more, ...options }: DaemonOptions): string {
  const path = join(dir, `${options.id}.json`);
  writeFileSync(path, JSON.stringify({ ...COMMON_SETTINGS, ...options, ...more }));
  return path;
}

const GATEWAY_PATH = 'dist/gateway.cjs';

/** Starts a daemon; `stdout` is a file descriptor for its log, or `ignore`. */
export function launchDaemon(
  options: DaemonOptions,
  stdout: 'ignore' | number = 'ignore',
  { isCuttable = false, throwsOnSignal = false, program = GATEWAY_PATH }: LaunchOptions = {},
): ChildProcess {
  const preload = [
    ...(isCuttable ? ['--import', './tests/support/cut-links.mjs'] : []),
    ...(throwsOnSignal ? ['--import', './tests/support/throw-on-signal.mjs'] : []),
  ];
  const stderr = typeof stdout === 'number' ? stdout : 'inherit';
  const child = spawn(process.execPath, [...preload, program], {
    env: {
      PATH: process.env.PATH,
      NUTMEGSTACK_CONFIG: writeSettings(options),
      NUTMEGSTACK_PEER_SECRET: 'a secret of this test alone',
    },
    stdio: ['ignore', stdout, stderr, ...(isCuttable ? (['ipc'] as const) : [])],
  });
  return endWithTest(child, program);
}

/** Cuts a daemon off from all servers or delays its links to them, or ends that. */
export function cutOff(
  child: ChildProcess,
  cut: CutKind | LinkDelay | undefined,
  ports: ServerPorts,
): void {
  const fault = typeof cut === 'string' ? { kind: cut } : cut;
  // A process that ends meanwhile needs no message.
  child.send({ ...fault, ...ports }, () => undefined);
}

/** A response, complete or not. */
export interface Reply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  /** Whether the response was received completely. */
  readonly isWhole: boolean;
}

/** Headers and body of a request; `waitMs` is the longest wait sent with it. */
export interface CallOptions {
  readonly requestId: string;
  readonly key: string;
  readonly model: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly agent?: Agent;
  readonly waitMs?: number;
}

/** Sends a request and reads the response until it ends or is interrupted. */
export function callDaemon(
  address: string,
  path: string,
  {
    requestId,
    key,
    model,
    body = '',
    headers = {},
    agent = new Agent(),
    waitMs = 8_000,
  }: CallOptions,
): Promise<Reply> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const req = request({
      host,
      port,
      path,
      method: 'POST',
      agent,
      headers: {
        Host: 'a.example',
        Authorization: `Bearer ${key}`,
        [HEADERS.requestId]: requestId,
        [HEADERS.waitMs]: String(waitMs),
        [HEADERS.model]: model,
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
        const { statusCode: status = 0, headers: received, complete: isWhole } = res;
        resolve({ status, headers: received, text, isWhole });
      });
    });
    req.end(body);
  });
}

/** Returns the event ids of a stream, in order. */
export function eventIds(text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

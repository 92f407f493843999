import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import type { ChildProcess } from 'node:child_process';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, it } from 'vitest';

import { pause } from '../../src/utils/pause';
import { launchDaemon } from '../support/gateway-daemon';

const FIRST_PORT = 29_400;
const START_MS = 3_000;
const LOOK_MS = 20;
/** SIGHUP is signal 1, the lowest bit of the mask. */
const HANGUP_BIT = 1n;

let dir: string;
let store: Server;
let daemon: ChildProcess | undefined;

beforeEach(async () => {
  dir = mkdtempSync(join(tmpdir(), 'nutmegstack-signal-'));
  // Takes connections and never answers, so that the daemon goes on starting.
  store = createServer();
  await new Promise<void>((resolve) => store.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  daemon?.kill('SIGKILL');
  store.close();
  rmSync(dir, { recursive: true });
});

function handlesHangup({ pid }: ChildProcess): boolean {
  const mask = /^SigCgt:\s*(\w+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
  return (BigInt(`0x${mask ?? '0'}`) & HANGUP_BIT) !== 0n;
}

// Guards against modules that are loaded first, while SIGHUP still ends the process.
it('SIGHUP is handled before anything else of a daemon is loaded', () => {
  const source = readFileSync('platform/main.ts', 'utf8');
  expect(/^import .*$/m.exec(source)?.[0]).toBe("import './early-signals';");
  const bundle = readFileSync('dist/gateway.cjs', 'utf8');
  const handled = bundle.indexOf('process.on("SIGHUP"');
  expect(handled).toBeGreaterThan(-1);
  expect(bundle.slice(0, handled)).not.toMatch(/require\("node:/);
});

// Guards against a daemon that is told to reload its settings while it starts, and ends.
it('a daemon that waits for the store at its start takes SIGHUP', async () => {
  const portOf = (n: number): string => `127.0.0.1:${FIRST_PORT + n}`;
  const started = launchDaemon({
    ...{
      id: 'd',
      dir,
      listen: portOf(0),
      readyListen: portOf(1),
      peerListen: portOf(2),
      seeds: [],
    },
    platform: `127.0.0.1:${(store.address() as AddressInfo).port}`,
  });
  daemon = started;
  for (let waited = 0; waited < START_MS && !handlesHangup(started); waited += LOOK_MS)
    await pause(LOOK_MS);
  expect(handlesHangup(started)).toBe(true);
  for (let n = 0; n < 10; n++) {
    started.kill('SIGHUP');
    await pause(LOOK_MS);
  }
  expect({ code: started.exitCode, signal: started.signalCode }).toEqual({
    code: null,
    signal: null,
  });
});

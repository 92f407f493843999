/** Starts the demo's programs as separate processes and stops them in order. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';

const HOST = '127.0.0.1';

/** A process that has reported that it is ready. */
export interface Started {
  readonly program: string;
  readonly child: ChildProcess;
  /** What it printed on becoming ready. */
  readonly ready: Readonly<Record<string, unknown>>;
}

/** The bundles are in the same directory as the demo's own. */
function bundleOf(program: string): string {
  return join(dirname(process.argv[1] ?? ''), `${program}.cjs`);
}

function parseLine(line: string): Readonly<Record<string, unknown>> | undefined {
  try {
    return JSON.parse(line) as Readonly<Record<string, unknown>>;
  } catch {
    return undefined;
  }
}

/** All running processes, so that none outlives the demo. */
const running = new Set<ChildProcess>();

/** Kills all running processes; for an abnormal exit. */
export function killAll(): void {
  for (const child of running) child.kill('SIGKILL');
}

/** Starts a program and waits until it is ready; its warnings go to this process's stderr. */
export function start(
  program: string,
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<Started> {
  // In its own process group, so that Ctrl-C reaches only the demo, which stops all in order.
  const child = spawn(process.execPath, [bundleOf(program), ...args], {
    env: { ...process.env, ...env },
    stdio: ['ignore', 'pipe', 'inherit'],
    detached: true,
  });
  running.add(child);
  child.once('exit', () => running.delete(child));
  return new Promise((resolve, reject) => {
    child.once('exit', (code) => {
      reject(new Error(`${program} exited with code ${String(code)} before it was ready`));
    });
    createInterface({ input: child.stdout }).on('line', (line) => {
      const ready = parseLine(line);
      if (ready?.ready === true) resolve({ program, child, ready });
      else process.stderr.write(`${line}\n`);
    });
  });
}

/** Signals a process to stop and waits for its exit. */
export function stop({ child }: Started): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
  return new Promise((resolve) => {
    child.once('exit', () => {
      resolve();
    });
    child.kill('SIGTERM');
  });
}

/** Below the ephemeral port range, as an outgoing connection could take the port meanwhile. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Returns distinct ports that were free when checked. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

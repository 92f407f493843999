/** Starts the bundled programs as child processes and injects faults into them. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import * as z from 'zod';

const readyLine = z.looseObject({ ready: z.literal(true) });

/** A started program that has reported that it is ready. */
export interface RunningProgram {
  readonly ready: Record<string, unknown>;
  readonly child: ChildProcess;
  /** Lines written so far to standard error, and to standard output apart from the ready line. */
  readonly lines: readonly string[];
  /** SIGSTOP. */
  suspend(): void;
  /** SIGCONT. */
  resume(): void;
  /** SIGKILL. */
  kill(): Promise<void>;
  /** SIGTERM; resolves with the exit code. */
  stop(): Promise<number | null>;
}

function exitOf(child: ChildProcess): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child.exitCode);
  return new Promise((resolve) => child.once('exit', resolve));
}

/** Starts `dist/{program}.cjs` and waits for its ready line. Rejects if it exits before that. */
export function run(
  program: string,
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<RunningProgram> {
  const child = spawn(process.execPath, [`dist/${program}.cjs`, ...args], {
    env: { ...process.env, ...env },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const lines: string[] = [];
  const exited = exitOf(child);
  createInterface({ input: child.stderr }).on('line', (line) => lines.push(line));
  return new Promise((resolve, reject) => {
    void exited.then((code) => {
      reject(
        new Error(
          `${program} exited with code ${String(code)} before it was ready:\n${lines.join('\n')}`,
        ),
      );
    });
    createInterface({ input: child.stdout }).on('line', (line) => {
      const parsed = parseReady(line);
      if (parsed === undefined) {
        lines.push(line);
        return;
      }
      resolve({
        ready: parsed,
        child,
        lines,
        suspend: () => child.kill('SIGSTOP'),
        resume: () => child.kill('SIGCONT'),
        kill: async () => {
          child.kill('SIGKILL');
          await exited;
        },
        stop: () => {
          child.kill('SIGTERM');
          return exited;
        },
      });
    });
  });
}

function parseReady(line: string): Record<string, unknown> | undefined {
  try {
    const parsed = readyLine.safeParse(JSON.parse(line));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Polls until `probe` resolves to a value other than undefined. Throws after `limitMs`, with `what`
 * in the message.
 */
export async function until<T>(
  probe: () => Promise<T | undefined>,
  what: string,
  limitMs = 30_000,
): Promise<T> {
  const deadline = Date.now() + limitMs;
  for (;;) {
    const found = await probe();
    if (found !== undefined) return found;
    if (Date.now() > deadline) throw new Error(`timed out waiting: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

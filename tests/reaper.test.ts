/** Child processes of a test must not survive it, even if the test is killed. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { build } from 'esbuild';
import { existsSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, describe, expect, it } from 'vitest';

import { pause } from '../src/utils/pause';

const dir = mkdtempSync(join(tmpdir(), 'nutmegstack-reaper-'));
const MARK = `reaped-${process.pid}`;
const LIMIT_MS = 5_000;

afterAll(() => {
  rmSync(dir, { recursive: true });
});

/** Source of a test that starts a process which never exits by itself, and prints its pid. */
const TEST = `
  import { spawn } from 'node:child_process';
  import { endWithTest } from './tests/support/reaper';
  const args = ['-e', 'setInterval(() => undefined, 1000)', '${MARK}'];
  const child = endWithTest(spawn(process.execPath, args, { stdio: 'ignore' }), '${MARK}');
  console.log(child.pid);
  setInterval(() => undefined, 1000);
`;

async function startTest(): Promise<{ test: ChildProcess; pid: number }> {
  const outfile = join(dir, 'test.cjs');
  await build({
    stdin: { contents: TEST, resolveDir: process.cwd(), loader: 'ts' },
    bundle: true,
    platform: 'node',
    outfile,
  });
  const test = spawn(process.execPath, [outfile], { stdio: ['ignore', 'pipe', 'inherit'] });
  const pid = await new Promise<number>((resolve) => {
    test.stdout.once('data', (data: Buffer) => {
      resolve(Number(data.toString()));
    });
  });
  return { test, pid };
}

const isRunning = (pid: number): boolean => existsSync(`/proc/${pid}`);

describe('child processes of a test', () => {
  it.each(['SIGKILL', 'SIGINT'] as const)('are killed when the test ends by %s', async (signal) => {
    const { test, pid } = await startTest();
    // Lets the reaper read the pid.
    await pause(300);
    expect(isRunning(pid)).toBe(true);
    test.kill(signal);
    const deadline = performance.now() + LIMIT_MS;
    while (isRunning(pid) && performance.now() < deadline) await pause(20);
    expect(isRunning(pid)).toBe(false);
  });
});

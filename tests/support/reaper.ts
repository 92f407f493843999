/** Kills the child processes of a test when the test process ends, even if it is killed. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';

const reapers = new Map<string, ChildProcess>();

function reaperOf(program: string): ChildProcess {
  const known = reapers.get(program);
  if (known) return known;
  const args = ['tests/support/reaper-process.mjs', program];
  // Own process group, so that an interrupt from the terminal ends the test but not its reaper.
  const reaper = spawn(process.execPath, args, {
    stdio: ['pipe', 'ignore', 'inherit'],
    detached: true,
  });
  reaper.unref();
  reapers.set(program, reaper);
  return reaper;
}

/**
 * Registers a child process with the reaper. `program` must occur in its command line, by which the
 * reaper recognizes it.
 */
export function endWithTest(child: ChildProcess, program: string): ChildProcess {
  if (child.pid !== undefined) reaperOf(program).stdin?.write(`${child.pid}\n`);
  return child;
}

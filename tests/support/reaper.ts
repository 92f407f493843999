/** Ends the processes of a test with the test, also where that is killed. */

import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';

const reapers = new Map<string, ChildProcess>();

function reaperOf(program: string): ChildProcess {
  const known = reapers.get(program);
  if (known) return known;
  const args = ['tests/support/reaper-process.mjs', program];
  // A process group of its own: an interrupt from the terminal ends the test, and not its reaper.
  const reaper = spawn(process.execPath, args, {
    stdio: ['pipe', 'ignore', 'inherit'],
    detached: true,
  });
  reaper.unref();
  reapers.set(program, reaper);
  return reaper;
}

/** `child` runs `program`, which is part of its command line. */
export function endWithTest(child: ChildProcess, program: string): ChildProcess {
  if (child.pid !== undefined) reaperOf(program).stdin?.write(`${child.pid}\n`);
  return child;
}

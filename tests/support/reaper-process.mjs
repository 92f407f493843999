// Kills the child processes of a test, even when the test process itself was killed. Reads their process ids
// from stdin, one a line. Stdin closes however the test ends; this then kills those of the processes that
// still run the given program.
import { readFileSync } from 'node:fs';
import { createInterface } from 'node:readline';

const [program = ''] = process.argv.slice(2);
const pids = [];

function runsProgram(pid) {
  try {
    return readFileSync(`/proc/${pid}/cmdline`, 'utf8').includes(program);
  } catch {
    return false;
  }
}

const lines = createInterface({ input: process.stdin });
lines.on('line', (line) => pids.push(Number(line)));
lines.on('close', () => {
  for (const pid of pids) if (runsProgram(pid)) process.kill(pid, 'SIGKILL');
});

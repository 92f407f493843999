// Ends processes of a test that was itself ended: reads their ids, a line each, and once its input
// closes, as it does however the test ends, kills those of them that still run the given program.
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

// Gives processes a quota of their processor: they run for a part of each period and stand still for the rest. Arguments:
// milliseconds to run, milliseconds of the period, process ids. Ends with its standard input.
import { setTimeout } from 'node:timers/promises';

const [runMs, periodMs, ...pids] = process.argv.slice(2).map(Number);
let isRunning = true;

/** A process that has ended needs no signal. */
function signal(name) {
  for (const pid of pids) {
    try {
      process.kill(pid, name);
    } catch (err) {
      if (err.code !== 'ESRCH') throw err;
    }
  }
}

process.stdin.on('end', () => {
  isRunning = false;
  signal('SIGCONT');
  process.exit(0);
});
process.stdin.resume();
while (isRunning) {
  signal('SIGCONT');
  await setTimeout(runMs);
  signal('SIGSTOP');
  await setTimeout(periodMs - runMs);
}

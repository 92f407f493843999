/** The program: one binary, a subcommand each for the daemon and for operators. */

import { startDaemon } from '../app/daemon';
import { runProgram } from './program';

void runProgram(process.argv, process.env, startDaemon).then((code) => {
  process.exit(code);
});

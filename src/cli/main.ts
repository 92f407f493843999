/** Entry point of the `nutmegstack` binary: `serve` and the operator subcommands. */

import { startDaemon } from '../app/daemon';
import { runProgram } from './program';

void runProgram(process.argv, process.env, startDaemon).then((code) => {
  process.exit(code);
});

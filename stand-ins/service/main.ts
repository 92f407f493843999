/** Entry point of the plain service stand-in. */

import sade from 'sade';

import { announce, exitOnFailure } from '../shared/program';
import { startService } from './service';

interface Flags {
  readonly listen: string;
  readonly 'honours-key': boolean;
}

async function run(flags: Flags): Promise<void> {
  const service = await startService({
    listen: flags.listen,
    honoursKey: flags['honours-key'],
  });
  announce('service', service);
}

sade('service', true)
  .option('--listen', 'Address to listen on', '127.0.0.1:0')
  .option('--honours-key', 'Run a call with a known Idempotency-Key only once', false)
  .action((flags: Flags) => {
    exitOnFailure(run(flags));
  })
  .parse(process.argv);

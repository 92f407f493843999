/** Entry point of the platform stand-in. */

import sade from 'sade';

import { announce, exitOnFailure } from '../shared/program';
import { startPlatform } from './platform';

interface Flags {
  readonly listen: string;
  readonly 'bytes-per-second': number;
  readonly 'lag-ms': number;
}

async function run(flags: Flags): Promise<void> {
  const platform = await startPlatform({
    listen: flags.listen,
    bytesPerSecond: flags['bytes-per-second'],
    lagMs: flags['lag-ms'],
  });
  announce('platform', platform);
}

sade('platform', true)
  .option('--listen', 'Address to listen on', '127.0.0.1:0')
  .option('--bytes-per-second', 'Rate of the weight store', 1e9)
  .option('--lag-ms', 'How old the instance list is', 0)
  .action((flags: Flags) => {
    exitOnFailure(run(flags));
  })
  .parse(process.argv);

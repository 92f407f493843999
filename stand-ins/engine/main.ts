/** Entry point of the engine stand-in. */

import sade from 'sade';

import { announce, exitOnFailure } from '../shared/program';
import { startEngine } from './engine';

interface Flags {
  readonly platform?: string;
  readonly 'listen-host': string;
  readonly members: number;
  readonly domain: string;
  readonly zone: string;
  readonly 'id-prefix'?: string;
  readonly 'checks-fencing': boolean | string;
  readonly accelerators: number;
  readonly 'token-ms': number;
  readonly 'max-batch': number;
  readonly 'weight-bytes': number;
  readonly 'lag-ms': number;
  readonly 'restart-ms': number;
}

async function run(flags: Flags): Promise<void> {
  const engine = await startEngine({
    ...(flags.platform === undefined ? {} : { platform: flags.platform }),
    listenHost: flags['listen-host'],
    members: flags.members,
    domain: flags.domain,
    zone: flags.zone,
    idPrefix: flags['id-prefix'] ?? flags.domain,
    checksFencing: String(flags['checks-fencing']) !== 'false',
    accelerators: flags.accelerators,
    tokenMs: flags['token-ms'],
    maxBatch: flags['max-batch'],
    weightBytes: flags['weight-bytes'],
    lagMs: flags['lag-ms'],
    restartMs: flags['restart-ms'],
  });
  const members = engine.members.map(({ instance, address }) => ({ instance, address }));
  announce('engine', engine, { members });
}

sade('engine', true)
  .option('--platform', 'Address of the platform')
  .option('--listen-host', 'IP number to listen on', '127.0.0.1')
  .option('--members', 'Members in this process', 4)
  .option('--domain', 'Fabric domain', 'd1')
  .option('--zone', 'Availability zone', 'z1')
  .option('--id-prefix', 'Instances are called {prefix}-{n}; the domain by default')
  .option('--checks-fencing', 'Refuse orders with an old fencing number', 'true')
  .option('--accelerators', 'Accelerators of each member', 8)
  .option('--token-ms', 'Time of a step of the batch', 2)
  .option('--max-batch', 'Requests at a time', 8)
  .option('--weight-bytes', 'Size of the weights of each member', 1e6)
  .option('--lag-ms', 'How old the reported load is', 100)
  .option('--restart-ms', 'How long a crashed member stays away', 500)
  .action((flags: Flags) => {
    exitOnFailure(run(flags));
  })
  .parse(process.argv);

/** Runs the demo: both deployments as separate processes, until Ctrl-C. */

import sade from 'sade';

import {
  configure,
  firstRequest,
  operatorKey,
  startDeployment,
  stopDeployment,
  untilServing,
} from './demo/deployment';
import type { DemoKey, Deployment } from './demo/deployment';
import { DEPLOYMENTS } from './demo/deployments';
import type { DeploymentSpec } from './demo/deployments';
import { killAll } from './demo/processes';

interface Flags {
  readonly deployment: string;
  readonly daemons: number;
}

function print(line: object): void {
  process.stdout.write(`${JSON.stringify(line)}\n`);
}

function chosen(name: string): readonly DeploymentSpec[] {
  const specs = Object.values(DEPLOYMENTS);
  return name === 'both' ? specs : specs.filter((spec) => spec.name === name);
}

function printAddresses({ spec, platform, engines, services, daemons }: Deployment): void {
  const deployment = spec.name;
  print({ deployment, kind: 'platform', address: platform.ready.address });
  for (const { ready } of engines) print({ deployment, kind: 'engine', members: ready.members });
  for (const { ready } of services) print({ deployment, kind: 'service', address: ready.address });
  for (const { id, zone, addresses } of daemons) {
    print({ deployment, kind: 'daemon', id, zone, ...addresses });
  }
}

function printKeys({ spec, daemons }: Deployment, keys: readonly DemoKey[]): void {
  const deployment = spec.name;
  for (const { organisation, class: callerClass, key } of keys) {
    print({ deployment, kind: 'key', organisation, class: callerClass, key });
  }
  print({ deployment, kind: 'operator-key', key: operatorKey(spec) });
  const address = daemons[0]?.addresses.callers ?? '';
  const command =
    `curl -N http://${address}/v1/chat/completions ` +
    `-H 'Authorization: Bearer ${keys[0]?.key ?? ''}' ` +
    `-H 'Content-Type: application/json' -d '${firstRequest(spec)}'`;
  print({ deployment, kind: 'curl', command });
}

async function bringUp(spec: DeploymentSpec, daemons: number): Promise<Deployment> {
  const deployment = await startDeployment(spec, daemons);
  printAddresses(deployment);
  const keys = await configure(deployment);
  await untilServing(deployment, keys[0]?.key ?? '');
  printKeys(deployment, keys);
  return deployment;
}

/** Resolves on the first stop signal; later ones are ignored during shutdown. */
function stopRequested(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of ['SIGINT', 'SIGTERM'] as const) {
      process.on(signal, () => {
        resolve();
      });
    }
  });
}

async function run({ deployment, daemons }: Flags): Promise<void> {
  const specs = chosen(deployment);
  if (specs.length === 0) throw new Error('--deployment must be armor, umurage or both');
  const stopping = stopRequested();
  const up = Promise.all(specs.map((spec) => bringUp(spec, daemons)));
  const started = await Promise.race([up, stopping]);
  if (started === undefined) {
    killAll();
    return;
  }
  print({ kind: 'serving', stop: 'Ctrl-C' });
  await stopping;
  await Promise.all(started.map(stopDeployment));
  print({ kind: 'stopped' });
}

sade('demo', true)
  .option('--deployment', 'armor, umurage or both', 'both')
  .option('--daemons', 'Daemons of each deployment', 7)
  .action((flags: Flags) => {
    run(flags).then(
      () => process.exit(0),
      (err: unknown) => {
        process.stderr.write(`${String(err)}\n`);
        killAll();
        process.exit(1);
      },
    );
  })
  .parse(process.argv);

/** Runs one deployment of the demo: its processes, its configuration, and a first request. */

import { createHash } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';
import { parse } from 'yaml';

import { MEMBERS_PER_DOMAIN, SERVICE_PROCESSES } from './deployments';
import type { DeploymentSpec } from './deployments';
import { freePorts, start, stop } from './processes';
import type { Started } from './processes';

const HOST = '127.0.0.1';
const ANY_PORT = `${HOST}:0`;
const TRY_EVERY_MS = 200;
const SERVING_WITHIN_MS = 60_000;

interface DaemonAddresses {
  readonly callers: string;
  readonly admin: string;
  readonly peers: string;
}

export interface Daemon {
  readonly process: Started;
  readonly id: string;
  readonly zone: string;
  readonly addresses: DaemonAddresses;
}

export interface Deployment {
  readonly spec: DeploymentSpec;
  readonly platform: Started;
  readonly engines: readonly Started[];
  readonly services: readonly Started[];
  readonly daemons: readonly Daemon[];
}

interface ExampleKey {
  readonly organisation?: string;
  readonly role: string;
  readonly class?: string;
}

interface ExampleDocument {
  readonly services: Readonly<Record<string, object>>;
  readonly organisations: Readonly<Record<string, object>>;
  readonly keys: readonly ExampleKey[];
}

/** An API key of the example and what it grants. */
export interface DemoKey extends ExampleKey {
  readonly key: string;
}

/** The platform operator's key; the example contains only its hash. */
export function operatorKey({ name }: DeploymentSpec): string {
  return `demo-${name}-operator`;
}

function addressOf({ ready }: Started): string {
  return String(ready.address);
}

function startEngines(spec: DeploymentSpec, platform: string): Promise<Started[]> {
  return Promise.all(
    spec.zones.map((zone) =>
      start('engine', [
        ...['--platform', platform, '--members', String(MEMBERS_PER_DOMAIN)],
        ...['--domain', `fabric-${zone}`, '--zone', zone, '--id-prefix', `${spec.name}-${zone}`],
      ]),
    ),
  );
}

function startServices({ honoursKey }: DeploymentSpec): Promise<Started[]> {
  const args = ['--listen', ANY_PORT, ...(honoursKey ? ['--honours-key'] : [])];
  return Promise.all(Array.from({ length: SERVICE_PROCESSES }, () => start('service', args)));
}

async function startDaemons(
  spec: DeploymentSpec,
  platform: string,
  count: number,
): Promise<Daemon[]> {
  const ports = await freePorts(count);
  const seeds = ports.slice(0, 2).map((port) => `${HOST}:${port}`);
  const env = {
    NUTMEGSTACK_PLATFORM: platform,
    NUTMEGSTACK_PEER_SECRET: `only for the demo of ${spec.name}`,
    NUTMEGSTACK_SEEDS: seeds.join(','),
    NUTMEGSTACK_BOOTSTRAP_KEY_HASH: createHash('sha256').update(operatorKey(spec)).digest('hex'),
    NUTMEGSTACK_LISTEN: ANY_PORT,
    NUTMEGSTACK_ADMIN_LISTEN: ANY_PORT,
    NUTMEGSTACK_LOG_LEVEL: 'warn',
    NUTMEGSTACK_DRAIN_WAIT_MS: '500',
  };
  return Promise.all(
    ports.map(async (port, i) => {
      const id = `${spec.name}-entry-${i + 1}`;
      const zone = spec.zones[i % spec.zones.length] ?? '';
      const args = ['serve', '--id', id, '--zone', zone, '--peer-listen', `${HOST}:${port}`];
      const process = await start('nutmegstack', args, env);
      return { process, id, zone, addresses: process.ready.addresses as DaemonAddresses };
    }),
  );
}

/** Starts all processes of a deployment, without a configuration. */
export async function startDeployment(spec: DeploymentSpec, daemons: number): Promise<Deployment> {
  const platform = await start('platform', ['--listen', ANY_PORT]);
  const address = addressOf(platform);
  const [engines, services, started] = await Promise.all([
    startEngines(spec, address),
    startServices(spec),
    startDaemons(spec, address, daemons),
  ]);
  return { spec, platform, engines, services, daemons: started };
}

/** The example configuration with the actual addresses of the services. */
async function readExample({ spec, services }: Deployment): Promise<ExampleDocument> {
  const document = parse(await readFile(spec.example, 'utf8')) as ExampleDocument;
  const backends = services.map(addressOf);
  const placed = Object.entries(document.services).map(([id, service]) => [
    id,
    { ...service, backends },
  ]);
  return { ...document, services: Object.fromEntries(placed) as ExampleDocument['services'] };
}

/** The keys of the example, which contains only their hashes. */
function keysOf({ name }: DeploymentSpec, { keys }: ExampleDocument): DemoKey[] {
  const callers = keys.filter(({ role }) => role === 'caller');
  return callers.map((grant, i) => ({ ...grant, key: `demo-${name}-${i + 1}` }));
}

/** Submits the example configuration; returns the keys of its callers. */
export async function configure(deployment: Deployment): Promise<readonly DemoKey[]> {
  const { spec, daemons } = deployment;
  const document = await readExample(deployment);
  const admin = daemons[0]?.addresses.admin ?? '';
  const res = await fetch(`http://${admin}/admin/v1/config`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${operatorKey(spec)}` },
    body: JSON.stringify(document),
  });
  if (!res.ok) throw new Error(`${spec.name}: ${await res.text()}`);
  return keysOf(spec, document);
}

/** Body of the first request. */
export function firstRequest({ model, question }: DeploymentSpec): string {
  return JSON.stringify({ model, stream: true, messages: [{ role: 'user', content: question }] });
}

async function untilDaemonServes(
  spec: DeploymentSpec,
  { id, addresses }: Daemon,
  key: string,
): Promise<void> {
  const deadline = Date.now() + SERVING_WITHIN_MS;
  for (;;) {
    const res = await fetch(`http://${addresses.callers}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}` },
      body: firstRequest(spec),
    });
    const text = await res.text();
    if (res.ok) return;
    if (Date.now() > deadline) throw new Error(`${id} does not serve requests: ${text}`);
    await delay(TRY_EVERY_MS);
  }
}

/** Resolves once every daemon responds to the first request. */
export async function untilServing({ spec, daemons }: Deployment, key: string): Promise<void> {
  await Promise.all(daemons.map((daemon) => untilDaemonServes(spec, daemon, key)));
}

/** Stops the daemons first, so that they finish running requests, then all other processes. */
export async function stopDeployment(deployment: Deployment): Promise<void> {
  const { daemons, engines, services, platform } = deployment;
  await Promise.all(daemons.map(({ process }) => stop(process)));
  await Promise.all([...engines, ...services].map(stop));
  await stop(platform);
}

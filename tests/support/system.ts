/** Starts a complete system as separate processes: platform, engines, service, daemons. */

import { createHash } from 'node:crypto';
import * as z from 'zod';

import { freePorts } from '../../scripts/demo/processes';
import { run, until } from './processes';
import type { RunningProgram } from './processes';

export const OPERATOR_KEY = 'operator-key-of-the-tests';
export const CALLER_KEY = 'caller-key-of-the-tests';
export const OTHER_KEY = 'caller-key-of-another-organisation';
const SECRET = 'a-secret-shared-by-all-daemons';
const START_BY_MS = 30_000;

const memberList = z.array(z.object({ instance: z.string(), address: z.string() }));
const addressList = z.object({ callers: z.string(), admin: z.string(), peers: z.string() });

export interface EngineProcess {
  readonly process: RunningProgram;
  readonly domain: string;
  readonly members: readonly { readonly instance: string; readonly address: string }[];
}

export interface DaemonProcess {
  readonly process: RunningProgram;
  readonly id: string;
  readonly callers: string;
  readonly admin: string;
}

export interface SystemOptions {
  readonly daemons?: number;
  /** Number of members of each failure domain. */
  readonly domains?: readonly number[];
  readonly engineArgs?: readonly string[];
  readonly serviceArgs?: readonly string[];
  readonly daemonArgs?: readonly string[];
}

export interface System {
  readonly platform: string;
  readonly platformProcess: RunningProgram;
  readonly engines: readonly EngineProcess[];
  readonly service: string;
  readonly daemons: DaemonProcess[];
  addDaemon(): Promise<DaemonProcess>;
  stop(): Promise<void>;
}

/** Returns a port that was free at the time of the call. */
export async function freePort(): Promise<number> {
  const [port] = await freePorts(1);
  return port ?? 0;
}

export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

async function startEngines(
  platform: string,
  domain: string,
  members: number,
  args: readonly string[],
): Promise<EngineProcess> {
  const process = await run('engine', [
    ...['--platform', platform, '--members', String(members), '--domain', domain],
    ...['--zone', `z-${domain}`, '--id-prefix', domain, '--token-ms', '2', ...args],
  ]);
  return { process, domain, members: memberList.parse(process.ready.members) };
}

/** Starts all processes. No configuration is submitted yet. */
export async function startSystem(opts: SystemOptions = {}): Promise<System> {
  const { daemons = 3, domains = [4] } = opts;
  const platformProcess = await run('platform', ['--listen', '127.0.0.1:0']);
  const platform = z.string().parse(platformProcess.ready.address);
  const serviceProcess = await run('service', [
    '--listen',
    '127.0.0.1:0',
    ...(opts.serviceArgs ?? []),
  ]);
  const engines = await Promise.all(
    domains.map((members, i) =>
      startEngines(platform, `d${i + 1}`, members, opts.engineArgs ?? []),
    ),
  );
  const peers: string[] = [];
  const started: DaemonProcess[] = [];

  const addDaemon = async (): Promise<DaemonProcess> => {
    const id = `daemon-${started.length + 1}`;
    const peer = `127.0.0.1:${await freePort()}`;
    const seeds = peers.join(',');
    peers.push(peer);
    const process = await run('nutmegstack', [
      ...['serve', '--id', id, '--zone', `z-d${(started.length % domains.length) + 1}`],
      ...['--listen', '127.0.0.1:0', '--admin-listen', '127.0.0.1:0', '--peer-listen', peer],
      ...['--platform', platform, '--peer-secret', SECRET, '--seed', String(started.length + 1)],
      ...['--bootstrap-key-hash', sha256(OPERATOR_KEY), '--drain-wait-ms', '100'],
      ...(seeds === '' ? [] : ['--seeds', seeds]),
      ...(opts.daemonArgs ?? []),
    ]);
    const { callers, admin } = addressList.parse(process.ready.addresses);
    const daemon = { process, id, callers, admin };
    started.push(daemon);
    return daemon;
  };
  for (let n = 0; n < daemons; n++) await addDaemon();

  return {
    platform,
    platformProcess,
    engines,
    service: z.string().parse(serviceProcess.ready.address),
    daemons: started,
    addDaemon,
    stop: async () => {
      await Promise.all(started.map(({ process }) => process.kill()));
      const others = [serviceProcess, platformProcess, ...engines.map(({ process }) => process)];
      await Promise.all(others.map((process) => process.kill()));
    },
  };
}

/** Returns a configuration of one model and one service for two organisations. */
export function documentFor(system: System, replicas = 1, members = 4): object {
  return {
    templates: {
      depot: {
        weights: { downtime: 10, stranded: 1 },
        models: { query: { membersPerReplica: members, maxBatch: 16 } },
        classes: { pharmacist: { worth: 10, deadlineMs: 20_000, maxInFlight: 200 } },
        services: ['ledger'],
      },
    },
    organisations: {
      rennes: { template: 'depot', replicas: { query: replicas }, services: ['ledger'] },
      brest: { template: 'depot', replicas: { query: 0 }, services: ['ledger'] },
    },
    services: {
      ledger: { backends: [system.service], repeatable: [{ method: 'GET', path: '/' }] },
    },
    keys: [
      { hash: sha256(CALLER_KEY), organisation: 'rennes', role: 'caller', class: 'pharmacist' },
      { hash: sha256(OTHER_KEY), organisation: 'brest', role: 'caller', class: 'pharmacist' },
      { hash: sha256(OPERATOR_KEY), role: 'operator' },
    ],
  };
}

/** Submits a document to a daemon with the operator's key. */
export function submit(
  daemon: DaemonProcess,
  document: object,
  ifMatch?: number,
): Promise<Response> {
  return fetch(`http://${daemon.admin}/admin/v1/config`, {
    method: 'PUT',
    headers: {
      authorization: `Bearer ${OPERATOR_KEY}`,
      ...(ifMatch === undefined ? {} : { 'if-match': `"${ifMatch}"` }),
    },
    body: JSON.stringify(document),
  });
}

/** Sends a chat completion request to a daemon. */
export function chat(daemon: DaemonProcess, body: object, headers: object = {}): Promise<Response> {
  return fetch(`http://${daemon.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${CALLER_KEY}`, ...headers },
    body: JSON.stringify({
      model: 'query',
      messages: [{ role: 'user', content: 'is paracetamol in stock?' }],
      ...body,
    }),
  });
}

/** Waits until every daemon answers a chat completion, which means that the groups have formed. */
export async function untilServing(system: System): Promise<void> {
  for (const daemon of system.daemons) {
    await until(
      async () => {
        const res = await chat(daemon, {});
        await res.text();
        return res.status === 200 ? true : undefined;
      },
      `${daemon.id} serves`,
      START_BY_MS,
    );
  }
}

/** Reads the metrics of a daemon, by default with the platform operator's key. */
export async function readMetrics(admin: string, key = OPERATOR_KEY): Promise<string> {
  const headers = { authorization: `Bearer ${key}` };
  return (await fetch(`http://${admin}/metrics`, { headers })).text();
}

/** Runs a request plane on fakes of everything around it, which tests can replace. */

import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { errAsync, okAsync } from 'neverthrow';
import { BehaviorSubject, Subject } from 'rxjs';

import { createClock, createRandom } from '../../src/adapters/runtime';
import type { Gossip, GossipEntry, GroupEvidence, GroupView } from '../../src/app/parts';
import { createRequests } from '../../src/app/requests/requests';
import type { RequestDeps } from '../../src/app/requests/requests';
import { EMPTY_CONFIG } from '../../src/core/config/types';
import type { Config, Organisation, ServiceSpec } from '../../src/core/config/types';
import type { RoutableGroup } from '../../src/core/groups/types';
import type { DaemonId, GroupId, MonoTime } from '../../src/core/ids';
import type { Logger } from '../../src/ports/runtime';
import type { ObjectStore, Table } from '../../src/ports/platform';
import type { Metrics, Span, Tracer } from '../../src/ports/telemetry';
import { fail } from '../../src/utils/errors';

/** API keys of two organisations and of an operator. */
export const KEYS = { armor: 'key-of-armor', umurage: 'key-of-umurage', operator: 'key-of-op' };
export const MODEL = 'pharmacy';
export const SERVICE = 'ledger';

const hash = (key: string): string => createHash('sha256').update(key).digest('hex');

function organisation(id: string, services: readonly string[]): Organisation {
  const counter = { name: 'counter', worth: 5, deadlineMs: 5_000, maxInFlight: 64 };
  return {
    id,
    template: 'plain',
    classes: { counter },
    share: 1,
    replicas: { [MODEL]: 1 },
    services,
    weights: { downtime: 1, stranded: 1 },
  } as unknown as Organisation;
}

/** Returns a configuration with two organisations; only `armor` has the service. */
export function testConfig(service: Partial<ServiceSpec> = {}): Config {
  const caller = { role: 'caller', class: 'counter' };
  const ledger = {
    id: SERVICE,
    backends: [],
    repeatable: [{ method: 'POST', path: '/look' }],
    honoursIdempotencyKey: false,
    maxInFlight: 8,
    ...service,
  };
  return {
    ...EMPTY_CONFIG,
    organisations: {
      armor: organisation('armor', [SERVICE]),
      umurage: organisation('umurage', []),
    },
    models: {
      [MODEL]: { id: MODEL, membersPerReplica: 1, replicas: 2, maxBatch: 8, policies: {} },
    },
    services: { [SERVICE]: ledger },
    keys: {
      [hash(KEYS.armor)]: { ...caller, organisation: 'armor' },
      [hash(KEYS.umurage)]: { ...caller, organisation: 'umurage' },
      [hash(KEYS.operator)]: { role: 'operator' },
    },
  } as unknown as Config;
}

/** Starts a server on a free loopback port. */
export async function listen(
  handler: RequestListener,
): Promise<{ server: Server; address: string }> {
  const server = createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** Returns a routable group of the model. */
export function testGroup(
  id: string,
  address: string,
  fields: Partial<RoutableGroup> = {},
): RoutableGroup {
  const base = { id, address, model: MODEL, domain: 'd1', epoch: 1, members: [], maxBatch: 8 };
  return { ...base, routableUntil: Infinity as MonoTime, ...fields } as unknown as RoutableGroup;
}

/** Groups set by the test, and the evidence reported on them. */
export interface FakeGroups extends GroupView {
  groups: readonly RoutableGroup[];
  readonly evidence: GroupEvidence[];
  readonly lost: Subject<{ readonly group: GroupId; readonly isDomainDown: boolean }>;
}

export function fakeGroups(groups: readonly RoutableGroup[] = []): FakeGroups {
  const view: FakeGroups = {
    groups,
    evidence: [],
    lost: new Subject(),
    routable: (model) => view.groups.filter((group) => group.model === model),
    expectedAt: () => undefined,
    report: (evidence) => view.evidence.push(evidence),
  };
  return view;
}

export interface FakeGossip extends Gossip {
  readonly received: Subject<GossipEntry>;
  readonly published: GossipEntry[];
}

export function fakeGossip(): FakeGossip {
  const published: GossipEntry[] = [];
  return {
    received: new Subject(),
    published,
    publish: (topic, key, value, expiresAt) => {
      const version = published.length + 1;
      published.push({ topic, key, value, expiresAt, version, origin: 'self' as DaemonId });
    },
    entries: (topic) => published.filter((entry) => entry.topic === topic),
  };
}

const down = (): ReturnType<Table['commit']> =>
  errAsync(fail('store-unavailable', 'down', { step: 'table' }));

/** A table that is never available. */
export const DOWN_TABLE: Table = {
  read: () => down() as never,
  scan: () => down() as never,
  commit: down,
};

export function fakeObjects(): ObjectStore & { readonly kept: Map<string, Uint8Array> } {
  const kept = new Map<string, Uint8Array>();
  return {
    kept,
    put: (key, body) => {
      kept.set(key, body);
      return okAsync(undefined);
    },
    get: (key) => okAsync(kept.get(key)),
    remove: (key) => {
      kept.delete(key);
      return okAsync(undefined);
    },
  };
}

const SILENT: Logger = { debug: noop, info: noop, warn: noop, error: noop };

function noop(): void {
  return undefined;
}

export interface FakeMetrics extends Metrics {
  readonly counts: Map<string, number>;
}

export function fakeMetrics(): FakeMetrics {
  const counts = new Map<string, number>();
  return {
    counts,
    count: (name, _labels, by = 1) => counts.set(name, (counts.get(name) ?? 0) + by),
    gauge: noop,
    observe: noop,
    render: () => Promise.resolve(''),
  };
}

function fakeSpan(): Span {
  const traceparent = `00-${'1'.repeat(32)}-${'2'.repeat(16)}-01`;
  return { traceparent, set: noop, child: fakeSpan, end: noop };
}

const TRACER: Tracer = { start: fakeSpan };

export interface DaemonOptions {
  readonly id: string;
  readonly table: Table;
  /** `host:port` of the one backend server of the plain service. */
  readonly backend: string;
}

/** Dependencies of a request plane with one plain service, for daemons that run as processes. */
export function createDaemonDeps({ id, table, backend }: DaemonOptions): RequestDeps {
  const config = new BehaviorSubject(testConfig({ backends: [backend] }));
  return {
    self: id as DaemonId,
    config: { current: () => config.value, changes: config },
    groups: fakeGroups(),
    table,
    objects: fakeObjects(),
    gossip: fakeGossip(),
    clock: createClock(),
    random: createRandom(1),
    logger: SILENT,
    metrics: fakeMetrics(),
    tracer: TRACER,
  };
}

/** A running request plane. */
export interface Fixture {
  readonly url: string;
  readonly requests: ReturnType<typeof createRequests>;
  readonly config: BehaviorSubject<Config>;
  readonly groups: FakeGroups;
  readonly metrics: FakeMetrics;
  readonly close: () => Promise<void>;
}

/** Starts a daemon's request plane on its own port. */
export async function createFixture(
  deps: Partial<RequestDeps> & { readonly groups?: FakeGroups; readonly initial?: Config } = {},
): Promise<Fixture> {
  const config = new BehaviorSubject(deps.initial ?? testConfig());
  const groups = deps.groups ?? fakeGroups();
  const metrics = fakeMetrics();
  const requests = createRequests({
    self: 'daemon-1' as DaemonId,
    config: { current: () => config.value, changes: config },
    table: DOWN_TABLE,
    objects: fakeObjects(),
    gossip: fakeGossip(),
    clock: createClock(),
    random: createRandom(1),
    logger: SILENT,
    metrics,
    tracer: TRACER,
    ...deps,
    groups,
  });
  await requests.start();
  const { server, address } = await listen(requests.handler);
  const close = async (): Promise<void> => {
    await requests.stop();
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  };
  return { url: `http://${address}`, requests, config, groups, metrics, close };
}

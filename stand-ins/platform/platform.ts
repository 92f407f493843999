/** Stand-in for the platform: table, objects, instance list and weight store at one address. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { InstanceEntry, Transaction } from '../../src/ports/platform';
import { parseAddress } from '../../src/utils/address';
import { listen, pathOf, readBody, readJson, sendEmpty, sendJson } from '../shared/server';
import type { Running } from '../shared/program';
import { createFaults, SERVICES, underFaults } from './faults';
import type { Call, Counts, PlatformFaults } from './faults';
import { enterInstance, listInstances } from './instances';
import type { InstanceHistory } from './instances';
import { createRateLimit } from './limits';
import { commitRows, createTable, readRows, scanRows } from './table';
import type { TableState } from './table';
import { createWeightStore } from './weights';
import type { WeightStore } from './weights';

/** Options of `startPlatform`. */
export interface PlatformOptions {
  /** `host:port` to listen on. */
  readonly listen?: string;
  readonly commitsPerSecond?: number;
  readonly readsPerSecond?: number;
  /** Total bandwidth of the weight store. */
  readonly bytesPerSecond?: number;
  /** Initial staleness of the instance list, milliseconds. */
  readonly lagMs?: number;
}

/** A running platform, with access to its internals for tests. */
export interface Platform extends Running {
  readonly faults: PlatformFaults;
  readonly counts: Counts;
  /** The stored rows, for assertions in tests. */
  readonly table: TableState;
}

type Act = () => Promise<() => void>;

interface Services {
  readonly faults: PlatformFaults;
  readonly counts: Counts;
  readonly table: TableState;
  readonly objects: Map<string, Buffer>;
  readonly instances: InstanceHistory;
  readonly weights: WeightStore;
  readonly limits: Readonly<Record<'commits' | 'reads' | 'puts' | 'gets', Call['limit'] & object>>;
}

interface RouteResult {
  readonly call: Call;
  readonly act: Act;
}

type Route = (s: Services, req: IncomingMessage, res: ServerResponse, name: string) => RouteResult;

/** Routes by method and path, or by method and first path segment; the remaining path is the name. */
const ROUTES: Readonly<Record<string, Route>> = {
  'POST /table/read': (s, req, res) => ({
    call: { faults: s.faults.table, count: 'tableReads', write: false, limit: s.limits.reads },
    act: async () => {
      const { keys } = (await readJson(req)) as { keys: string[] };
      const rows = readRows(s.table, keys);
      return () => {
        sendJson(res, 200, { rows });
      };
    },
  }),
  'POST /table/scan': (s, req, res) => ({
    call: { faults: s.faults.table, count: 'tableScans', write: false, limit: s.limits.reads },
    act: async () => {
      const body = (await readJson(req)) as { prefix: string; after?: string; limit?: number };
      const page = scanRows(s.table, body.prefix, body.after, body.limit);
      return () => {
        sendJson(res, 200, page);
      };
    },
  }),
  'POST /table/commit': (s, req, res) => ({
    call: { faults: s.faults.table, count: 'tableCommits', write: true, limit: s.limits.commits },
    act: async () => {
      const result = commitRows(s.table, (await readJson(req)) as Transaction);
      return () => {
        sendJson(res, 'conflict' in result ? 409 : 200, result);
      };
    },
  }),
  'PUT /objects': (s, req, res, name) => ({
    call: { faults: s.faults.objects, count: 'objectPuts', write: true, limit: s.limits.puts },
    act: async () => {
      s.objects.set(name, await readBody(req));
      return () => {
        sendEmpty(res, 204);
      };
    },
  }),
  'GET /objects': (s, _req, res, name) => ({
    call: { faults: s.faults.objects, count: 'objectGets', write: false, limit: s.limits.gets },
    act: () => {
      const body = s.objects.get(name);
      return Promise.resolve(() => {
        if (body === undefined) sendJson(res, 404, { error: 'absent' });
        else res.writeHead(200, { 'content-length': body.length }).end(body);
      });
    },
  }),
  'DELETE /objects': (s, _req, res, name) => ({
    call: { faults: s.faults.objects, count: 'objectDeletes', write: true, limit: s.limits.puts },
    act: () => {
      s.objects.delete(name);
      return Promise.resolve(() => {
        sendEmpty(res, 204);
      });
    },
  }),
  'GET /instances': (s, _req, res) => ({
    call: { faults: s.faults.instances, count: 'instanceLists', write: false },
    act: () => {
      const instant = Date.now() - (s.faults.instances.lagMs ?? 0);
      const instances = listInstances(s.instances, instant);
      return Promise.resolve(() => {
        sendJson(res, 200, { instances });
      });
    },
  }),
  'PUT /instances': (s, req, res, name) => ({
    call: { faults: s.faults.instances, count: 'instancePuts', write: true },
    act: async () => {
      enterInstance(s.instances, name, (await readJson(req)) as InstanceEntry, Date.now());
      return () => {
        sendEmpty(res, 204);
      };
    },
  }),
  'DELETE /instances': (s, _req, res, name) => ({
    call: { faults: s.faults.instances, count: 'instanceDeletes', write: true },
    act: () => {
      enterInstance(s.instances, name, undefined, Date.now());
      return Promise.resolve(() => {
        sendEmpty(res, 204);
      });
    },
  }),
  'POST /weights': (s, req, res) => ({
    call: { faults: s.faults.weights, count: 'weightTransfers', write: true },
    act: async () => {
      const { bytes } = (await readJson(req)) as { bytes: number };
      await s.weights.transfer(bytes);
      return () => {
        sendJson(res, 200, { bytes });
      };
    },
  }),
};

function findRoute(req: IncomingMessage): { route: Route; name: string } | undefined {
  const [, first = '', ...rest] = pathOf(req).split('/');
  const method = req.method ?? 'GET';
  const exact = ROUTES[`${method} /${[first, ...rest].join('/')}`];
  if (exact !== undefined) return { route: exact, name: '' };
  const named = ROUTES[`${method} /${first}`];
  return named && { route: named, name: decodeURIComponent(rest.join('/')) };
}

async function serveFaults(s: Services, req: IncomingMessage, res: ServerResponse): Promise<void> {
  if (req.method === 'POST') {
    const body = (await readJson(req)) as Partial<PlatformFaults>;
    for (const name of SERVICES) Object.assign(s.faults[name], body[name]);
  }
  sendJson(res, 200, { faults: s.faults, counts: s.counts });
}

async function serve(s: Services, req: IncomingMessage, res: ServerResponse): Promise<void> {
  if (pathOf(req) === '/faults') {
    await serveFaults(s, req, res);
    return;
  }
  const found = findRoute(req);
  if (found === undefined) {
    sendJson(res, 404, { error: 'no such route' });
    return;
  }
  const { call, act } = found.route(s, req, res, found.name);
  await underFaults(call, s.counts, req, res, act);
}

/** Starts the platform in this process. */
export async function startPlatform({
  listen: at = '127.0.0.1:0',
  commitsPerSecond = 400,
  readsPerSecond = 2000,
  bytesPerSecond = 1e9,
  lagMs = 0,
}: PlatformOptions = {}): Promise<Platform> {
  const services: Services = {
    faults: createFaults(lagMs),
    counts: {},
    table: createTable(),
    objects: new Map(),
    instances: new Map(),
    weights: createWeightStore(bytesPerSecond),
    limits: {
      commits: createRateLimit(commitsPerSecond),
      reads: createRateLimit(readsPerSecond),
      puts: createRateLimit(commitsPerSecond),
      gets: createRateLimit(readsPerSecond),
    },
  };
  const server = await listen((req, res) => serve(services, req, res), parseAddress(at));
  const { faults, counts, table } = services;
  return {
    address: server.address,
    faults,
    counts,
    table,
    close: async () => {
      services.weights.close();
      await server.close();
    },
  };
}

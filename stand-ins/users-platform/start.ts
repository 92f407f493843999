/** The users' platform in real time: store, engine servers, plain servers and operator actions. */

import { CONFIG_KEY, EVACUATION_PREFIX, TABLES } from '../../platform/names';
import type { EngineSpec } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { ServerName, ServiceId } from '../../src/core/ids';
import { pause } from '../../src/utils/pause';
import { createEngineFleet } from './engines';
import type { EngineFleet } from './engines';
import { createPauses } from './pauses';
import { startEngine, startPlain } from './servers';
import type { Crash } from './restartable';
import type { PlainFaults, Run, ServerRecords, StreamFaults } from './servers';
import { createSpoils } from './spoils';
import type { Spoils } from './spoils';
import { createStatements } from './statements';
import type { Pauses } from './pauses';
import type { Statements } from './statements';
import { startStore } from './store';
import type { StoreStandIn } from './store';
import { encodeRow } from './wire';

export interface PlatformOptions {
  readonly host: string;
  /** Port of the store; every server takes one of the ports that follow. */
  readonly firstPort: number;
  readonly engine: EngineSpec;
  readonly domains: readonly number[];
  readonly plainServers: number;
  /** Zone of the n-th domain, and of the n-th plain server. */
  readonly zoneOf?: (n: number) => string;
  /** Maps the listen address of a server to the published one, for instance that of a proxy. */
  readonly publishedAddress?: (address: string) => string;
}

export interface PlatformStandIn {
  readonly store: StoreStandIn;
  readonly fleet: EngineFleet;
  readonly plainFaults: PlainFaults;
  readonly statements: Statements;
  readonly plainServers: readonly ServerName[];
  /** Lets servers stand still for a while, after which they go on; no server ends by that. */
  readonly pauses: Pauses;
  /** Answers of servers that are spoiled. */
  readonly spoils: Spoils;
  readonly streamFaults: StreamFaults;
  /** Names of all servers that the pattern includes, for a pause. */
  serversOf(pattern: ServerPattern): readonly ServerName[];
  /** Every request that a server began to execute. */
  readonly runs: readonly Run[];
  /** Every server process that a request ended. */
  readonly crashes: readonly Crash[];
  readonly storeAddress: string;
  /** Writes the configuration document as the operator. */
  configure(document: object): void;
  /** Evacuates a zone as the operator, or ends that. */
  evacuate(zone: string, isEvacuated: boolean): void;
  /**
   * The store is down for `awayMs`, then returns from a copy that is `copyAgeMs` old by then. The
   * operator and the servers write their rows again afterwards.
   */
  returnStore(options: { readonly awayMs: number; readonly copyAgeMs: number }): Promise<void>;
  /** The servers are cold for `coldMs` from now on, and state it in their rows. */
  setCold(names: readonly ServerName[], coldMs: number): void;
  /** Starts another engine server in a domain. */
  addEngine(domain: string): Promise<void>;
  close(): void;
}

/** Chooses servers; each field that is given narrows the choice. */
export interface ServerPattern {
  readonly zone?: string;
  readonly domain?: string;
  /** Name of the group whose members are chosen. */
  readonly group?: string;
  readonly name?: string;
  /** Only plain servers, or only those of the engine. */
  readonly isPlain?: boolean;
}

const TICK_MS = 20;
/** Time from the store's return until servers and operator write their rows again. */
const REWRITE_DELAY_MS = 1_500;
export const LLM_SERVICE = brandAs<ServiceId>('llm');
export const PLAIN_SERVICE = brandAs<ServiceId>('ledger');

export async function startPlatform(options: PlatformOptions): Promise<PlatformStandIn> {
  const { host, firstPort, engine, domains, plainServers, zoneOf = () => 'zone-a' } = options;
  const publishedAddress = options.publishedAddress ?? ((address: string) => address);
  const store = await startStore(host, firstPort);
  const plainFaults: PlainFaults = { cutAnswers: 0, failAnswers: 0, refuse: 0 };
  const closers: (() => void)[] = [];
  const plainRows = new Map<string, object>();
  const fleet = createEngineFleet({
    engine,
    service: LLM_SERVICE,
    domains,
    zoneOf,
    hasTraffic: false,
    addressOf: (n) => `${host}:${firstPort + 1 + plainServers + n}`,
  });
  const pauses = createPauses((name, isPaused) => {
    const id = fleet.named(name)?.id;
    if (id !== undefined) fleet.setPaused(id, isPaused);
  });
  const records: ServerRecords = {
    runs: [],
    crashes: [],
    statements: createStatements(),
    pauses,
    spoils: createSpoils(),
    streamFaults: { disorder: 0 },
  };
  for (const { name } of fleet.servers.values()) {
    closers.push(await startEngine(fleet, name, records));
  }
  for (let n = 0; n < plainServers; n++) {
    const name = `plain-${n}`;
    const address = `${host}:${firstPort + 1 + n}`;
    const restarted = (): void => {
      store.put(TABLES.servers, name, { ...plainRows.get(name), born: Date.now() });
    };
    const plain = { name, address, faults: plainFaults, onRestart: restarted };
    closers.push(await startPlain(plain, records));
    const published = publishedAddress(address);
    const row = {
      service: PLAIN_SERVICE,
      address: published,
      zone: zoneOf(n),
      batchSize: 6,
      state: 'ready',
    };
    store.put(TABLES.servers, name, row);
    plainRows.set(name, row);
  }

  const shown = new Map<ServerName, string>();
  /** When cold servers become warm. */
  const coldUntil = new Map<ServerName, number>();
  /** Last sequence number that each server wrote into its row. */
  const sequences = new Map<ServerName, number>();
  let document: object | undefined;
  const publish = (): void => {
    const rows = new Map([...fleet.rows().values()].map((row) => [row.name, row]));
    for (const name of [...shown.keys()]) {
      if (rows.has(name)) continue;
      shown.delete(name);
      store.remove(TABLES.servers, name);
    }
    for (const [name, server] of rows) {
      const address = publishedAddress(server.address);
      const until = coldUntil.get(name) ?? 0;
      const text = JSON.stringify(encodeRow({ ...server, address }));
      if (shown.get(name) === `${text} ${until}`) continue;
      shown.set(name, `${text} ${until}`);
      const coldMs = Math.max(0, until - performance.now());
      const sequence = (sequences.get(name) ?? 0) + 1;
      sequences.set(name, sequence);
      store.put(TABLES.servers, name, { ...(JSON.parse(text) as object), sequence, coldMs });
    }
  };
  let last = performance.now();
  const ticker = setInterval(() => {
    const now = performance.now();
    fleet.advance(now - last);
    last = now;
    publish();
  }, TICK_MS);

  return {
    store,
    fleet,
    plainFaults,
    ...records,
    plainServers: [...plainRows.keys()].map((name) => brandAs<ServerName>(name)),
    storeAddress: `${host}:${firstPort}`,
    configure: (next) => {
      document = next;
      store.put(TABLES.operator, CONFIG_KEY, next);
    },
    serversOf: (pattern) => {
      const engines = [...fleet.servers.values()].map(({ name, domain, joined }) => ({
        ...{ name, domain, group: joined?.group, isPlain: false },
        zone: zoneOf(Number(domain.slice(1))),
      }));
      const plain = [...plainRows.keys()].map((name, n) => ({
        ...{ name: brandAs<ServerName>(name), zone: zoneOf(n), isPlain: true },
      }));
      const wanted = Object.entries(pattern);
      return [...engines, ...plain]
        .map((server): Record<string, unknown> & typeof server => server)
        .filter((server) => wanted.every(([field, value]) => server[field] === value))
        .map(({ name }) => name);
    },
    evacuate: (zone, isEvacuated) => {
      const key = `${EVACUATION_PREFIX}${zone}`;
      if (isEvacuated) store.put(TABLES.operator, key, {});
      else store.remove(TABLES.operator, key);
    },
    returnStore: async ({ awayMs, copyAgeMs }) => {
      store.faults.isDown = true;
      await pause(awayMs);
      store.restore(copyAgeMs);
      store.faults.isDown = false;
      await pause(REWRITE_DELAY_MS);
      shown.clear();
      for (const [name, row] of plainRows) store.put(TABLES.servers, name, row);
      if (document) store.put(TABLES.operator, CONFIG_KEY, document);
    },
    setCold: (names, coldMs) => {
      for (const name of names) {
        const row = plainRows.get(name);
        coldUntil.set(name, performance.now() + coldMs);
        if (row) store.put(TABLES.servers, name, { ...row, coldMs });
      }
    },
    addEngine: async (domain) => {
      const name = fleet.servers.get(fleet.add(domain))?.name;
      if (name !== undefined) closers.push(await startEngine(fleet, name, records));
    },
    close: () => {
      clearInterval(ticker);
      for (const close of closers) close();
      store.close();
    },
  };
}

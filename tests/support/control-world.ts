/** Control planes of several daemons on one simulated clock, with in-memory ports. */

import { BehaviorSubject, NEVER, Subject } from 'rxjs';
import { errAsync, okAsync } from 'neverthrow';

import { createRandom } from '../../src/adapters/runtime';
import { createControl } from '../../src/app/control/control';
import type { ControlOverrides, ControlPlane } from '../../src/app/control/control';
import type { Gossip, GossipEntry, PeerInfo } from '../../src/app/parts';
import { EMPTY_CONFIG } from '../../src/core/config/types';
import type { Config, ModelSpec } from '../../src/core/config/types';
import type {
  DaemonId,
  DomainId,
  EpochTime,
  InstanceId,
  ModelId,
  MonoTime,
  ZoneId,
} from '../../src/core/ids';
import type { Engine, EngineOrder, OrderAuthority } from '../../src/ports/engine';
import type { InstanceEntry, Json, Table } from '../../src/ports/platform';
import type { LogFields } from '../../src/ports/runtime';
import { fail } from '../../src/utils/errors';
import { createFakeTable } from './control-table';
import type { FakeTable } from './control-table';
import { createFakeEngine, executeOrder, advanceEngine, reportOf } from './control-engine';
import type { FakeEngine } from './control-engine';

export const EPOCH_START = 1_700_000_000_000;
const STEP_MS = 100;
/** Exceeds the number of microtasks that any chain of answers takes. */
const MICROTASKS = 60;

export interface FakeDaemon {
  readonly id: DaemonId;
  /** Rate of its monotonic clock relative to simulated time. */
  readonly rate: number;
  readonly control: ControlPlane;
  /** While false, the daemon is suspended or stopped: it doesn't tick. */
  running: boolean;
  /** Number of its next orders that reach the engines only at `flushLate`; their answers are lost. */
  lateOrders: number;
  /** Partitions it from the other daemons, the table or the engines. */
  readonly partitioned: { gossip: boolean; table: boolean; engines: boolean };
  readonly received: Subject<GossipEntry>;
}

export interface World {
  readonly table: FakeTable;
  readonly engines: Map<string, FakeEngine>;
  readonly daemons: FakeDaemon[];
  readonly config: BehaviorSubject<Config>;
  readonly listed: Map<InstanceId, InstanceEntry>;
  now(): number;
  advance(ms: number): Promise<void>;
  /** Runs pending promise callbacks without advancing time. */
  settle(): Promise<void>;
  /** Delivers the late orders and commits. */
  flushLate(): void;
  /** Messages logged at info level: changes of groups and leases. */
  readonly log: readonly string[];
  /** Orders sent with a fencing number older than the domain's newest. */
  readonly staleOrders: readonly string[];
  addDaemon(id: string): Promise<FakeDaemon>;
  /** Stops a daemon for good without releasing its leases. */
  kill(daemon: FakeDaemon): void;
  addEngine(id: string, domain: string, options?: { checksFencing?: boolean }): FakeEngine;
  /** For each running daemon, its routable groups of a model as `id@epoch`, joined by spaces. */
  routable(model: string): readonly string[];
}

export interface WorldOptions {
  readonly seed?: number;
  readonly loadMs?: number;
  /** Relative drift of the daemons' clocks, such as 0.03. */
  readonly drift?: number;
  readonly settings?: ControlOverrides;
  /** Called after each step of simulated time. */
  readonly onStep?: (world: World) => void;
}

export function modelSpec(id: string, change: Partial<ModelSpec> = {}): ModelSpec {
  return {
    id: id as ModelId,
    membersPerReplica: 4,
    replicas: 1,
    maxBatch: 8,
    weights: { downtime: 1, stranded: 1 },
    policies: {},
    ...change,
  };
}

export function configOf(...specs: readonly ModelSpec[]): Config {
  return { ...EMPTY_CONFIG, models: Object.fromEntries(specs.map((spec) => [spec.id, spec])) };
}

export function createWorld(options: WorldOptions = {}): World {
  const { seed = 1, loadMs = 5_000, drift = 0 } = options;
  let now = 0;
  const table = createFakeTable();
  const engines = new Map<string, FakeEngine>();
  const daemons: FakeDaemon[] = [];
  const listed = new Map<InstanceId, InstanceEntry>();
  const config = new BehaviorSubject<Config>(EMPTY_CONFIG);
  const entries = new Map<string, GossipEntry>();

  const late: (() => unknown)[] = [];
  const staleOrders: string[] = [];
  const log: string[] = [];
  const note = (message: string, fields: LogFields = {}): void => {
    log.push(`${now} ${message} ${JSON.stringify(fields)}`);
  };

  const settle = async (): Promise<void> => {
    for (let i = 0; i < MICROTASKS; i++) await Promise.resolve();
  };

  const noteStale = (id: string, order: EngineOrder, by: OrderAuthority): void => {
    const fence = table.rows.get(`lease/${by.domain}#fence`)?.value as { fencing: number };
    if (by.fencing < fence.fencing) staleOrders.push(`${id}: ${order.kind} under ${by.fencing}`);
  };

  const peers = (): readonly PeerInfo[] =>
    daemons
      .filter((daemon) => daemon.running)
      .map(({ id }) => ({
        id,
        address: `${id}:1`,
        zone: 'z' as ZoneId,
        state: 'alive',
        configVersion: config.value.version,
      }));

  const gossipOf = (self: () => FakeDaemon): Gossip => ({
    publish: (topic, key, value, expiresAt) => {
      const { id, partitioned: cut } = self();
      const known = entries.get(`${topic} ${key} ${id}`);
      const entry = {
        topic,
        key,
        origin: id,
        version: (known?.version ?? 0) + 1,
        value,
        expiresAt,
      };
      entries.set(`${topic} ${key} ${id}`, entry);
      if (cut.gossip) return;
      for (const other of daemons) {
        if (other.id !== id && other.running && !other.partitioned.gossip)
          other.received.next(entry);
      }
    },
    get received() {
      return self().received;
    },
    entries: (topic) =>
      [...entries.values()].filter(
        (entry) => entry.topic === topic && entry.expiresAt > EPOCH_START + now,
      ),
  });

  const engineOf = (self: () => FakeDaemon): Engine => {
    const find = (address: string) =>
      self().partitioned.engines ? undefined : engines.get(address.replace(/:1$/, ''));
    const unreachable = errAsync(
      fail('unavailable', 'the engine is unreachable', { step: 'engine' }),
    );
    return {
      report: (address) => {
        const engine = find(address);
        return engine?.up === true ? okAsync(reportOf(engine)) : unreachable;
      },
      order: (address, order, by) => {
        const engine = find(address);
        if (engine?.up !== true) return unreachable;
        noteStale(self().id, order, by);
        if (self().lateOrders > 0) {
          self().lateOrders--;
          late.push(() =>
            executeOrder(engine, order, { fencing: by.fencing, loadedAt: now + loadMs }, now),
          );
          return errAsync(
            fail('backend-lost', 'the answer was lost', { step: 'order', peer: address }),
          );
        }
        const answer = executeOrder(
          engine,
          order,
          { fencing: by.fencing, loadedAt: now + loadMs },
          now,
        );
        if (answer === 'done') return okAsync(reportOf(engine));
        return errAsync(fail('conflict', answer, { step: 'order', peer: address }));
      },
    };
  };

  const tableOf = (self: () => FakeDaemon): Table => {
    const unreachable = () =>
      errAsync(fail('store-unavailable', 'the table is unreachable', { step: 'table' }));
    return {
      read: (keys) => (self().partitioned.table ? unreachable() : table.read(keys)),
      scan: (prefix, after) =>
        self().partitioned.table ? unreachable() : table.scan(prefix, after),
      commit: (tx) => (self().partitioned.table ? unreachable() : table.commit(tx)),
    };
  };

  const addDaemon = async (id: string): Promise<FakeDaemon> => {
    const self = (): FakeDaemon => daemon;
    const changes = new Subject<readonly PeerInfo[]>();
    const rate = 1 + drift * ((daemons.length % 3) - 1);
    const control = createControl(
      {
        self: id as DaemonId,
        table: tableOf(self),
        instances: { list: () => okAsync([...listed.values()]) },
        engine: engineOf(self),
        config: { current: () => config.value, changes: config },
        membership: { self: id as DaemonId, peers, changes },
        gossip: gossipOf(self),
        clock: {
          now: () => (now * rate) as MonoTime,
          epoch: () => (EPOCH_START + now) as EpochTime,
        },
        random: createRandom(seed + daemons.length),
        logger: { debug: ignore, info: note, warn: ignore, error: ignore },
        ...(options.settings && { settings: options.settings }),
      },
      { ticks: NEVER },
    );
    const daemon: FakeDaemon = {
      id: id as DaemonId,
      control,
      rate,
      running: true,
      lateOrders: 0,
      partitioned: { gossip: false, table: false, engines: false },
      received: new Subject(),
    };
    daemons.push(daemon);
    await control.start();
    return daemon;
  };

  const advance = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      now += STEP_MS;
      for (const engine of engines.values()) advanceEngine(engine, engines, now);
      for (const daemon of daemons) {
        if (daemon.running) daemon.control.tick();
      }
      await settle();
      options.onStep?.(world);
    }
  };

  const world: World = {
    table,
    engines,
    daemons,
    config,
    listed,
    now: () => now,
    advance,
    settle,
    staleOrders,
    log,
    flushLate: () => {
      table.flushLate();
      for (const deliver of late.splice(0)) deliver();
    },
    kill: (daemon) => {
      daemon.running = false;
      daemons.splice(daemons.indexOf(daemon), 1);
    },
    addDaemon,
    addEngine: (id, domain, engineOptions = {}) => {
      const engine = createFakeEngine({ id, ...engineOptions });
      engines.set(id, engine);
      listed.set(engine.id, {
        id: engine.id,
        role: 'engine',
        address: engine.address,
        zone: 'z' as ZoneId,
        domain: domain as DomainId,
        accelerators: 8,
        state: 'live',
        checksFencing: engine.checksFencing,
      });
      return engine;
    },
    routable: (model) =>
      daemons
        .filter((daemon) => daemon.running)
        .map((daemon) =>
          daemon.control
            .routable(model as ModelId)
            .map((group) => `${group.id}@${group.epoch}`)
            .join(' '),
        ),
  };
  return world;
}

function ignore(): void {
  return undefined;
}

/** Values of all rows whose keys begin with a prefix. */
export function rowsBelow(table: FakeTable, prefix: string): readonly Json[] {
  return [...table.rows.values()]
    .filter(({ key }) => key.startsWith(prefix))
    .map((row) => row.value);
}

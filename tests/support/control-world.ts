/** Several control planes on one injected clock, over in-memory ports. */

import { BehaviorSubject, NEVER, Subject } from 'rxjs';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';

import { createRandom } from '../../src/adapters/runtime';
import { createControl } from '../../src/app/control/control';
import type { ControlOverrides, DrivenControl } from '../../src/app/control/control';
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
import type { Engine } from '../../src/ports/engine';
import type { InstanceEntry, Json, Row, Table } from '../../src/ports/platform';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';
import { createFakeEngine, obey, passTime, reportOf } from './control-engine';
import type { FakeEngine } from './control-engine';

export const EPOCH_START = 1_700_000_000_000;
const STEP_MS = 100;

export interface FakeTable extends Table {
  readonly rows: Map<string, Row>;
  down: boolean;
  /** The next writes take effect but their answers are lost. */
  lostAnswers: number;
  reads: number;
  commits: number;
}

export function createFakeTable(): FakeTable {
  let counter = 0;
  const unavailable = <T>(): ResultAsync<T, StepError> =>
    errAsync(fail('store-unavailable', 'down', { step: 'table' }));
  const table: FakeTable = {
    rows: new Map(),
    down: false,
    lostAnswers: 0,
    reads: 0,
    commits: 0,
    read: (keys) => {
      table.reads++;
      if (table.down) return unavailable();
      return okAsync(keys.flatMap((key) => table.rows.get(key) ?? []));
    },
    scan: (prefix) => {
      table.reads++;
      if (table.down) return unavailable();
      const keys = [...table.rows.keys()].filter((key) => key.startsWith(prefix)).sort();
      return okAsync({ rows: keys.flatMap((key) => table.rows.get(key) ?? []) });
    },
    commit: ({ conditions, writes }) => {
      table.commits++;
      if (table.down) return unavailable();
      for (const { key, version } of conditions) {
        if ((table.rows.get(key)?.version ?? 0) === version) continue;
        return errAsync(fail('conflict', key, { step: 'commit' }));
      }
      const versions: Record<string, number> = {};
      counter++;
      for (const { key, value } of writes) {
        if (value === undefined) table.rows.delete(key);
        else table.rows.set(key, { key, version: (versions[key] = counter), value });
      }
      if (table.lostAnswers === 0) return okAsync({ versions });
      table.lostAnswers--;
      return errAsync(fail('store-unknown', 'answer lost', { step: 'commit' }));
    },
  };
  return table;
}

export interface FakeDaemon {
  readonly id: DaemonId;
  readonly control: DrivenControl;
  /** Frozen or dead: its ticks don't run. */
  running: boolean;
  /** Cut off from the other daemons, the table and the engines, each by itself. */
  readonly cut: { gossip: boolean; table: boolean; engines: boolean };
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
  /** Lets answers come in, no time passing. */
  settle(): Promise<void>;
  addDaemon(id: string): Promise<FakeDaemon>;
  addEngine(id: string, domain: string, options?: { checksFencing?: boolean }): FakeEngine;
  routable(model: string): readonly string[];
}

export interface WorldOptions {
  readonly seed?: number;
  readonly loadMs?: number;
  readonly settings?: ControlOverrides;
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
  const { seed = 1, loadMs = 5_000 } = options;
  let now = 0;
  const table = createFakeTable();
  const engines = new Map<string, FakeEngine>();
  const daemons: FakeDaemon[] = [];
  const listed = new Map<InstanceId, InstanceEntry>();
  const config = new BehaviorSubject<Config>(EMPTY_CONFIG);
  const entries = new Map<string, GossipEntry>();

  const settle = async (): Promise<void> => {
    for (let i = 0; i < 3; i++) await new Promise((resolve) => setImmediate(resolve));
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
      const { id, cut } = self();
      const known = entries.get(`${topic} ${key}`);
      const entry = {
        topic,
        key,
        origin: id,
        version: (known?.version ?? 0) + 1,
        value,
        expiresAt,
      };
      entries.set(`${topic} ${key}`, entry);
      if (cut.gossip) return;
      for (const other of daemons) {
        if (other.id !== id && other.running && !other.cut.gossip) other.received.next(entry);
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
      self().cut.engines ? undefined : engines.get(address.replace(/:1$/, ''));
    const unreachable = errAsync(fail('unavailable', 'not reached', { step: 'engine' }));
    return {
      report: (address) => {
        const engine = find(address);
        return engine?.up === true ? okAsync(reportOf(engine)) : unreachable;
      },
      order: (address, order, by) => {
        const engine = find(address);
        if (engine?.up !== true) return unreachable;
        const answer = obey(engine, order, { fencing: by.fencing, loadedAt: now + loadMs }, now);
        if (answer === 'done') return okAsync(reportOf(engine));
        return errAsync(fail('conflict', answer, { step: 'order', peer: address }));
      },
    };
  };

  const tableOf = (self: () => FakeDaemon): Table => {
    const cut = () => errAsync(fail('store-unavailable', 'cut off', { step: 'table' }));
    return {
      read: (keys) => (self().cut.table ? cut() : table.read(keys)),
      scan: (prefix, after) => (self().cut.table ? cut() : table.scan(prefix, after)),
      commit: (tx) => (self().cut.table ? cut() : table.commit(tx)),
    };
  };

  const addDaemon = async (id: string): Promise<FakeDaemon> => {
    const self = (): FakeDaemon => daemon;
    const changes = new Subject<readonly PeerInfo[]>();
    const control = createControl(
      {
        self: id as DaemonId,
        table: tableOf(self),
        instances: { list: () => okAsync([...listed.values()]) },
        engine: engineOf(self),
        config: { current: () => config.value, changes: config },
        membership: { self: id as DaemonId, peers, changes },
        gossip: gossipOf(self),
        clock: { now: () => now as MonoTime, epoch: () => (EPOCH_START + now) as EpochTime },
        random: createRandom(seed + daemons.length),
        logger: { debug: ignore, info: ignore, warn: ignore, error: ignore },
        ...(options.settings && { settings: options.settings }),
      },
      { ticks: NEVER },
    );
    const daemon: FakeDaemon = {
      id: id as DaemonId,
      control,
      running: true,
      cut: { gossip: false, table: false, engines: false },
      received: new Subject(),
    };
    daemons.push(daemon);
    await control.start();
    return daemon;
  };

  const advance = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      now += STEP_MS;
      for (const engine of engines.values()) passTime(engine, engines, now);
      for (const daemon of daemons) {
        if (daemon.running) daemon.control.tick();
      }
      await settle();
    }
  };

  return {
    table,
    engines,
    daemons,
    config,
    listed,
    now: () => now,
    advance,
    settle,
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
}

function ignore(): void {
  return undefined;
}

/** Values of all rows below a prefix. */
export function rowsBelow(table: FakeTable, prefix: string): readonly Json[] {
  return [...table.rows.values()]
    .filter(({ key }) => key.startsWith(prefix))
    .map((row) => row.value);
}

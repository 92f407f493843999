/**
 * Measures the time from the acceptance of a configuration change until all seven daemons apply it,
 * over loopback TCP and the platform's stand-in: with the push working, with every push lost, and
 * after a partition of one daemon from the table and its peers has healed.
 */

import { ResultAsync, errAsync } from 'neverthrow';

import { createTable } from '../src/adapters/platform/table';
import { createClock, createRandom } from '../src/adapters/runtime';
import { createConfig } from '../src/app/config/config';
import type { ConfigPart, Gossip } from '../src/app/parts';
import type { ConfigVersion } from '../src/core/ids';
import type { Table } from '../src/ports/platform';
import type { Logger } from '../src/ports/runtime';
import { fail } from '../src/utils/errors';
import { startPlatform } from '../stand-ins/platform/platform';
import { documentWith } from '../tests/support/config-documents';
import { startFleet, until } from '../tests/support/membership-daemons';
import type { Fleet } from '../tests/support/membership-daemons';
import { quantile, round } from './statistics';

const DAEMONS = 7;
const CHANGES = 200;
/** Thirty times the rate of 7,500 changes a day. */
const CHANGE_EVERY_MS = 400;
const ROUNDS = 20;
const TABLE_TIMEOUT_MS = 2000;
const CUT_MS = 1000;

interface BenchDaemon {
  readonly config: ConfigPart;
  /** Time at which each version, or a newer one, first took effect. */
  readonly reached: Map<number, number>;
  cut: boolean;
}

interface System {
  readonly fleet: Fleet;
  readonly daemons: readonly BenchDaemon[];
  stop(): Promise<void>;
}

const ignore = (): void => undefined;
const SILENT: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Wraps the table of one daemon: during a partition, calls hang until their timeout. */
function withPartition(table: Table, isPartitioned: () => boolean): Table {
  const lost = <T>(step: string) =>
    ResultAsync.fromSafePromise(sleep(TABLE_TIMEOUT_MS)).andThen(() =>
      errAsync<T, ReturnType<typeof fail>>(fail('store-unavailable', 'cut off', { step })),
    );
  return {
    read: (keys) => (isPartitioned() ? lost('read') : table.read(keys)),
    scan: (prefix, after) => (isPartitioned() ? lost('scan') : table.scan(prefix, after)),
    commit: (transaction) => (isPartitioned() ? lost('commit') : table.commit(transaction)),
  };
}

function withoutPush(gossip: Gossip): Gossip {
  return { publish: ignore, received: gossip.received, entries: (topic) => gossip.entries(topic) };
}

function recordReached(reached: Map<number, number>, version: number): void {
  const now = performance.now();
  for (let v = version; v > 0 && !reached.has(v); v -= 1) reached.set(v, now);
}

async function startSystem(push: boolean): Promise<System> {
  const platform = await startPlatform();
  const fleet = await startFleet({ count: DAEMONS, settings: {} });
  const daemons = fleet.daemons.map((member, i): BenchDaemon => {
    const daemon: BenchDaemon = {
      reached: new Map(),
      cut: false,
      config: createConfig({
        self: member.id,
        table: withPartition(createTable({ address: platform.address }), () => daemon.cut),
        gossip: push ? member.part.gossip : withoutPush(member.part.gossip),
        direct: member.part.direct,
        peers: () => member.part.peers(),
        clock: createClock(),
        random: createRandom(i + 1),
        logger: SILENT,
      }),
    };
    daemon.config.changes.subscribe(({ version }) => {
      member.configVersion = version;
      recordReached(daemon.reached, version);
    });
    return daemon;
  });
  await until('all daemons know each other', () =>
    fleet.daemons.every(({ part }) => part.peers().length === DAEMONS),
  );
  await Promise.all(daemons.map(({ config }) => config.start()));
  return {
    fleet,
    daemons,
    stop: async () => {
      await Promise.all(daemons.map(({ config }) => config.stop()));
      await fleet.stop();
      await platform.close();
    },
  };
}

/** Submits a change through the daemons in rotation; returns the time of its acceptance. */
async function change(system: System, version: number, among: number): Promise<number> {
  const daemon = system.daemons[version % among];
  const done = await daemon?.config.submit({
    changeId: `change-${version}`,
    ifVersion: (version - 1) as ConfigVersion,
    document: documentWith(1 + (version % 9)),
  });
  if (done === undefined || done.isErr())
    throw done?.error ?? new RangeError('the fleet has no daemons');
  return performance.now();
}

async function allReached(system: System, version: number): Promise<void> {
  await until(`version ${version} is in force everywhere`, () =>
    system.daemons.every(({ reached }) => reached.has(version)),
  );
}

function spreadMs(system: System, version: number, from: number): number {
  const last = Math.max(...system.daemons.map(({ reached }) => reached.get(version) ?? Infinity));
  return Math.max(0, last - from);
}

/** `among`: number of submitting daemons; 1 if pushes are lost, as each knows its own changes. */
async function measureSteady(push: boolean, among: number): Promise<readonly number[]> {
  const system = await startSystem(push);
  const accepted: number[] = [];
  for (let version = 1; version <= CHANGES; version += 1) {
    accepted.push(await change(system, version, among));
    await sleep(CHANGE_EVERY_MS);
  }
  await allReached(system, CHANGES);
  const times = accepted.map((from, i) => spreadMs(system, i + 1, from));
  await system.stop();
  return times;
}

/** Time from the end of each partition of the last daemon until it applies the newest version. */
async function measureHealed(): Promise<readonly number[]> {
  const system = await startSystem(true);
  const last = system.daemons.at(-1);
  const id = system.fleet.daemons.at(-1)?.id ?? '';
  if (!last) throw new RangeError('the fleet has no daemons');
  const times: number[] = [];
  let version = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    last.cut = true;
    system.fleet.partition(id);
    for (let i = 0; i < CHANGES / ROUNDS; i += 1) {
      version += 1;
      await change(system, version, DAEMONS - 1);
    }
    await sleep(CUT_MS);
    last.cut = false;
    system.fleet.heal(id);
    const healed = performance.now();
    await allReached(system, version);
    times.push(spreadMs(system, version, healed));
  }
  await system.stop();
  return times;
}

function row(scenario: string, goalMs: number, times: readonly number[]): object {
  return {
    scenario,
    daemons: DAEMONS,
    changes: CHANGES,
    samples: times.length,
    medianMs: round(quantile(times, 0.5), 1),
    worstMs: round(Math.max(...times), 1),
    goalMs,
  };
}

export async function benchConfigPropagation(): Promise<readonly object[]> {
  return [
    row('push', 1000, await measureSteady(true, DAEMONS)),
    row('every push lost', 5000, await measureSteady(false, 1)),
    row('one daemon cut off, then healed', 5000, await measureHealed()),
  ];
}

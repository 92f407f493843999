/** Configuration parts of several daemons that share a fake table and a fake hub. */

import { filter, firstValueFrom, timeout } from 'rxjs';

import { createClock, createRandom } from '../../src/adapters/runtime';
import { createConfig } from '../../src/app/config/config';
import type { ConfigSettings } from '../../src/app/config/settings';
import type { AcceptedConfig, ConfigPart } from '../../src/app/parts';
import type { ConfigVersion } from '../../src/core/ids';
import type { Logger } from '../../src/ports/runtime';
import { documentWith } from './config-documents';
import { createFakeHub } from './fake-hub';
import type { FakeHub } from './fake-hub';
import { createFakeTable } from './fake-table';
import type { FakeTable, TableFaults } from './fake-table';

export interface ConfigDaemon {
  readonly config: ConfigPart;
  readonly faults: TableFaults;
  /** Codes of the errors that it logged. */
  readonly alarms: string[];
}

export interface ConfigWorld {
  readonly table: FakeTable;
  readonly hub: FakeHub;
  addDaemon(id: string): ConfigDaemon;
  stop(): Promise<void>;
}

const FAST_SETTINGS: Partial<ConfigSettings> = { pollMs: 20, submitTimeoutMs: 300 };

function logTo(alarms: string[]): Logger {
  const ignore = (): void => undefined;
  return {
    debug: ignore,
    info: ignore,
    warn: ignore,
    error: (_, fields) => alarms.push(fields?.code ?? ''),
  };
}

export function createConfigWorld(settings: Partial<ConfigSettings> = {}): ConfigWorld {
  const table = createFakeTable();
  const hub = createFakeHub();
  const started: ConfigPart[] = [];

  function daemon(id: string): ConfigDaemon {
    const client = table.client();
    const alarms: string[] = [];
    const member = hub.join(id, () => config.current().version);
    const config = createConfig({
      ...member,
      table: client.table,
      clock: createClock(),
      random: createRandom(started.length),
      logger: logTo(alarms),
      settings: { ...FAST_SETTINGS, ...settings },
    });
    started.push(config);
    return { config, faults: client.faults, alarms };
  }

  return {
    table,
    hub,
    addDaemon: daemon,
    stop: async () => {
      await Promise.all(started.map((config) => config.stop()));
    },
  };
}

/** Resolves once `version` is in force. */
export async function inForce(config: ConfigPart, version: number): Promise<void> {
  const reached = filter(({ version: now }: { version: number }) => now >= version);
  await firstValueFrom(config.changes.pipe(reached, timeout(10_000)));
}

/** The share in force that {@link documentWith} sets. */
export function shareIn(config: ConfigPart): number | undefined {
  return config.current().organisations.brest?.share;
}

/** Submits a document with the given share as a change of version `from`; throws if refused. */
export async function amend(
  { config }: ConfigDaemon,
  changeId: string,
  share: number,
  from: number,
): Promise<AcceptedConfig> {
  const ifVersion = from as ConfigVersion;
  const done = await config.submit({ changeId, ifVersion, document: documentWith(share) });
  if (done.isErr()) throw done.error;
  return done.value;
}

import { errAsync, okAsync } from 'neverthrow';
import { expect, it } from 'vitest';

import { createRefusedRow } from '../../src/app/gateway/quarantine/refused-row';
import type { RefusedUpdate } from '../../src/core/gateway/refused-requests';
import { brandAs, later } from '../../src/core/ids';
import type { FencingNumber, Fingerprint } from '../../src/core/ids';
import { FIRST_ERA } from '../../src/core/store-era';
import type { EraTable } from '../../src/ports/gateway';
import type { Json } from '../../src/ports/platform';
import { fail } from '../../src/utils/errors';
import { at, makeContext } from './support';

const DAY_MS = 86_400_000;
const RETRY_MS = 1_100;
const ENTRY: RefusedUpdate = [brandAs<Fingerprint>('owner-1'), DAY_MS, null];

/** A store with one row, which can be away. */
function createTable() {
  let version = 0;
  let value: Json | undefined;
  const table = { isAway: false, calls: 0 };
  const away = () => errAsync(fail('store-unavailable', 'away', { step: 'store' }));
  const rows: EraTable = {
    read: (key) => {
      table.calls += 1;
      const row = value === undefined ? [] : [{ key, version, value }];
      return table.isAway ? away() : okAsync({ era: FIRST_ERA, rows: row });
    },
    commit: ({ conditions, writes }) => {
      table.calls += 1;
      if (table.isAway) return away();
      if (conditions[0]?.version !== version)
        return errAsync(fail('conflict', 'another version', { step: 'store' }));
      version += 1;
      value = writes[0]?.value;
      return okAsync({ versions: { [writes[0]?.key ?? '']: version } });
    },
  };
  return Object.assign(table, { rows });
}

function createDaemon(rows: EraTable) {
  let now = at(0);
  const daemon = { isLeading: true, refused: [] as RefusedUpdate[], received: [] as string[] };
  const ctx = makeContext({ clock: { now: () => now, epoch: () => brandAs(now + 1e12) } });
  const row = createRefusedRow(ctx, {
    table: rows,
    leadership: { heldFencing: () => (daemon.isLeading ? brandAs<FencingNumber>(1) : undefined) },
    quarantine: {
      digest: () => daemon.refused.length,
      refused: () => daemon.refused,
      applyRefused: (updates) => {
        daemon.received.push(...updates.map(([fingerprint]) => fingerprint));
      },
    },
  });
  const run = async (ms = 1): Promise<void> => {
    now = later(now, ms);
    row.tick();
    for (let n = 0; n < 10; n++) await Promise.resolve();
  };
  return Object.assign(daemon, { run });
}

// Guards against a fatal request that is forgotten when all daemons are lost.
it('keeps refused requests in the store for the next leader, and writes only changes', async () => {
  const table = createTable();
  const first = createDaemon(table.rows);
  await first.run();
  first.refused = [ENTRY];
  await first.run();
  const { calls } = table;
  await first.run();
  expect(table.calls).toBe(calls);

  const second = createDaemon(table.rows);
  second.isLeading = false;
  await second.run();
  expect(second.received).toEqual([]);
  second.isLeading = true;
  await second.run();
  expect(second.received).toEqual(['owner-1']);
});

it('tries again while the store is away, and after another leader has written', async () => {
  const table = createTable();
  const [one, two] = [createDaemon(table.rows), createDaemon(table.rows)];
  await one.run();
  await two.run();
  table.isAway = true;
  one.refused = [ENTRY];
  await one.run();
  table.isAway = false;
  await one.run();
  expect(two.received).toEqual([]);
  await one.run(RETRY_MS);
  await one.run();
  two.refused = [[brandAs<Fingerprint>('owner-2'), DAY_MS, null]];
  await two.run();
  await two.run(RETRY_MS);
  expect(two.received).toEqual(['owner-1']);
});

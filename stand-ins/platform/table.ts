/** In-memory table with atomic transactions: conditions on row versions, then writes. */

import { compareText } from '../../src/utils/common';
import type { Committed, Json, Row, ScanPage, Transaction } from '../../src/ports/platform';

const MAX_SCAN_ROWS = 1000;

/** Key of the first row whose version did not match; nothing was written. */
export interface Conflict {
  readonly conflict: string;
}

export interface TableState {
  readonly rows: Map<string, { version: number; value: Json }>;
  /** Last assigned version; incremented with each write of any row. */
  lastVersion: number;
}

export function createTable(): TableState {
  return { rows: new Map(), lastVersion: 0 };
}

export function readRows(table: TableState, keys: readonly string[]): readonly Row[] {
  return keys.flatMap((key) => {
    const row = table.rows.get(key);
    return row === undefined ? [] : [{ key, ...row }];
  });
}

/** One page of rows by key order; `after` is set where more rows follow. */
export function scanRows(
  table: TableState,
  prefix: string,
  after: string | undefined,
  limit = MAX_SCAN_ROWS,
): ScanPage {
  const keys = [...table.rows.keys()]
    .filter((key) => key.startsWith(prefix) && (after === undefined || key > after))
    .sort(compareText);
  const page = keys.slice(0, Math.min(limit, MAX_SCAN_ROWS));
  const last = page.at(-1);
  const rows = readRows(table, page);
  return keys.length > page.length && last !== undefined ? { rows, after: last } : { rows };
}

/** Commits a transaction, or returns its first conflict. Deleted rows have version 0. */
export function commitRows(
  table: TableState,
  { conditions, writes }: Transaction,
): Committed | Conflict {
  const failed = conditions.find(
    ({ key, version }) => (table.rows.get(key)?.version ?? 0) !== version,
  );
  if (failed !== undefined) return { conflict: failed.key };
  const versions: Record<string, number> = {};
  for (const { key, value } of writes) {
    table.lastVersion += 1;
    if (value === undefined) {
      table.rows.delete(key);
      continue;
    }
    table.rows.set(key, { version: table.lastVersion, value });
    versions[key] = table.lastVersion;
  }
  return { versions };
}

/** An in-memory table service with fault switches, for tests of the table's clients. */

import { ResultAsync, err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { Committed, Row, ScanPage, Table, Transaction } from '../../src/ports/platform';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';

/** Faults between one client and the table; each may be set at any time. */
export interface TableFaults {
  /** Fails every call before it takes effect. */
  down: boolean;
  /** The next n commits take effect, but their answers are lost. */
  lostAnswers: number;
  /** The next n commits are lost before they take effect. */
  lostRequests: number;
  /** The next n commits get no answer and take effect only when `settle` is called. */
  lateRequests: number;
  /** Delay of each call, milliseconds. */
  slowMs: number;
}

/** A client's table and its fault switches. */
export interface TableClient {
  readonly table: Table;
  readonly faults: TableFaults;
}

/** The rows, with counts of the calls that reached them. */
export interface FakeTable {
  /** Creates a client of the shared rows with its own fault switches. */
  client(): TableClient;
  /** Applies the late requests of all clients. */
  settle(): void;
  readonly rows: Map<string, Row>;
  readonly counts: { reads: number; commits: number };
}

const PAGE_SIZE = 1000;

function findConflict(rows: Map<string, Row>, transaction: Transaction): string | undefined {
  const failed = transaction.conditions.find(
    ({ key, version }) => (rows.get(key)?.version ?? 0) !== version,
  );
  return failed?.key;
}

/** Creates an empty table. */
export function createFakeTable(): FakeTable {
  const rows = new Map<string, Row>();
  const counts = { reads: 0, commits: 0 };
  const late: Transaction[] = [];
  let counter = 0;

  function apply(transaction: Transaction): Result<Committed, StepError> {
    const conflict = findConflict(rows, transaction);
    if (conflict !== undefined) return err(fail('conflict', conflict, { step: 'commit' }));
    counter += 1;
    const versions: Record<string, number> = {};
    for (const { key, value } of transaction.writes) {
      rows.delete(key);
      if (value === undefined) continue;
      rows.set(key, { key, version: counter, value: structuredClone(value) });
      versions[key] = counter;
    }
    return ok({ versions });
  }

  function scanRows(prefix: string, after?: string): ScanPage {
    const found = [...rows.values()]
      .filter(({ key }) => key.startsWith(prefix) && (after === undefined || key > after))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = found.slice(0, PAGE_SIZE);
    const last = page.at(-1)?.key;
    return found.length > PAGE_SIZE && last !== undefined
      ? { rows: page, after: last }
      : { rows: page };
  }

  function commitWithFaults(
    faults: TableFaults,
    transaction: Transaction,
  ): Result<Committed, StepError> {
    const unknown = fail('store-unknown', 'the answer to the commit was lost', { step: 'commit' });
    if (faults.lostRequests > 0) {
      faults.lostRequests -= 1;
      return err(unknown);
    }
    if (faults.lateRequests > 0) {
      faults.lateRequests -= 1;
      late.push(transaction);
      return err(unknown);
    }
    counts.commits += 1;
    const result = apply(transaction);
    if (faults.lostAnswers === 0) return result;
    faults.lostAnswers -= 1;
    return err(unknown);
  }

  function client(): TableClient {
    const faults: TableFaults = {
      down: false,
      lostAnswers: 0,
      lostRequests: 0,
      lateRequests: 0,
      slowMs: 0,
    };
    function call<T>(step: string, run: () => Result<T, StepError>): ResultAsync<T, StepError> {
      const delayed = async (): Promise<Result<T, StepError>> => {
        if (faults.slowMs > 0) await new Promise((done) => setTimeout(done, faults.slowMs));
        if (faults.down) return err(fail('store-unavailable', 'the table is down', { step }));
        return run();
      };
      return new ResultAsync(delayed());
    }
    const table: Table = {
      read: (keys) =>
        call('read', () => {
          counts.reads += 1;
          return ok(keys.flatMap((key) => rows.get(key) ?? []));
        }),
      scan: (prefix, after) =>
        call('scan', () => {
          counts.reads += 1;
          return ok(scanRows(prefix, after));
        }),
      commit: (transaction) => call('commit', () => commitWithFaults(faults, transaction)),
    };
    return { table, faults };
  }

  function settle(): void {
    for (const transaction of late.splice(0)) apply(transaction);
  }

  return { client, settle, rows, counts };
}

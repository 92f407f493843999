/** A fake table service in memory, with fault injection. */

import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';

import type { Committed, Row, Table, Transaction } from '../../src/ports/platform';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';

export interface FakeTable extends Table {
  readonly rows: Map<string, Row>;
  down: boolean;
  /** Number of next commits that take effect but whose answers are lost. */
  lostAnswers: number;
  /** Number of next commits whose answers are lost, and that take effect only at `flushLate`. */
  lateCommits: number;
  /** Only commits that write a key with this prefix are late. */
  latePrefix: string;
  reads: number;
  commits: number;
  /** Applies the late commits. */
  flushLate(): void;
  isLatePending(): boolean;
}

export function createFakeTable(): FakeTable {
  let counter = 0;
  const late: Transaction[] = [];
  const unavailable = <T>(): ResultAsync<T, StepError> =>
    errAsync(fail('store-unavailable', 'the table is down', { step: 'table' }));
  const unknown = (): ResultAsync<Committed, StepError> =>
    errAsync(fail('store-unknown', 'the answer was lost', { step: 'commit' }));

  const apply = ({ conditions, writes }: Transaction): ResultAsync<Committed, StepError> => {
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
    return okAsync({ versions });
  };

  const table: FakeTable = {
    rows: new Map(),
    down: false,
    lostAnswers: 0,
    lateCommits: 0,
    latePrefix: '',
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
    commit: (tx) => {
      table.commits++;
      if (table.down) return unavailable();
      const isLate = tx.writes.some(({ key }) => key.startsWith(table.latePrefix));
      if (table.lateCommits > 0 && isLate) {
        table.lateCommits--;
        late.push(tx);
        return unknown();
      }
      const done = apply(tx);
      if (table.lostAnswers === 0) return done;
      table.lostAnswers--;
      return unknown();
    },
    isLatePending: () => late.length > 0,
    flushLate: () => {
      for (const tx of late.splice(0)) void apply(tx);
    },
  };
  return table;
}

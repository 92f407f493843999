/** An in-memory store of rows that comes back from older copies; commits of a client can be held on their way. */

import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';

import { FIRST_ERA } from '../../src/core/store-era';
import type { StoreEra } from '../../src/core/store-era';
import type { EraTable } from '../../src/ports/gateway';
import type { Committed, Row, Transaction } from '../../src/ports/platform';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';

export interface EraClient {
  readonly table: EraTable;
  /** Keeps commits on their way; their sender hears that nobody knows what became of them. */
  hold(): void;
  /** Commits that were kept take effect where their conditions hold now; the others stay on their way. */
  deliver(): void;
}

export interface EraStore {
  /** A way to the rows; `noteEra` is told the era of each answer before the answer. */
  client(noteEra: (era: StoreEra) => void): EraClient;
  /** Comes back with the rows that it has now: versions go on from here, those given out since a copy go back. */
  copy(): () => void;
  rows(): readonly Row[];
}

export function createEraStore(): EraStore {
  let rows: ReadonlyMap<string, Row> = new Map();
  let counter = 0;
  let era = FIRST_ERA;

  const apply = ({ conditions, writes }: Transaction): Committed | undefined => {
    const holds = conditions.every(({ key, version }) => (rows.get(key)?.version ?? 0) === version);
    if (!holds) return undefined;
    counter += 1;
    const after = new Map(rows);
    for (const { key, value } of writes) {
      if (value === undefined) after.delete(key);
      else after.set(key, { key, version: counter, value });
    }
    rows = after;
    return { versions: Object.fromEntries(writes.map(({ key }) => [key, counter])) };
  };

  const client = (noteEra: (era: StoreEra) => void): EraClient => {
    const onTheWay: Transaction[] = [];
    let isHolding = false;
    return {
      table: {
        read: (prefix) => {
          noteEra(era);
          const read = [...rows.values()].filter(({ key }) => key.startsWith(prefix));
          return okAsync({ era, rows: read });
        },
        commit: (tx): ResultAsync<Committed, StepError> => {
          if (isHolding) {
            onTheWay.push(tx);
            return errAsync(fail('store-unknown', 'no answer', { step: 'commit' }));
          }
          noteEra(era);
          const committed = apply(tx);
          return committed
            ? okAsync(committed)
            : errAsync(fail('conflict', 'rows have changed', { step: 'commit' }));
        },
      },
      hold: () => {
        isHolding = true;
      },
      deliver: () => {
        for (const tx of onTheWay.splice(0)) if (!apply(tx)) onTheWay.push(tx);
      },
    };
  };

  return {
    client,
    copy: () => {
      const [copied, at] = [rows, counter];
      return () => {
        rows = copied;
        counter = at;
        era = (era + 1) as StoreEra;
      };
    },
    rows: () => [...rows.values()],
  };
}

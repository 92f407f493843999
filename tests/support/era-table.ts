/** An in-memory store that can be restored from older copies; commits of a client can be held in transit. */

import type { ResultAsync } from 'neverthrow';
import { errAsync, okAsync } from 'neverthrow';

import { FIRST_ERA } from '../../src/core/store-era';
import type { StoreEra } from '../../src/core/store-era';
import type { EraTable } from '../../src/ports/gateway';
import type { Committed, Row, Transaction } from '../../src/ports/platform';
import { fail } from '../../src/utils/errors';
import type { StepError } from '../../src/utils/errors';

/** A client of the store whose commits can be held. */
export interface EraClient {
  readonly table: EraTable;
  /** Holds further commits in transit; their sender gets `store-unknown`. */
  hold(): void;
  /** Applies the held commits whose conditions hold now; the others stay in transit. */
  deliver(): void;
}

/** Rows shared by all clients. */
export interface EraStore {
  /** Creates a client of the store; `noteEra` receives the era of each answer before the answer. */
  client(noteEra: (era: StoreEra) => void): EraClient;
  /**
   * Copies the rows and the version counter and returns a function that restores them in a new era. Versions
   * assigned since the copy are assigned again.
   */
  copy(): () => void;
  rows(): readonly Row[];
}

/** Creates an empty store in the first era. */
export function createEraStore(): EraStore {
  let rows: ReadonlyMap<string, Row> = new Map();
  let counter = 0;
  let era = FIRST_ERA;

  const apply = ({ conditions, writes }: Transaction): Committed | undefined => {
    const holds = conditions.every(({ key, version }) => (rows.get(key)?.version ?? 0) === version);
    if (!holds) return undefined;
    counter += 1;
    const nextRows = new Map(rows);
    for (const { key, value } of writes) {
      if (value === undefined) nextRows.delete(key);
      else nextRows.set(key, { key, version: counter, value });
    }
    rows = nextRows;
    return { versions: Object.fromEntries(writes.map(({ key }) => [key, counter])) };
  };

  const client = (noteEra: (era: StoreEra) => void): EraClient => {
    const inTransit: Transaction[] = [];
    let isHolding = false;
    return {
      table: {
        read: (prefix) => {
          noteEra(era);
          const found = [...rows.values()].filter(({ key }) => key.startsWith(prefix));
          return okAsync({ era, rows: found });
        },
        commit: (tx): ResultAsync<Committed, StepError> => {
          if (isHolding) {
            inTransit.push(tx);
            return errAsync(fail('store-unknown', 'no answer to the commit', { step: 'commit' }));
          }
          noteEra(era);
          const committed = apply(tx);
          return committed
            ? okAsync(committed)
            : errAsync(
                fail('conflict', 'a condition of the commit does not hold', { step: 'commit' }),
              );
        },
      },
      hold: () => {
        isHolding = true;
      },
      deliver: () => {
        for (const tx of inTransit.splice(0)) if (!apply(tx)) inTransit.push(tx);
      },
    };
  };

  return {
    client,
    copy: () => {
      const [copied, copiedCounter] = [rows, counter];
      return () => {
        rows = copied;
        counter = copiedCounter;
        era = (era + 1) as StoreEra;
      };
    },
    rows: () => [...rows.values()],
  };
}

/** Requests and the store of the daemons that share a quarantine in virtual time. */

import { okAsync } from 'neverthrow';

import type { Exchange } from '../../src/app/gateway/exchange';
import { FIRST_ERA } from '../../src/core/store-era';
import type { EraTable } from '../../src/ports/gateway';
import type { Json } from '../../src/ports/platform';

/** A request with the parts of its prompt that others may share. */
export function makeRequest(body: string, sharedParts: readonly string[] = []): Exchange {
  return {
    req: { method: 'POST', url: '/stream/x', headers: {} },
    caller: { kind: 'anonymous' },
    facts: sharedParts.length > 0 ? { model: 'model', sharedParts } : {},
    body: Buffer.from(body),
  } as unknown as Exchange;
}

/** A table with one row, which all daemons share. */
export function createRowTable(): EraTable {
  let version = 0;
  let value: Json | undefined;
  return {
    read: (key) => {
      const rows = value === undefined ? [] : [{ key, version, value }];
      return okAsync({ era: FIRST_ERA, rows });
    },
    commit: ({ writes }) => {
      version += 1;
      value = writes[0]?.value;
      return okAsync({ versions: { [writes[0]?.key ?? '']: version } });
    },
  };
}

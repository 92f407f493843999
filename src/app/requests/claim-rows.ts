/** Reads claim rows, which other versions of the program may have written. */

import * as z from 'zod';

import type { ClaimRow, VersionedRow } from '../../core/ledger/rows';
import type { Row } from '../../ports/platform';

const body = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('row'), base64: z.string() }),
  z.object({ kind: z.literal('object'), key: z.string() }),
  z.object({ kind: z.literal('none') }),
]);

const answer = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body,
});

const fields = {
  attempt: z.string(),
  holder: z.string(),
  bodyHash: z.string(),
  deadlineAt: z.number(),
  expiresAt: z.number(),
};

const claimRow = z.discriminatedUnion('state', [
  z.object({ state: z.literal('claimed'), ...fields }),
  z.object({ state: z.literal('unknown'), ...fields }),
  z.object({ state: z.literal('released'), ...fields }),
  z.object({ state: z.literal('finished'), answer, ...fields }),
]);

/** Undefined if the row is not a claim that this version understands. */
export function readClaimRow(row: Row): ClaimRow | undefined {
  const parsed = claimRow.safeParse(row.value);
  // The schema gives plain strings and numbers where the type has brands.
  return parsed.success ? (parsed.data as unknown as ClaimRow) : undefined;
}

/** The row as it was read; `undefined` if it is there and not understood. */
export function readSeenRow(row: Row | undefined): VersionedRow | undefined {
  if (row === undefined) return { version: 0, row: undefined };
  const claim = readClaimRow(row);
  return claim === undefined ? undefined : { version: row.version, row: claim };
}

/** Parses claim rows. Rows may have been written by other versions of the program. */

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

/** Parses a claim row. Returns undefined if this version does not understand it. */
export function readClaimRow(row: Row): ClaimRow | undefined {
  const parsed = claimRow.safeParse(row.value);
  // The schema yields plain strings and numbers where the type is branded.
  return parsed.success ? (parsed.data as unknown as ClaimRow) : undefined;
}

/**
 * Parses a claim row with its version; an absent row has version 0. Returns undefined if the row
 * exists but is not understood.
 */
export function readVersionedRow(row: Row | undefined): VersionedRow | undefined {
  if (row === undefined) return { version: 0, row: undefined };
  const claim = readClaimRow(row);
  return claim === undefined ? undefined : { version: row.version, row: claim };
}

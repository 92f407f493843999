/** The rows by which requests with an `Idempotency-Key` run at most once. */

import type { AttemptId, DaemonId, EpochTime, OrganisationId } from '../ids';

export const CLAIM_PREFIX = 'claim/';

/** The row of an organisation's key; `keyHash` keeps the key itself out of the table. */
export function claimRowKey(organisation: OrganisationId, keyHash: string): string {
  return `${CLAIM_PREFIX}${organisation}/${keyHash}`;
}

/** Where a stored answer's body is. */
export type StoredBody =
  | { readonly kind: 'row'; readonly base64: string }
  | { readonly kind: 'object'; readonly key: string }
  /** Too long to keep. */
  | { readonly kind: 'none' };

export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: StoredBody;
}

interface RowFields {
  /** Who claimed: a later insert by the same attempt is the same claim. */
  readonly attempt: AttemptId;
  readonly holder: DaemonId;
  /** Hash of method, path and body. */
  readonly bodyHash: string;
  /** The holder sends nothing after this. */
  readonly deadlineAt: EpochTime;
  /** The row may be swept after this. */
  readonly expiresAt: EpochTime;
}

/** The holder may have sent the request, or may yet. */
export interface ClaimedRow extends RowFields {
  readonly state: 'claimed';
}

/** Sent, and no whole answer came. */
export interface UnknownRow extends RowFields {
  readonly state: 'unknown';
}

/** Ran; the answer is kept. */
export interface FinishedRow extends RowFields {
  readonly state: 'finished';
  readonly answer: StoredAnswer;
}

/**
 * The holder has sent nothing and never will. A row, not its absence: an insert that is still under
 * way when its holder gives up finds the row and so can no longer take effect.
 */
export interface ReleasedRow extends RowFields {
  readonly state: 'released';
}

export type ClaimRow = ClaimedRow | UnknownRow | FinishedRow | ReleasedRow;

/** A row as it was read. Version 0: there is none. */
export interface VersionedRow {
  readonly version: number;
  readonly row: ClaimRow | undefined;
}

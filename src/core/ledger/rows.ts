/** Claim rows: with them, requests with an `Idempotency-Key` run at most once. */

import type { AttemptId, DaemonId, EpochTime, OrganisationId } from '../ids';

/** Prefix of the keys of all claim rows. */
export const CLAIM_PREFIX = 'claim/';

/** Row key of an organisation's idempotency key; hashed, so that the key itself is not stored. */
export function claimRowKey(organisation: OrganisationId, keyHash: string): string {
  return `${CLAIM_PREFIX}${organisation}/${keyHash}`;
}

/** Where the body of a stored answer is kept. */
export type StoredBody =
  | { readonly kind: 'row'; readonly base64: string }
  | { readonly kind: 'object'; readonly key: string }
  /** Too long to store. */
  | { readonly kind: 'none' };

/** An answer that is replayed for the same key and body. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: StoredBody;
}

interface RowFields {
  /** The attempt that claimed; a later insert by the same attempt is the same claim. */
  readonly attempt: AttemptId;
  readonly holder: DaemonId;
  /** Hash of method, path and body. */
  readonly bodyHash: string;
  /** The holder sends nothing after this instant. */
  readonly deadlineAt: EpochTime;
  /** The row may be swept after this instant. */
  readonly expiresAt: EpochTime;
}

/** The holder may have sent the request, or may still send it. */
export interface ClaimedRow extends RowFields {
  readonly state: 'claimed';
}

/** The request was sent, and no complete answer was received. */
export interface UnknownRow extends RowFields {
  readonly state: 'unknown';
}

/** The request ran and its answer is stored. */
export interface FinishedRow extends RowFields {
  readonly state: 'finished';
  readonly answer: StoredAnswer;
}

/**
 * The holder sent nothing and never will. This is a row rather than a deletion, so that an insert
 * still in flight when its holder releases the claim conflicts with it and can no longer take effect.
 */
export interface ReleasedRow extends RowFields {
  readonly state: 'released';
}

/** A claim, in any state. */
export type ClaimRow = ClaimedRow | UnknownRow | FinishedRow | ReleasedRow;

/** A row as read from the table; version 0 if there is none. */
export interface VersionedRow {
  readonly version: number;
  readonly row: ClaimRow | undefined;
}

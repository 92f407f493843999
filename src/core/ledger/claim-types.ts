/** States, events and effects of a claim. */

import type { AttemptId, DaemonId, EpochTime, MonoTime } from '../ids';
import type { ClaimRow, VersionedRow, StoredAnswer } from './rows';

/** The attempt that a claim is made for, its holder and its times. */
export interface ClaimTerms {
  readonly attempt: AttemptId;
  readonly holder: DaemonId;
  readonly bodyHash: string;
  /** Nothing is sent at or after this instant. */
  readonly deadline: MonoTime;
  /** The deadline as wall-clock time, for the row. */
  readonly deadlineAt: EpochTime;
  /** When the row may be swept. */
  readonly expiresAt: EpochTime;
  /** When the row of a released claim may be swept. */
  readonly releasedUntil: EpochTime;
}

/**
 * Phases of a claim:
 *
 * - `taking`: the insert is in progress.
 * - `reading`: the insert conflicted or its answer was lost, and the row is read.
 * - `held`: the claim is held and nothing was sent.
 * - `sent`: bytes of the request may have been sent.
 * - `closing`: the final write is in progress; nothing more is sent.
 * - `checking`: the final write conflicted or its answer was lost, and the row is read, at once or
 *   after a wait.
 * - `closed`: done.
 */
export type ClaimPhase = 'taking' | 'reading' | 'held' | 'sent' | 'closing' | 'checking' | 'closed';

/** State of a claim, as its holder sees it. */
export interface ClaimState {
  readonly terms: ClaimTerms;
  readonly phase: ClaimPhase;
  /** Row version on which the next write is conditional; 0 if there is no row. */
  readonly version: number;
  /** False once the holder has received `not-held`: it does not have the claim. */
  readonly isWanted: boolean;
  /** Failed tries of the current step. */
  readonly tries: number;
  /** The row to write when the claim closes. */
  readonly finalRow: ClaimRow | undefined;
}

/** Why the claim was not obtained. Nothing was or will be sent. */
export type NotHeldReason = 'store-unavailable' | 'store-unknown' | 'late';

/** Input of the claim reducer: answers of the table and steps of the request. */
export type ClaimEvent =
  | { readonly kind: 'begin' }
  /** The write in progress took effect. */
  | { readonly kind: 'written'; readonly version: number }
  /** The row had another version; nothing was written. */
  | { readonly kind: 'conflict' }
  /** Nothing was or will be written. */
  | { readonly kind: 'unavailable' }
  /** The write may have taken effect, or may still. */
  | { readonly kind: 'unanswered' }
  /** The row was read. */
  | { readonly kind: 'seen'; readonly seen: VersionedRow }
  /** The row could not be read. */
  | { readonly kind: 'unreadable' }
  /** The requested wait is over. */
  | { readonly kind: 'waited' }
  /** The holder is about to write to a connection, in this tick of the event loop. */
  | { readonly kind: 'send' }
  /** The backend server reported that it did not run the request. */
  | { readonly kind: 'refused' }
  /** Nothing more will be sent, and no complete answer was received. */
  | { readonly kind: 'give-up' }
  /** A complete answer was received. */
  | { readonly kind: 'answered'; readonly answer: StoredAnswer };

/** Output of the claim reducer. */
export type ClaimEffect =
  | { readonly kind: 'write'; readonly row: ClaimRow; readonly version: number }
  | { readonly kind: 'read' }
  | { readonly kind: 'wait'; readonly until: MonoTime }
  /** The claim is held; the request may be sent once `send` allows it. */
  | { readonly kind: 'held' }
  /** The idempotency key was used before; `row` is its claim. */
  | { readonly kind: 'exists'; readonly row: ClaimRow }
  | { readonly kind: 'not-held'; readonly reason: NotHeldReason }
  /** Answer to `send`: write to the connection in this tick. */
  | { readonly kind: 'may-send' }
  | { readonly kind: 'must-not-send' }
  /** The claim is done; `settled` is false if the final write was abandoned. */
  | { readonly kind: 'closed'; readonly settled: boolean };

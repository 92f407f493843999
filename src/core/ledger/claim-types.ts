/** States, events and effects of a claim. */

import type { AttemptId, DaemonId, EpochTime, MonoTime } from '../ids';
import type { ClaimRow, VersionedRow, StoredAnswer } from './rows';

/** What a claim is made for, and its limits. */
export interface ClaimTerms {
  readonly attempt: AttemptId;
  readonly holder: DaemonId;
  readonly bodyHash: string;
  readonly deadline: MonoTime;
  readonly deadlineAt: EpochTime;
  readonly expiresAt: EpochTime;
  /** When the row of a released claim may be swept. */
  readonly releasedUntil: EpochTime;
}

/**
 * - `taking`: the insert is under way.
 * - `reading`: the insert met another row, or its answer was lost.
 * - `held`: ours, nothing sent.
 * - `sent`: bytes may have left.
 * - `closing`: the last write is under way; nothing is sent any more.
 * - `checking`: the last write met another row, or its answer was lost.
 * - `closed`: nothing left to do.
 */
export type ClaimPhase = 'taking' | 'reading' | 'held' | 'sent' | 'closing' | 'checking' | 'closed';

export interface ClaimState {
  readonly terms: ClaimTerms;
  readonly phase: ClaimPhase;
  /** Version that the next write goes by. */
  readonly version: number;
  /** False once the caller has been told that the claim was not had. */
  readonly isWanted: boolean;
  /** Failed tries of the step under way. */
  readonly tries: number;
  /** What the row says at the end. */
  readonly last: ClaimRow | undefined;
}

/** Why a claim was not had. Nothing was sent, nor ever will be. */
export type NotHeldReason = 'store-unavailable' | 'store-unknown' | 'late';

export type ClaimEvent =
  | { readonly kind: 'begin' }
  /** The write under way took effect. */
  | { readonly kind: 'written'; readonly version: number }
  /** The row had another version; nothing was written. */
  | { readonly kind: 'conflict' }
  /** Nothing was written, nor will be. */
  | { readonly kind: 'unavailable' }
  /** The write may have taken effect, or may yet. */
  | { readonly kind: 'unanswered' }
  | { readonly kind: 'seen'; readonly seen: VersionedRow }
  | { readonly kind: 'unreadable' }
  /** The wait that was asked for is over. */
  | { readonly kind: 'waited' }
  /** About to write to a connection, in this tick. */
  | { readonly kind: 'send' }
  /** The backend server said that it did not run what was sent. */
  | { readonly kind: 'refused' }
  /** Nothing more will be sent, and no whole answer came. */
  | { readonly kind: 'give-up' }
  | { readonly kind: 'answered'; readonly answer: StoredAnswer };

export type ClaimEffect =
  | { readonly kind: 'write'; readonly row: ClaimRow; readonly version: number }
  | { readonly kind: 'read' }
  | { readonly kind: 'wait'; readonly until: MonoTime }
  | { readonly kind: 'held' }
  /** The key was used before. */
  | { readonly kind: 'exists'; readonly row: ClaimRow }
  | { readonly kind: 'not-held'; readonly reason: NotHeldReason }
  | { readonly kind: 'may-send' }
  | { readonly kind: 'must-not-send' }
  | { readonly kind: 'closed'; readonly settled: boolean };

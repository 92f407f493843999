/** Leases on fabric domains: rows, state, events and effects. */

import type { DaemonId, DomainId, FencingNumber, MonoTime } from '../ids';
import type { StoreEra } from '../store-era';

/** The row `lease/{domain}`; written anew, unchanged, at each renewal. */
export interface LeaseRow {
  readonly holder: DaemonId;
  /** Chosen at the holder's start: a restarted process with the same id is another holder. */
  readonly session: string;
  readonly fencing: FencingNumber;
  /** How long others wait after first seeing a version of this row, milliseconds. */
  readonly ttlMs: number;
  /** Handed back: the next holder need not wait. */
  readonly released: boolean;
}

/**
 * The row `lease/{domain}#fence`. Written only when the lease changes hands, so that a transaction
 * with its version as a condition conflicts with a new holder and never with a renewal.
 */
export interface FenceRow {
  readonly fencing: FencingNumber;
}

export interface LeaseSettings {
  readonly ttlMs: number;
  /** Taken off the holder's validity and added to the taker's wait: bounds clock drift. */
  readonly marginMs: number;
  readonly renewMs: number;
  /** How much later each further candidate tries for a free lease. */
  readonly rankDelayMs: number;
  /** How long a better-placed peer must stay so before the lease is handed to it. */
  readonly handoverMs: number;
}

export const LEASE_SETTINGS: LeaseSettings = {
  ttlMs: 10_000,
  marginMs: 1_000,
  renewMs: 2_500,
  rankDelayMs: 2_000,
  handoverMs: 15_000,
};

/** The rows as last read. `since` is when this daemon first saw this version. */
export interface SeenLease {
  readonly version: number;
  readonly row?: LeaseRow;
  readonly fenceVersion: number;
  readonly fencing: FencingNumber;
  readonly since: MonoTime;
}

/** The lease as its holder knows it. It may act only before `validUntil`. */
export interface HeldLease {
  readonly fencing: FencingNumber;
  readonly fenceVersion: number;
  readonly validUntil: MonoTime;
}

/** A commit whose result is not known yet. */
export interface PendingCommit {
  readonly kind: 'take' | 'renew' | 'release';
  readonly sentAt: MonoTime;
  /** Its conditions are versions of this era: in another one they may hold by chance. */
  readonly era: StoreEra;
  readonly row: LeaseRow;
}

/** An unbroken run of reads of the table. */
export interface TableContact {
  readonly since: MonoTime;
  readonly last: MonoTime;
}

export interface LeaseState {
  readonly domain: DomainId;
  readonly self: DaemonId;
  readonly session: string;
  readonly settings: LeaseSettings;
  /** Place among the candidates; 0 is the first choice, Infinity none. */
  readonly rank: number;
  readonly rankedAt: MonoTime;
  /** Already handed back once for a better-placed peer, of this ranking. */
  readonly hasOfferedHandover: boolean;
  readonly stopping: boolean;
  readonly reading: boolean;
  /** The newest era of the table that is known here. */
  readonly era: StoreEra;
  readonly seen?: SeenLease;
  /** When the rows were last read, and since when without a long gap. */
  readonly contact?: TableContact;
  readonly held?: HeldLease;
  readonly pending?: PendingCommit;
  /** Next renewal, or next try after a failed one. */
  readonly dueAt: MonoTime;
}

export interface SeenFence {
  readonly version: number;
  readonly row: FenceRow;
}

export type LeaseEvent =
  | {
      readonly kind: 'read';
      /** Of the rows; the newest one known where it is left out. */
      readonly era?: StoreEra;
      readonly lease?: { readonly version: number; readonly row: LeaseRow };
      readonly fence?: SeenFence;
    }
  | { readonly kind: 'read-failed' }
  | { readonly kind: 'ranked'; readonly rank: number }
  | { readonly kind: 'tick' }
  /** The table is of this era. To be told before the result of a call that showed it. */
  | { readonly kind: 'era'; readonly era: StoreEra }
  | { readonly kind: 'committed'; readonly version: number; readonly fenceVersion: number }
  /** Nothing was written; `conflict` when the rows had moved on. */
  | { readonly kind: 'refused'; readonly conflict: boolean }
  /** No one can tell whether it was written. */
  | { readonly kind: 'unsure' }
  | { readonly kind: 'stop' };

export type LeaseEffect =
  | { readonly kind: 'read' }
  | {
      readonly kind: 'commit';
      /** Names the rows: a write that arrives in a later era must not touch those of that era. */
      readonly era: StoreEra;
      readonly row: LeaseRow;
      readonly leaseVersion: number;
      /** Present when the lease changes hands: the fence row is written too. */
      readonly fenceVersion?: number;
    };

/** Leases on fabric domains: rows, state, events and effects. */

import type { DaemonId, DomainId, FencingNumber, MonoTime } from '../ids';
import type { StoreEra } from '../store-era';

/** The row `lease/{domain}`; each renewal writes it again, unchanged. */
export interface LeaseRow {
  readonly holder: DaemonId;
  /** Chosen when the holder starts: a restarted process with the same id is another holder. */
  readonly session: string;
  readonly fencing: FencingNumber;
  /** How long others wait after they first read a version of this row, milliseconds. */
  readonly ttlMs: number;
  /** Released by its holder: the next one need not wait. */
  readonly released: boolean;
}

/**
 * The row `lease/{domain}#fence`. Written only when the lease changes hands, so that a transaction
 * with its version as a condition conflicts with a new holder and never with a renewal.
 */
export interface FenceRow {
  readonly fencing: FencingNumber;
}

/** Times in milliseconds. */
export interface LeaseSettings {
  readonly ttlMs: number;
  /** Shortens the holder's validity and extends the taker's wait, to allow for clock drift. */
  readonly marginMs: number;
  readonly renewMs: number;
  /** Delay per rank before a candidate tries to take a free lease. */
  readonly rankDelayMs: number;
  /** How long a peer must rank before the holder until the lease is handed over. */
  readonly handoverMs: number;
}

/** Default settings. */
export const LEASE_SETTINGS: LeaseSettings = {
  ttlMs: 10_000,
  marginMs: 1_000,
  renewMs: 2_500,
  rankDelayMs: 2_000,
  handoverMs: 15_000,
};

/** The rows as last read. `since` is when this daemon first read this version. */
export interface SeenLease {
  readonly version: number;
  readonly row?: LeaseRow;
  readonly fenceVersion: number;
  readonly fencing: FencingNumber;
  readonly since: MonoTime;
}

/** The lease as its holder knows it; the holder may act only before `validUntil`. */
export interface HeldLease {
  readonly fencing: FencingNumber;
  readonly fenceVersion: number;
  readonly validUntil: MonoTime;
}

/** A commit whose result is not yet known. */
export interface PendingCommit {
  readonly kind: 'take' | 'renew' | 'release';
  readonly sentAt: MonoTime;
  /** The era of the versions in its conditions; in another era they may match by chance. */
  readonly era: StoreEra;
  readonly row: LeaseRow;
}

/** The first and latest of a run of reads without a gap longer than `ttlMs`. */
export interface TableContact {
  readonly since: MonoTime;
  readonly last: MonoTime;
}

/** The lease on one domain as one daemon knows it. */
export interface LeaseState {
  readonly domain: DomainId;
  readonly self: DaemonId;
  readonly session: string;
  readonly settings: LeaseSettings;
  /** Rank among the candidates: 0 is the preferred one, Infinity is no candidate. */
  readonly rank: number;
  readonly rankedAt: MonoTime;
  /** Whether it was already released once, under this rank, for a peer that ranks before it. */
  readonly hasOfferedHandover: boolean;
  readonly stopping: boolean;
  readonly reading: boolean;
  /** The newest known era of the table. */
  readonly era: StoreEra;
  readonly seen?: SeenLease;
  /** Absent before the first read of the rows. */
  readonly contact?: TableContact;
  readonly held?: HeldLease;
  readonly pending?: PendingCommit;
  /** When to renew next, or to retry after a failed commit. */
  readonly dueAt: MonoTime;
}

/** The fence row as last read. */
export interface SeenFence {
  readonly version: number;
  readonly row: FenceRow;
}

/** Inputs of `reduceLease`. */
export type LeaseEvent =
  | {
      readonly kind: 'read';
      /** The era of the rows; default: the newest known one. */
      readonly era?: StoreEra;
      readonly lease?: { readonly version: number; readonly row: LeaseRow };
      readonly fence?: SeenFence;
    }
  | { readonly kind: 'read-failed' }
  | { readonly kind: 'ranked'; readonly rank: number }
  | { readonly kind: 'tick' }
  /** The table is in this era. Must precede the result of the call that showed it. */
  | { readonly kind: 'era'; readonly era: StoreEra }
  | { readonly kind: 'committed'; readonly version: number; readonly fenceVersion: number }
  /** Nothing was written; `conflict` if the rows had other versions. */
  | { readonly kind: 'refused'; readonly conflict: boolean }
  /** Whether the commit was written is unknown. */
  | { readonly kind: 'unsure' }
  | { readonly kind: 'stop' };

/** Actions that `reduceLease` asks for. */
export type LeaseEffect =
  | { readonly kind: 'read' }
  | {
      readonly kind: 'commit';
      /** Part of the keys: a write that arrives in a later era must not affect that era's rows. */
      readonly era: StoreEra;
      readonly row: LeaseRow;
      readonly leaseVersion: number;
      /** Present if the lease changes hands: then the fence row is written too. */
      readonly fenceVersion?: number;
    };

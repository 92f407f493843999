/** Options, strikes and state of quarantine. */

import type { AttemptId, DomainId, EpochTime, Fingerprint, GroupId, MonoTime } from '../ids';

/** Tuning of quarantine; see {@link QUARANTINE_DEFAULTS}. */
export interface QuarantineOptions {
  /** Number of strikes on different groups at which a request is refused. */
  readonly limit: number;
  /**
   * A request that crashes groups does so at about the same point of its run. If the ages of its
   * strikes differ by more than this factor, one strike more than `limit` is needed.
   */
  readonly ageFactor: number;
  /** Added to ages before they are compared, so that short ones may differ, milliseconds. */
  readonly ageSlackMs: number;
  /** How long a strike counts, milliseconds. */
  readonly retentionMs: number;
  /** Maximum time between an interrupted run and the loss of its group, milliseconds. */
  readonly attributionWindowMs: number;
  /** Groups lost within this time are lost together; strikes stay pending as long, milliseconds. */
  readonly correlationWindowMs: number;
  /** Number of groups of one domain lost together that count as a fault of the domain. */
  readonly domainFaultGroups: number;
  /** Number of groups lost together, in any domains, that count as no request's fault. */
  readonly wideFaultGroups: number;
  /** Maximum fingerprints kept; expired ones are evicted first, then those struck least recently. */
  readonly maxFingerprints: number;
}

export const QUARANTINE_DEFAULTS: QuarantineOptions = {
  limit: 2,
  ageFactor: 2.5,
  ageSlackMs: 300,
  retentionMs: 10 * 60_000,
  attributionWindowMs: 3_000,
  correlationWindowMs: 1_000,
  domainFaultGroups: 2,
  wideFaultGroups: 3,
  maxFingerprints: 10_000,
};

/** Records that a group was lost while it ran a request, or just after. */
export interface Strike {
  readonly fingerprint: Fingerprint;
  /** Parts of its prompt that may be at fault in its place; absent for none. */
  readonly parts?: readonly Fingerprint[];
  readonly group: GroupId;
  readonly domain: DomainId;
  /** Whether the request was already a suspect; then only suspects get a strike for this loss. */
  readonly suspect: boolean;
  /** Run time of the request when its connection broke, milliseconds. */
  readonly ageMs: number;
  readonly at: EpochTime;
  readonly until: EpochTime;
}

/** A strike that counts unless the loss turns out to have another cause. */
export interface PendingStrike extends Strike {
  /** When the strike is decided. */
  readonly dueAt: MonoTime;
  /** Whether this daemon observed it rather than a peer. */
  readonly isOwn: boolean;
}

/** Pending strikes that were decided. */
export interface DecidedStrikes {
  readonly confirmed: readonly PendingStrike[];
  /** These never count: groups were lost together, or a suspect explains the loss. */
  readonly dropped: readonly PendingStrike[];
}

/** An attempt that runs on a group. */
export interface Run {
  readonly attempt: AttemptId;
  readonly fingerprint: Fingerprint;
  /** Parts of its prompt that may be at fault in its place; absent for none. */
  readonly parts?: readonly Fingerprint[];
  readonly group: GroupId;
  readonly domain: DomainId;
  /** Whether the request was a suspect when it was sent. */
  readonly suspect: boolean;
  readonly startedAt: MonoTime;
}

/** A run whose connection broke. */
export interface InterruptedRun extends Run {
  readonly interruptedAt: MonoTime;
}

/** A group that was lost. */
export interface LostGroup {
  readonly group: GroupId;
  readonly domain: DomainId | undefined;
  readonly at: MonoTime;
  /** The same instant as wall-clock time, to compare with strikes of peers. */
  readonly epochAt: EpochTime;
  /** Whether the whole domain of the group is known to have failed. */
  readonly isDomainDown: boolean;
}

/** `suspect`: to be run on a group without other requests; `quarantined`: to be refused. */
export type Suspicion = 'clear' | 'suspect' | 'quarantined';

/** State of quarantine, updated in place by one event loop. */
export interface QuarantineState {
  readonly opts: QuarantineOptions;
  /** Confirmed strikes, by fingerprint and group. */
  readonly strikes: Map<Fingerprint, Map<GroupId, Strike>>;
  pending: PendingStrike[];
  /** Recent strikes, whether or not they were confirmed; kept for twice `attributionWindowMs`. */
  recent: Strike[];
  readonly running: Map<AttemptId, Run>;
  interrupted: InterruptedRun[];
  lost: LostGroup[];
}

/** Current time of a decision. */
export interface QuarantineContext {
  readonly now: MonoTime;
  /** Wall-clock time, used for strikes because daemons share them. */
  readonly epoch: EpochTime;
}

/** What quarantine takes in and keeps. */

import type { AttemptId, DomainId, EpochTime, Fingerprint, GroupId, MonoTime } from '../ids';

export interface QuarantineOptions {
  /** Strikes on different groups at which a request is refused. */
  readonly limit: number;
  /**
   * A request that crashes groups does so at about the same point of its run. Strikes whose ages
   * differ by more than this factor do not add up to the limit; one strike more does.
   */
  readonly ageFactor: number;
  /** Ages are held to be this much longer, so that short ones may differ, milliseconds. */
  readonly ageSlackMs: number;
  /** How long a strike counts, milliseconds. */
  readonly retentionMs: number;
  /** A torn run and the loss of its group belong together within this time, milliseconds. */
  readonly blameMs: number;
  /** Groups lost within this time are lost together, milliseconds; strikes wait as long. */
  readonly correlationWindowMs: number;
  /** So many groups of one domain lost together are a fault of the domain. */
  readonly domainFaultGroups: number;
  /** So many groups lost together, of whatever domains, are no request's fault. */
  readonly wideFaultGroups: number;
  /** Fingerprints remembered at most; those whose strikes end first go first. */
  readonly maxFingerprints: number;
}

export const QUARANTINE_DEFAULTS: QuarantineOptions = {
  limit: 2,
  ageFactor: 2.5,
  ageSlackMs: 300,
  retentionMs: 10 * 60_000,
  blameMs: 3_000,
  correlationWindowMs: 1_000,
  domainFaultGroups: 2,
  wideFaultGroups: 3,
  maxFingerprints: 10_000,
};

/** A group was lost while, or just after, it ran the request. */
export interface Strike {
  readonly fingerprint: Fingerprint;
  readonly group: GroupId;
  readonly domain: DomainId;
  /** Whether the request was a suspect already; if one was, those that were not are left alone. */
  readonly suspect: boolean;
  /** How long the request had run when its connection broke, milliseconds. */
  readonly ageMs: number;
  readonly at: EpochTime;
  readonly until: EpochTime;
}

/** A strike that counts once it is clear that not many groups were lost together. */
export interface PendingStrike extends Strike {
  readonly dueAt: MonoTime;
  /** Whether this daemon saw it, rather than a peer. */
  readonly isOwn: boolean;
}

/** Strikes whose time to be decided on has come. */
export interface DecidedStrikes {
  readonly counting: readonly PendingStrike[];
  /** Groups were lost together: these never count. */
  readonly dropped: readonly PendingStrike[];
}

/** An attempt on a group. */
export interface Run {
  readonly attempt: AttemptId;
  readonly fingerprint: Fingerprint;
  readonly group: GroupId;
  readonly domain: DomainId;
  /** Whether it was under suspicion when it was sent. */
  readonly suspect: boolean;
  readonly startedAt: MonoTime;
}

/** A run whose connection broke. */
export interface InterruptedRun extends Run {
  readonly tornAt: MonoTime;
}

export interface LostGroup {
  readonly group: GroupId;
  readonly domain: DomainId | undefined;
  readonly at: MonoTime;
  /** The same instant, to be held against strikes of peers. */
  readonly epochAt: EpochTime;
  /** The group's domain is known to be dark. */
  readonly domainDark: boolean;
}

/** `suspect`: to be tried alone; `quarantined`: to be refused. */
export type Suspicion = 'clear' | 'suspect' | 'quarantined';

/** State of quarantine. A mutable record that one loop owns. */
export interface QuarantineState {
  readonly opts: QuarantineOptions;
  /** Strikes that count, by fingerprint and group. */
  readonly strikes: Map<Fingerprint, Map<GroupId, Strike>>;
  pending: PendingStrike[];
  /** Strikes of late, whatever became of them. */
  recent: Strike[];
  readonly running: Map<AttemptId, Run>;
  torn: InterruptedRun[];
  lost: LostGroup[];
}

/** What a decision here may know. */
export interface QuarantineContext {
  readonly now: MonoTime;
  /** For strikes, which are shared between daemons. */
  readonly epoch: EpochTime;
}

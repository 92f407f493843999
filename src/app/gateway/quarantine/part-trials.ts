/** Trials of listed parts of prompts: when one may begin, and what its outcome counts. */

import { later } from '../../../core/ids';
import type { Fingerprint, MonoTime } from '../../../core/ids';
import type { GatewayContext } from '../context';
import type { RefusedList } from './refused-list';

export interface PartTrials {
  /** Whether a request with so many listed parts may be tried on behalf of this one. */
  mayTry(part: Fingerprint, trialAt: MonoTime, listedParts: number): boolean;
  begin(part: Fingerprint, at: MonoTime): void;
  /** The trial that began at `at` had no outcome. */
  cancel(part: Fingerprint, at: MonoTime): void;
  /** Notes that the part is listed here. */
  noteListed(part: Fingerprint): void;
  /** Whether an answer that began at `since` did so after the part was listed here. */
  isListedBefore(part: Fingerprint, since: MonoTime): boolean;
  /** A trial has ended a server. It counts unless a complete answer clears the part soon after. */
  noteFailed(part: Fingerprint): void;
  /** Counts a failed trial that is due; `final` if the part has failed as many as it may. */
  countFailed(part: Fingerprint): 'none' | 'failed' | 'final';
  hasFailed(part: Fingerprint): boolean;
  /** Forgets what is known of a part that is no longer listed. */
  forget(part: Fingerprint): void;
  prune(): void;
}

/**
 * Added for each further listed part of a request. A sound request has all of them but the fatal one, and its
 * trial clears them.
 */
const DELAY_PER_PART_MS = 1_500;
/** A trial without a known outcome blocks others on this daemon for this long. */
const TRIAL_MS = 5_000;
/** Time in which a complete answer at another daemon may outweigh a failed trial. */
const DECIDE_MS = 2_000;
/** More than one, as another cause may end a group during a trial. */
const MAX_FAILED = 2;

interface TrialRecord {
  readonly listedAt: MonoTime;
  /** When the latest failed trial counts. */
  countAt: MonoTime | undefined;
  failed: number;
}

export function createPartTrials(
  { clock }: Pick<GatewayContext, 'clock'>,
  refused: Pick<RefusedList, 'get' | 'isTurn'>,
): PartTrials {
  const records = new Map<Fingerprint, TrialRecord>();
  const startedAt = new Map<Fingerprint, MonoTime>();

  const recordOf = (part: Fingerprint): TrialRecord => {
    const known = records.get(part);
    if (known) return known;
    const record = { listedAt: clock.now(), countAt: undefined, failed: 0 };
    records.set(part, record);
    return record;
  };

  const isUnderWay = (part: Fingerprint): boolean => {
    const at = startedAt.get(part);
    return at !== undefined && clock.now() < later(at, TRIAL_MS);
  };

  const forget = (part: Fingerprint): void => {
    records.delete(part);
    startedAt.delete(part);
  };

  return {
    mayTry: (part, trialAt, listedParts) =>
      refused.isTurn(later(trialAt, DELAY_PER_PART_MS * (listedParts - 1))) && !isUnderWay(part),
    begin: (part, at) => {
      startedAt.set(part, at);
    },
    cancel: (part, at) => {
      if (startedAt.get(part) === at) startedAt.delete(part);
    },
    noteListed: (part) => {
      recordOf(part);
    },
    isListedBefore: (part, since) => since > (records.get(part)?.listedAt ?? Infinity),
    noteFailed: (part) => {
      recordOf(part).countAt = later(clock.now(), DECIDE_MS);
    },
    countFailed: (part) => {
      const record = records.get(part);
      if (record?.countAt === undefined || clock.now() < record.countAt) return 'none';
      record.countAt = undefined;
      record.failed += 1;
      return record.failed >= MAX_FAILED ? 'final' : 'failed';
    },
    hasFailed: (part) => (records.get(part)?.failed ?? 0) > 0,
    forget,
    prune: () => {
      for (const part of records.keys()) if (!refused.get(part)) forget(part);
      for (const part of startedAt.keys()) if (!isUnderWay(part)) startedAt.delete(part);
    },
  };
}

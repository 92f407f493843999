/**
 * Quarantine of parts of prompts that crash the groups that answer them, whatever else a request holds. Uses the
 * strikes that daemons share of whole requests, and the list of refused requests.
 *
 * A part that explains several losses is held at once by each daemon that does not see it being answered, and is
 * listed for all daemons if no complete answer clears it meanwhile. A trial then clears it, or counts against it.
 */

import { brandAs, later } from '../../../core/ids';
import type { Fingerprint, MonoTime } from '../../../core/ids';
import {
  addLostRun,
  createPartEvidence,
  findSuspectParts,
  lossesOf,
  noteSound,
  partsInDoubt,
  pruneEvidence,
  wasSound,
} from '../../../core/retry/part-evidence';
import type { SuspectPart } from '../../../core/retry/part-evidence';
import type { Strike } from '../../../core/retry/quarantine-types';
import type { GatewayContext } from '../context';
import type { Exchange } from '../exchange';
import { createPartTrials } from './part-trials';
import type { RefusedList } from './refused-list';
import type { ServerCheckDeps } from './server-checks';
import { strictest } from './standing';
import type { Standing } from './standing';

/** Progress of an answer, updated by whoever sent the request. */
export interface AnswerProgress {
  /** When the first event arrived. */
  readonly prefilledAt: MonoTime | undefined;
}

/** A request that is running; its parts are named only once something is known of any. */
export interface PartRun {
  readonly exchange: Exchange;
  readonly address: string;
  readonly startedAt: MonoTime;
  readonly progress: AnswerProgress;
}

export interface PartQuarantine {
  /** Whether nothing is known of any part. */
  isEmpty(): boolean;
  standing(exchange: Exchange): Standing;
  begin(exchange: Exchange, address: string, progress: AnswerProgress): PartRun;
  /** The run has ended; if it is lost, returns the parts that may be at fault. */
  end(run: PartRun, ending: 'complete' | 'lost' | 'other'): readonly Fingerprint[];
  noteStrike(strike: Strike): void;
  /** A peer received a complete answer that clears the part of all losses until `soundAt`. */
  applyClear(part: Fingerprint, soundAt: MonoTime): void;
  tick(): void;
  prune(): void;
}

export interface PartQuarantineDeps {
  readonly refused: RefusedList;
  readonly findState: ServerCheckDeps['findState'];
  /** A part was listed, or its entry has changed. */
  readonly onListed: () => void;
  /** A complete answer cleared a part of all losses until `soundAt`. */
  readonly onCleared: (part: Fingerprint, soundAt: MonoTime) => void;
}

const PART_PREFIX = 'part-';
/** A server that has been answering for this long does not crash because of that request. */
const ANSWERED_MS = 1_000;
/** An answer clears its parts of losses while it went on, for so long after its first event. */
const MAX_CLEARED_MS = 5_000;
/** A server that ends because of a request may do so just after a short answer. */
const SURVIVAL_MS = 500;
const CHECK_TIMEOUT_MS = 500;
/** Time in which complete answers may clear a part before it is listed. */
const CONFIRM_MS = 1_500;
/** A part that is not listed is held for this long after its latest loss. */
const HOLD_MS = 10_000;
/** Soon, as a part in common use keeps many requests waiting if it is sound. */
const TRIAL_DELAY_MS = 500;
const NEXT_TRIAL_DELAY_MS = 3_000;
const REFUSED_MS = 30 * 60_000;

export function isPart(fingerprint: Fingerprint): boolean {
  return fingerprint.startsWith(PART_PREFIX);
}

/** Whether a peer's entry of a part was made after a complete answer that began at `since`. */
export function isListedAfter(trialAt: MonoTime, since: MonoTime): boolean {
  return later(trialAt, -TRIAL_DELAY_MS) > since;
}

/** A complete answer with parts that something speaks against. */
interface AnsweredRun {
  readonly run: PartRun;
  readonly since: MonoTime;
  /** Losses until then don't count against its parts. */
  readonly soundAt: MonoTime;
  readonly checkAt: MonoTime;
}

const NO_PARTS: readonly Fingerprint[] = [];
const known = new WeakMap<Exchange, readonly Fingerprint[]>();

/** Ids of the request's shared parts; a part counts for each model by itself. */
function partsOf(exchange: Exchange): readonly Fingerprint[] {
  const { model, sharedParts } = exchange.facts;
  if (model === undefined || sharedParts === undefined) return NO_PARTS;
  const found = known.get(exchange);
  if (found) return found;
  const parts = sharedParts.map((id) => brandAs<Fingerprint>(`${PART_PREFIX}${model}/${id}`));
  known.set(exchange, parts);
  return parts;
}

export function createPartQuarantine(
  { clock, logger }: GatewayContext,
  { refused, findState, onListed, onCleared }: PartQuarantineDeps,
): PartQuarantine {
  const evidence = createPartEvidence();
  const running = new Set<PartRun>();
  let answered: AnsweredRun[] = [];
  const trials = createPartTrials({ clock }, refused);
  let suspects: ReadonlyMap<Fingerprint, SuspectPart> = new Map();
  let inDoubt: ReadonlySet<Fingerprint> = new Set();
  let hasChanged = false;

  const isListed = (part: Fingerprint): boolean => refused.get(part) !== undefined;

  /** Parts that lost a group in a trial. */
  const isConfirmed = (part: Fingerprint): boolean =>
    isListed(part) && (refused.get(part)?.trialAt === undefined || trials.hasFailed(part));

  let listed = refused.entries();

  /** The list changes by peers' entries as well, and decides which parts are confirmed. */
  const refresh = (): void => {
    if (!hasChanged && listed === refused.entries()) return;
    hasChanged = false;
    listed = refused.entries();
    suspects = findSuspectParts(evidence, isConfirmed);
    inDoubt = partsInDoubt(evidence);
  };

  const currentSuspects = (): typeof suspects => {
    refresh();
    return suspects;
  };

  const isBeingAnswered = (part: Fingerprint): boolean => {
    const now = clock.now();
    return [...running].some(
      ({ exchange, progress: { prefilledAt } }) =>
        prefilledAt !== undefined &&
        now >= later(prefilledAt, ANSWERED_MS) &&
        partsOf(exchange).includes(part),
    );
  };

  const standingOfPart = (part: Fingerprint, listedParts: number): Standing => {
    const entry = refused.get(part);
    const now = clock.now();
    if (entry) {
      if (entry.trialAt === undefined) return 'refused';
      return trials.mayTry(part, entry.trialAt, listedParts) ? 'suspect' : 'held';
    }
    const suspect = currentSuspects().get(part);
    if (!suspect || now >= later(suspect.latestAt, HOLD_MS)) return 'clear';
    return isBeingAnswered(part) ? 'clear' : 'held';
  };

  const list = (part: Fingerprint, trialAt: MonoTime | undefined): void => {
    const now = clock.now();
    const losses = lossesOf(evidence, part);
    refused.add(part, { until: later(now, REFUSED_MS), trialAt });
    hasChanged = true;
    logger.warn('part of prompts refused from now on: servers ended while they answered it', {
      step: 'quarantine',
      part,
      groups: losses.map(({ group }) => group).join(' '),
      strikeAgesMs: losses.map(({ at }) => Math.round(now - at)).join(' '),
      runMs: losses.map(({ ageMs }) => Math.round(ageMs)).join(' '),
      requests: currentSuspects().get(part)?.requests.size ?? 0,
      forMs: REFUSED_MS,
      isFinal: trialAt === undefined,
    });
    onListed();
  };

  const listSuspects = (now: MonoTime): void => {
    for (const [part, { latestAt }] of currentSuspects()) {
      if (isListed(part) || isBeingAnswered(part)) continue;
      if (now < later(latestAt, CONFIRM_MS) || now >= later(latestAt, HOLD_MS)) continue;
      list(part, later(now, TRIAL_DELAY_MS));
    }
  };

  /** Whether losses speak against the part, or it is listed and may be cleared. */
  const isInDoubt = (part: Fingerprint): boolean => {
    refresh();
    return refused.get(part)?.trialAt !== undefined || inDoubt.has(part);
  };

  /**
   * Whether a suspect with the part was lost that was sent after the earliest time of a trial. A part that was answered
   * completely before is ruled out if one is beside it that never was.
   */
  const hasFailedTrial = (part: Fingerprint, trialAt: MonoTime): boolean => {
    const wasAnswered = wasSound(evidence, part);
    const explains = (other: Fingerprint): boolean =>
      wasAnswered
        ? (isListed(other) || currentSuspects().has(other)) && !wasSound(evidence, other)
        : isConfirmed(other) && !isConfirmed(part);
    // Daemons that had not heard of the entry yet sent such requests without a trial, and with any other part.
    const losses = lossesOf(evidence, part, { explains, since: trialAt, suspectsOnly: true });
    return losses.some(({ at, ageMs }) => at - ageMs >= trialAt);
  };

  const followTrials = (now: MonoTime): void => {
    for (const [part, { trialAt }] of refused.entries()) {
      if (!isPart(part) || trialAt === undefined) continue;
      trials.noteListed(part);
      const counted = trials.countFailed(part);
      if (counted !== 'none') hasChanged = true;
      if (counted === 'final') list(part, undefined);
      else if (counted === 'none' && hasFailedTrial(part, trialAt)) {
        trials.noteFailed(part);
        list(part, later(now, NEXT_TRIAL_DELAY_MS));
      }
    }
  };

  /** Applies a complete answer; true if something spoke against the part until then. */
  const clear = (part: Fingerprint, soundAt: MonoTime): boolean => {
    const before = lossesOf(evidence, part).length;
    noteSound(evidence, part, soundAt);
    const remaining = lossesOf(evidence, part).length;
    if (remaining < before) hasChanged = true;
    const trialAt = refused.get(part)?.trialAt;
    const isUnlisted =
      trialAt !== undefined && remaining === 0 && (before > 0 || !isListedAfter(trialAt, soundAt));
    if (isUnlisted) {
      refused.remove(part);
      trials.forget(part);
    }
    return remaining < before || isUnlisted;
  };

  /** Clears the parts if the server that answered has survived it. */
  const clearIfAlive = async ({ run, since, ...answer }: AnsweredRun): Promise<void> => {
    if ((await findState(run.address, CHECK_TIMEOUT_MS)) !== 'listening') return;
    const now = clock.now();
    for (const part of partsOf(run.exchange)) {
      // A listed part was fatal by then or never, so the answer outweighs later losses as well.
      const soundAt = trials.isListedBefore(part, since) ? now : answer.soundAt;
      if (clear(part, soundAt)) onCleared(part, soundAt);
    }
  };

  const isEmpty = (): boolean => evidence.losses.size === 0;

  const isAnyKnown = (): boolean => !isEmpty() || refused.entries().size > 0;

  return {
    isEmpty,
    standing: (exchange) => {
      const parts = partsOf(exchange);
      const listedParts = parts.filter(isListed).length;
      return strictest(parts.map((part) => standingOfPart(part, listedParts)));
    },
    begin: (exchange, address, progress) => {
      const run = { exchange, address, startedAt: clock.now(), progress };
      if (exchange.facts.sharedParts) running.add(run);
      if (!isAnyKnown()) return run;
      for (const part of partsOf(exchange)) if (isListed(part)) trials.begin(part, run.startedAt);
      return run;
    },
    end: (run, ending) => {
      if (!running.delete(run)) return NO_PARTS;
      if (ending !== 'lost' && !isAnyKnown()) return NO_PARTS;
      const { exchange, startedAt, progress } = run;
      const { prefilledAt } = progress;
      const parts = partsOf(exchange);
      const now = clock.now();
      if (ending === 'lost') {
        const isAnswered = prefilledAt !== undefined && now >= later(prefilledAt, ANSWERED_MS);
        return isAnswered ? NO_PARTS : parts;
      }
      if (ending === 'complete' && parts.some(isInDoubt)) {
        const since = prefilledAt ?? startedAt;
        // A fatal part ends a server when its answer begins, and this one was begun before and went on.
        const soundAt = brandAs<MonoTime>(Math.min(now, since + MAX_CLEARED_MS));
        answered.push({ run, since, soundAt, checkAt: later(now, SURVIVAL_MS) });
      } else {
        for (const part of parts) trials.cancel(part, startedAt);
      }
      return NO_PARTS;
    },
    noteStrike: ({ fingerprint, group, parts = NO_PARTS, at, ageMs, suspect }) => {
      if (parts.length === 0) return;
      const run = { request: fingerprint, parts, ageMs, suspect };
      addLostRun(evidence, group, brandAs<MonoTime>(at), run);
      hasChanged = true;
    },
    applyClear: (part, soundAt) => {
      clear(part, soundAt);
    },
    tick: () => {
      const now = clock.now();
      const due = answered.filter(({ checkAt }) => now >= checkAt);
      if (due.length > 0) answered = answered.filter(({ checkAt }) => now < checkAt);
      for (const one of due) void clearIfAlive(one);
      followTrials(now);
      if (!isEmpty()) listSuspects(now);
    },
    prune: () => {
      if (pruneEvidence(evidence, later(clock.now(), -REFUSED_MS))) hasChanged = true;
      trials.prune();
    },
  };
}

/**
 * Quarantine of requests that crash the backend servers that run them, for streams and plain calls, and of parts
 * of prompts that do. The decisions on strikes are those of `core/retry`; daemons share strikes and what they
 * refuse with each other.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { GroupCandidate } from '../../../core/gateway/balance';
import { hasFailedTrial, TRIAL_DELAY_MS } from '../../../core/gateway/refused-requests';
import type { RefusedUpdate } from '../../../core/gateway/refused-requests';
import { brandAs, later } from '../../../core/ids';
import type {
  AttemptId,
  DomainId,
  EpochTime,
  Fingerprint,
  GroupId,
  MonoTime,
} from '../../../core/ids';
import { allowedGroups } from '../../../core/retry/isolate';
import {
  clearStrikes,
  createQuarantine,
  decideDueStrikes,
  dropStrike,
  onGroupLost,
  onPeerStrike,
  onRunEnd,
  onRunInterrupted,
  onRunStart,
  suspicionOf,
} from '../../../core/retry/quarantine';
import { countInSequence } from '../../../core/retry/loss-sequence';
import { isQuarantineEmpty, pruneQuarantine } from '../../../core/retry/quarantine-expiry';
import type { QuarantineContext, Strike } from '../../../core/retry/quarantine-types';
import type { GatewayContext } from '../context';
import type { Exchange } from '../exchange';
import { fingerprintOf } from './fingerprint';
import type { GroupRegistry } from '../group-registry';
import { createPartQuarantine, isListedAfter, isPart } from './prompt-parts';
import type { AnswerProgress } from './prompt-parts';
import { createRecentCompletions } from './recent-completions';
import { createRefusedList } from './refused-list';
import { createServerChecks } from './server-checks';
import type { RunTarget, ServerCheckDeps } from './server-checks';
import { strictest } from './standing';
import type { Standing } from './standing';
import { createTrials } from './trials';
import { createStrikeSharing, toStrike } from './strike-sharing';
import type { StrikeReport } from './strike-sharing';

/** One run of a request. */
export interface RequestRun {
  /** The connection to the server broke before the answer was complete. */
  broken(): void;
  ended(isComplete: boolean): void;
}

export interface Quarantine {
  standing(exchange: Exchange): Standing;
  /** The groups to choose from for this request; never empty unless `candidates` is. */
  allowed(exchange: Exchange, candidates: readonly GroupCandidate[]): readonly GroupCandidate[];
  begin(exchange: Exchange, target: RunTarget, progress?: AnswerProgress): RequestRun;
  /** Strikes and complete answers that this daemon saw, for its peers. */
  report(): StrikeReport | undefined;
  /** Like `report`, from all daemons, for a leader to publish. */
  reportOfAll(): StrikeReport | undefined;
  applyReport(report: StrikeReport): void;
  refused(): RefusedUpdate[];
  applyRefused(updates: readonly RefusedUpdate[], source: string): void;
  /** Equal on daemons that refuse the same requests; 0 for none. */
  digest(): number;
  /** Emits when peers should be informed at once. */
  readonly news: Observable<void>;
  /** Groups, or servers of plain services, that peers found ended while these ran requests. */
  readonly peerLosses: Observable<GroupId>;
  tick(): void;
}

export interface QuarantineDeps extends Pick<ServerCheckDeps, 'serverRegistry' | 'findState'> {
  /** Number of daemons, this one included. */
  readonly daemons: () => number;
  readonly groupRegistry: Pick<GroupRegistry, 'find'>;
}

/** Strikes in sequence on this many servers make a request refused for as long as a strike counts. */
const STRIKES_TO_REFUSE = 3;
/** Two strikes hold a request back for this long after the latest one: longer than most deadlines. */
const HOLD_MS = 10_000;
const REFUSED_MS = 30 * 60_000;
const PRUNE_INTERVAL_MS = 500;
/** Of a plain call, whose answer is read as a whole. */
const NO_PROGRESS: AnswerProgress = { prefilledAt: undefined };

export function createGatewayQuarantine(ctx: GatewayContext, deps: QuarantineDeps): Quarantine {
  const { clock, logger, metrics } = ctx;
  const { groupRegistry } = deps;
  // Domains are no evidence of their own here: if one fails, each request loses one group at most.
  const state = createQuarantine({ retentionMs: REFUSED_MS, domainFaultGroups: Infinity });
  const sharing = createStrikeSharing(() => clock.now());
  const news = new Subject<void>();
  const peerLosses = new Subject<GroupId>();
  const refused = createRefusedList(ctx, deps.daemons);
  let lastAttempt = 0;
  let pruneAt = clock.now();
  const completions = createRecentCompletions();

  const context = (at = clock.now()): QuarantineContext => ({
    now: at,
    epoch: brandAs<EpochTime>(at),
  });

  const parts = createPartQuarantine(ctx, {
    refused,
    findState: deps.findState,
    onListed: () => {
      news.next();
    },
    onCleared: (part, since) => {
      if (sharing.addClear(part, since, true)) news.next();
    },
  });

  const trials = createTrials({ state, refused });

  const isEmpty = (): boolean =>
    refused.entries().size === 0 && parts.isEmpty() && isQuarantineEmpty(state);

  const confirmedStrikes = (fingerprint: Fingerprint): readonly Strike[] => [
    ...(state.strikes.get(fingerprint)?.values() ?? []),
  ];

  const isHeld = (fingerprint: Fingerprint): boolean => {
    const pending = state.pending.filter((strike) => strike.fingerprint === fingerprint);
    const strikes = [...confirmedStrikes(fingerprint), ...pending];
    const latestAt = Math.max(...strikes.map(({ at }) => at));
    return countInSequence(strikes) > 1 && clock.now() < latestAt + HOLD_MS;
  };

  const standingOfRequest = (fingerprint: Fingerprint): Standing => {
    const listed = trials.standingOf(fingerprint);
    if (listed !== undefined) return listed;
    const suspicion = suspicionOf(state, fingerprint, context());
    if (suspicion !== 'quarantined') return suspicion;
    return isHeld(fingerprint) ? 'held' : 'suspect';
  };

  const standingOf = (exchange: Exchange): Standing =>
    strictest([standingOfRequest(fingerprintOf(exchange)), parts.standing(exchange)]);

  const refuseConfirmed = (fingerprints: Iterable<Fingerprint>): void => {
    for (const fingerprint of fingerprints) {
      const strikes = confirmedStrikes(fingerprint);
      const count = countInSequence(strikes);
      const known = refused.get(fingerprint);
      const isFinal = count > STRIKES_TO_REFUSE || (known && hasFailedTrial(known, strikes));
      const isListed = known && (!isFinal || known.trialAt === undefined);
      if (isListed || (!isFinal && count < STRIKES_TO_REFUSE)) continue;
      const now = clock.now();
      const trialAt = isFinal ? undefined : later(now, TRIAL_DELAY_MS);
      refused.add(fingerprint, { until: later(now, REFUSED_MS), trialAt });
      logger.warn('request refused from now on: servers ended while they ran it', {
        step: 'quarantine',
        fingerprint,
        groups: strikes.map(({ group }) => group).join(' '),
        strikeAgesMs: strikes.map(({ at }) => Math.round(clock.now() - at)).join(' '),
        runMs: strikes.map(({ ageMs }) => Math.round(ageMs)).join(' '),
        forMs: REFUSED_MS,
        isFinal: isFinal === true,
      });
      news.next();
    }
  };

  const clearRequest = (fingerprint: Fingerprint): boolean => {
    const wasRefused = refused.remove(fingerprint);
    return clearStrikes(state, fingerprint) || wasRefused;
  };

  /** Clears a request that was answered completely a short while ago, here and at peers. */
  const clearIfCompleted = (fingerprint: Fingerprint): boolean => {
    if (!completions.has(fingerprint, clock.now())) return false;
    clearRequest(fingerprint);
    if (sharing.addClear(fingerprint, clock.now(), true)) news.next();
    return true;
  };

  const publishStrikes = (strikes: readonly Strike[]): void => {
    for (const strike of strikes) {
      if (clearIfCompleted(strike.fingerprint) || !sharing.addStrike(strike, true)) continue;
      parts.noteStrike(strike);
      metrics.count('nutmegstack_crash_strikes_total');
      logger.warn('group ended while it ran a request', {
        step: 'quarantine',
        group: strike.group,
        fingerprint: strike.fingerprint,
        ...(strike.parts && { parts: strike.parts.join(' ') }),
        isSuspect: strike.suspect,
        runMs: Math.round(strike.ageMs),
      });
    }
    if (strikes.length > 0) news.next();
  };

  const isLost = (group: GroupId): boolean => state.lost.some((loss) => loss.group === group);

  const noteLost = (group: GroupId, domain: DomainId, at = clock.now()): void => {
    checks.forget(group);
    if (isLost(group)) return;
    publishStrikes(onGroupLost(state, { group, domain, isDomainDown: false }, context(at)));
  };

  const checks = createServerChecks(ctx, {
    ...deps,
    isInterrupted: (group) => state.interrupted.some((run) => run.group === group),
    onLost: (group, domain) => {
      noteLost(group, domain);
    },
  });

  const noteComplete = (exchange: Exchange): void => {
    if (isEmpty()) return;
    const fingerprint = fingerprintOf(exchange);
    completions.note(fingerprint, clock.now());
    if (!clearRequest(fingerprint)) return;
    sharing.addClear(fingerprint, clock.now(), true);
    news.next();
  };

  const runOf = (exchange: Exchange, { group, domain }: RunTarget, suspect: boolean) => {
    lastAttempt += 1;
    return {
      attempt: brandAs<AttemptId>(String(lastAttempt)),
      fingerprint: fingerprintOf(exchange),
      ...{ group, domain, suspect },
    };
  };

  const begin = (
    exchange: Exchange,
    target: RunTarget,
    progress: AnswerProgress = NO_PROGRESS,
  ): RequestRun => {
    const startedAt = clock.now();
    const suspect = !isEmpty() && standingOf(exchange) !== 'clear';
    const partRun = parts.begin(exchange, target.address, progress);
    // Runs of other requests are registered only if they are interrupted.
    const registered = suspect ? { ...runOf(exchange, target, true), startedAt } : undefined;
    if (registered) onRunStart(state, registered);
    return {
      broken: () => {
        const run = registered ?? { ...runOf(exchange, target, false), startedAt };
        const lost = parts.end(partRun, 'lost');
        onRunStart(state, lost.length > 0 ? { ...run, parts: lost } : run);
        publishStrikes(onRunInterrupted(state, run.attempt, context()));
        if (!isLost(target.group)) checks.check(target);
      },
      ended: (isComplete) => {
        parts.end(partRun, isComplete ? 'complete' : 'other');
        if (registered) onRunEnd(state, registered.attempt);
        if (isComplete) noteComplete(exchange);
      },
    };
  };

  const applyStrike = (strike: Strike): void => {
    if ((sharing.clearedAt(strike.fingerprint) ?? -Infinity) >= strike.at) return;
    if (clearIfCompleted(strike.fingerprint) || !sharing.addStrike(strike, false)) return;
    if (strike.until <= strike.at) {
      dropStrike(state, strike);
      return;
    }
    parts.noteStrike(strike);
    peerLosses.next(strike.group);
    // The peer has confirmed that the group ended, so this daemon's own interrupted runs there count too.
    noteLost(strike.group, strike.domain, brandAs<MonoTime>(strike.at));
    onPeerStrike(state, strike, context());
  };

  /** Whether the entry is not of before a complete answer, of which the peer may not have heard yet. */
  const isOpen = ([fingerprint, , trialInMs]: RefusedUpdate): boolean => {
    const clearedAt = sharing.clearedAt(fingerprint);
    if (clearedAt === undefined) return true;
    if (!isPart(fingerprint)) return false;
    return trialInMs === null || isListedAfter(later(clock.now(), trialInMs), clearedAt);
  };

  const prune = (now: MonoTime): void => {
    pruneAt = later(now, PRUNE_INTERVAL_MS);
    pruneQuarantine(state, context());
    sharing.prune(now);
    parts.prune();
    refused.prune();
    if (isEmpty()) completions.clear();
  };

  return {
    standing: (exchange) => (isEmpty() ? 'clear' : standingOf(exchange)),
    allowed: (exchange, candidates) => {
      if (isEmpty()) return candidates;
      const groups = candidates.flatMap((candidate) => {
        const group = groupRegistry.find(candidate.head);
        const domain = group?.head.domain ?? brandAs<DomainId>(candidate.head);
        return group ? [{ id: group.id, domain, candidate }] : [];
      });
      const found = allowedGroups(state, fingerprintOf(exchange), groups, context());
      return found.map(({ candidate }) => candidate);
    },
    begin,
    report: () => sharing.report(clock.now()),
    reportOfAll: () => sharing.reportOfAll(clock.now()),
    applyReport: ({ strikes, cleared }) => {
      const now = clock.now();
      for (const [fingerprint, ageMs] of cleared) {
        const at = later(now, -ageMs);
        if (!sharing.addClear(fingerprint, at, false)) continue;
        if (isPart(fingerprint)) parts.applyClear(fingerprint, at);
        else clearRequest(fingerprint);
      }
      for (const update of strikes) applyStrike(toStrike(update, now));
      refuseConfirmed(strikes.map(([fingerprint]) => fingerprint));
    },
    refused: () => refused.updates(),
    applyRefused: (updates, source) => {
      if (!refused.merge(updates.filter(isOpen))) return;
      const fields = { step: 'quarantine', source, requests: refused.entries().size };
      logger.info('refused requests received', fields);
    },
    digest: () => refused.digest(),
    ...{ news, peerLosses },
    tick: () => {
      const now = clock.now();
      checks.tick();
      if (now >= pruneAt) prune(now);
      if (isEmpty()) return;
      parts.tick();
      const { confirmed, dropped } = decideDueStrikes(state, context());
      for (const strike of dropped) {
        if (strike.isOwn) sharing.addStrike({ ...strike, until: strike.at }, true);
      }
      refuseConfirmed(confirmed.map(({ fingerprint }) => fingerprint));
    },
  };
}

/**
 * Quarantine of requests that crash the backend servers that run them, for streams and plain calls. The
 * decisions on strikes are those of `core/retry`; daemons share strikes and refused requests with each other.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { GroupCandidate } from '../../../core/gateway/balance';
import {
  addRefused,
  digestOfRefused,
  hasFailedTrial,
  listRefusedUpdates,
  mergeRefusedUpdates,
  pruneRefused,
  TRIAL_DELAY_MS,
} from '../../../core/gateway/refused-requests';
import type {
  RefusedRequest,
  RefusedRequests,
  RefusedUpdate,
} from '../../../core/gateway/refused-requests';
import { hashText } from '../../../core/routing/hash';
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
import { createRecentCompletions } from './recent-completions';
import { createServerChecks } from './server-checks';
import type { RunTarget, ServerCheckDeps } from './server-checks';
import { createStrikeSharing, toStrike } from './strike-sharing';
import type { StrikeReport } from './strike-sharing';

/**
 * What may be done with a request.
 *
 * - `suspect`: it ran on a server that ended, or was just interrupted; it goes to other groups than before.
 * - `held`: it ended two servers or more, one after the other, and is refused until it is tried once more.
 * - `refused`: it ended another one in that trial and is refused for long.
 */
export type Standing = 'clear' | 'suspect' | 'held' | 'refused';

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
  begin(exchange: Exchange, target: RunTarget): RequestRun;
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
  tick(): void;
}

export interface QuarantineDeps extends Pick<ServerCheckDeps, 'serverRegistry' | 'findState'> {
  readonly groupRegistry: Pick<GroupRegistry, 'find'>;
}

/** Strikes in sequence on this many servers make a request refused for as long as a strike counts. */
const STRIKES_TO_REFUSE = 3;
/** Two strikes hold a request back for this long after the latest one: longer than most deadlines. */
const HOLD_MS = 10_000;
const REFUSED_MS = 30 * 60_000;
/** Trials start at each daemon at another moment, so that the first one tells the others how it ended. */
const TRIAL_SPREAD_MS = 15_000;
const PRUNE_INTERVAL_MS = 500;

export function createGatewayQuarantine(ctx: GatewayContext, deps: QuarantineDeps): Quarantine {
  const { clock, logger, metrics } = ctx;
  const { groupRegistry } = deps;
  // Domains are no evidence of their own here: if one fails, each request loses one group at most.
  const state = createQuarantine({ retentionMs: REFUSED_MS, domainFaultGroups: Infinity });
  const sharing = createStrikeSharing(() => clock.now());
  const news = new Subject<void>();
  let refused: RefusedRequests = new Map();
  let lastAttempt = 0;
  let pruneAt = clock.now();
  const completions = createRecentCompletions();

  const context = (at = clock.now()): QuarantineContext => ({
    now: at,
    epoch: brandAs<EpochTime>(at),
  });

  const setRefused = (next: RefusedRequests): void => {
    if (next.size !== refused.size) metrics.gauge('nutmegstack_refused_requests', next.size);
    refused = next;
  };

  const isEmpty = (): boolean => refused.size === 0 && isQuarantineEmpty(state);

  const confirmedStrikes = (fingerprint: Fingerprint): readonly Strike[] => [
    ...(state.strikes.get(fingerprint)?.values() ?? []),
  ];

  const isHeld = (fingerprint: Fingerprint): boolean => {
    const pending = state.pending.filter((strike) => strike.fingerprint === fingerprint);
    const strikes = [...confirmedStrikes(fingerprint), ...pending];
    const latestAt = Math.max(...strikes.map(({ at }) => at));
    return countInSequence(strikes) > 1 && clock.now() < latestAt + HOLD_MS;
  };

  /** This daemon's place in the time over which trials are spread. */
  const trialOffsetMs = (fingerprint: Fingerprint): number =>
    hashText(`${fingerprint} ${ctx.settings.id}`) % TRIAL_SPREAD_MS;

  /** Whether the request runs on trial here, or was interrupted or lost a group since it is refused. */
  const isTried = (fingerprint: Fingerprint, refusedAt: MonoTime): boolean => {
    const isOwn = (one: { readonly fingerprint: Fingerprint }): boolean =>
      one.fingerprint === fingerprint;
    const strikes = [...confirmedStrikes(fingerprint), ...state.pending.filter(isOwn)];
    return (
      strikes.some(({ at }) => at > refusedAt) ||
      state.interrupted.some(isOwn) ||
      [...state.running.values()].some(isOwn)
    );
  };

  /** Standing of a request on the list: final only once it has failed its trial. */
  const standingOfRefused = (fingerprint: Fingerprint, { trialAt }: RefusedRequest): Standing => {
    if (trialAt === undefined) return 'refused';
    const isTooEarly = clock.now() < later(trialAt, trialOffsetMs(fingerprint));
    const refusedAt = later(trialAt, -TRIAL_DELAY_MS);
    return isTooEarly || isTried(fingerprint, refusedAt) ? 'held' : 'suspect';
  };

  const standingOf = (fingerprint: Fingerprint): Standing => {
    const entry = refused.get(fingerprint);
    if (entry) return standingOfRefused(fingerprint, entry);
    const suspicion = suspicionOf(state, fingerprint, context());
    if (suspicion !== 'quarantined') return suspicion;
    return isHeld(fingerprint) ? 'held' : 'suspect';
  };

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
      setRefused(addRefused(refused, [[fingerprint, { until: later(now, REFUSED_MS), trialAt }]]));
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
    const wasRefused = refused.has(fingerprint);
    setRefused(new Map([...refused].filter(([known]) => known !== fingerprint)));
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
      metrics.count('nutmegstack_crash_strikes_total');
      logger.warn('group ended while it ran a request', {
        step: 'quarantine',
        group: strike.group,
        fingerprint: strike.fingerprint,
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

  const begin = (exchange: Exchange, target: RunTarget): RequestRun => {
    const startedAt = clock.now();
    const suspect = !isEmpty() && standingOf(fingerprintOf(exchange)) !== 'clear';
    // Runs of other requests are registered only if they are interrupted.
    const registered = suspect ? { ...runOf(exchange, target, true), startedAt } : undefined;
    if (registered) onRunStart(state, registered);
    return {
      broken: () => {
        const run = registered ?? { ...runOf(exchange, target, false), startedAt };
        if (!registered) onRunStart(state, run);
        publishStrikes(onRunInterrupted(state, run.attempt, context()));
        if (!isLost(target.group)) checks.check(target);
      },
      ended: (isComplete) => {
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
    // The peer has confirmed that the group ended, so this daemon's own interrupted runs there count too.
    noteLost(strike.group, strike.domain, brandAs<MonoTime>(strike.at));
    onPeerStrike(state, strike, context());
  };

  const prune = (now: MonoTime): void => {
    pruneAt = later(now, PRUNE_INTERVAL_MS);
    pruneQuarantine(state, context());
    sharing.prune(now);
    setRefused(pruneRefused(refused, now));
    if (isEmpty()) completions.clear();
  };

  return {
    standing: (exchange) => (isEmpty() ? 'clear' : standingOf(fingerprintOf(exchange))),
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
        if (sharing.addClear(fingerprint, later(now, -ageMs), false)) clearRequest(fingerprint);
      }
      for (const update of strikes) applyStrike(toStrike(update, now));
      refuseConfirmed(strikes.map(([fingerprint]) => fingerprint));
    },
    refused: () => listRefusedUpdates(refused, clock.now()),
    applyRefused: (updates, source) => {
      const before = digestOfRefused(refused);
      // Peers may not have heard yet of a complete answer.
      const open = updates.filter(([fingerprint]) => sharing.clearedAt(fingerprint) === undefined);
      setRefused(mergeRefusedUpdates(refused, open, clock.now()));
      if (digestOfRefused(refused) === before) return;
      const fields = { step: 'quarantine', source, requests: refused.size };
      logger.info('refused requests received', fields);
    },
    digest: () => digestOfRefused(refused),
    news,
    tick: () => {
      const now = clock.now();
      checks.tick();
      if (now >= pruneAt) prune(now);
      if (isEmpty()) return;
      const { confirmed, dropped } = decideDueStrikes(state, context());
      for (const strike of dropped) {
        if (strike.isOwn) sharing.addStrike({ ...strike, until: strike.at }, true);
      }
      refuseConfirmed(confirmed.map(({ fingerprint }) => fingerprint));
    },
  };
}

/**
 * Quarantine of requests that crash groups. The decisions are made in `core/retry`; strikes are shared
 * with peers by gossip.
 */

import { filter } from 'rxjs';
import type { Subscription } from 'rxjs';
import * as z from 'zod';

import type { RoutableGroup } from '../../core/groups/types';
import type { AttemptId, DomainId, EpochTime, Fingerprint, GroupId } from '../../core/ids';
import { later } from '../../core/ids';
import { allowedGroups } from '../../core/retry/isolate';
import {
  clearStrikes,
  createQuarantine,
  dropStrike,
  nextDecisionAt,
  onGroupLost,
  onPeerStrike,
  onRunEnd,
  onRunStart,
  onRunInterrupted,
  quarantinedUntil,
  decideDueStrikes,
  suspicionOf,
} from '../../core/retry/quarantine';
import type { QuarantineContext, Run, Strike, Suspicion } from '../../core/retry/quarantine-types';
import type { GossipEntry } from '../parts';
import type { RequestDeps } from './context';
import { METRIC } from './names';
import type { RequestSettings } from './settings';

const TOPIC = 'strikes';

const strikeValue = z.object({
  kind: z.literal('strike'),
  fingerprint: z.string(),
  group: z.string(),
  domain: z.string(),
  suspect: z.boolean(),
  ageMs: z.number(),
  at: z.number(),
  until: z.number(),
});

const clearValue = z.object({ kind: z.literal('clear'), fingerprint: z.string(), at: z.number() });

const entryValue = z.discriminatedUnion('kind', [strikeValue, clearValue]);

/** What {@link createStrikes} needs. */
export type StrikeDeps = Pick<
  RequestDeps,
  'clock' | 'random' | 'gossip' | 'groups' | 'metrics' | 'logger'
> & {
  readonly settings: Pick<RequestSettings, 'strikeLimit' | 'strikeRetentionMs'>;
};

/** Tracks which requests were running when groups were lost. */
export interface Strikes {
  /** Applies the entries known so far, then those of peers as they arrive. */
  start(): void;
  stop(): void;
  /** How strongly the request is suspected of crashing groups. */
  suspicion(fingerprint: Fingerprint): Suspicion;
  /** When the quarantine ends; undefined if the request is not quarantined. */
  quarantinedUntil(fingerprint: Fingerprint): EpochTime | undefined;
  /** Filters `groups` to those that the request may be sent to under its current suspicion. */
  open(fingerprint: Fingerprint, groups: readonly RoutableGroup[]): readonly RoutableGroup[];
  /** The run has been sent. */
  sent(run: Run): void;
  /** The run has ended; `isComplete` if it returned a complete answer. */
  ended(run: Run, isComplete: boolean): void;
  /** The connection of the run broke. */
  interrupted(attempt: AttemptId): void;
}

/** Creates the quarantine of a daemon. Peers' strikes are applied after `start`. */
export function createStrikes(deps: StrikeDeps): Strikes {
  const { clock, gossip, groups, metrics, logger, settings } = deps;
  const { strikeLimit: limit, strikeRetentionMs: retentionMs } = settings;
  const state = createQuarantine({ limit, retentionMs });
  const domains = new Map<GroupId, DomainId>();
  /** When a request was cleared; earlier strikes do not count. */
  const cleared = new Map<Fingerprint, EpochTime>();
  let subscription: Subscription | undefined;
  let timer: NodeJS.Timeout | undefined;

  const context = (): QuarantineContext => ({ now: clock.now(), epoch: clock.epoch() });

  const publish = (strike: Strike): void => {
    const { fingerprint, group, domain, suspect, ageMs, at, until } = strike;
    const value = { kind: 'strike', fingerprint, group, domain, suspect, ageMs, at, until };
    gossip.publish(TOPIC, `${fingerprint}/${group}`, value, later(at, retentionMs));
  };

  const publishNew = (strikes: readonly Strike[]): void => {
    strikes.forEach((strike) => {
      metrics.count(METRIC.strikes);
      logger.warn('group was lost while running a request', {
        step: 'quarantine',
        peer: strike.group,
      });
      publish(strike);
    });
    armTimer();
  };

  /** Decides due strikes. Dropped ones are withdrawn by publishing `until` equal to `at`. */
  const decideStrikes = (): void => {
    const { dropped } = decideDueStrikes(state, context());
    const ownStrikes = dropped.filter(({ isOwn }) => isOwn);
    ownStrikes.forEach((strike) => {
      publish({ ...strike, until: strike.at });
    });
    armTimer();
  };

  const armTimer = (): void => {
    clearTimeout(timer);
    const at = nextDecisionAt(state);
    if (at !== undefined) timer = setTimeout(decideStrikes, Math.max(1, at - clock.now())).unref();
  };

  const applyClear = (fingerprint: Fingerprint, at: EpochTime): void => {
    cleared.set(fingerprint, at);
    clearStrikes(state, fingerprint);
  };

  const applyStrike = (strike: Strike): void => {
    if ((cleared.get(strike.fingerprint) ?? 0) >= strike.at) return;
    if (strike.until <= strike.at) dropStrike(state, strike);
    else onPeerStrike(state, strike, context());
    armTimer();
  };

  const applyEntry = ({ value }: GossipEntry): void => {
    const parsed = entryValue.safeParse(value);
    if (!parsed.success) return;
    // The schema yields plain strings and numbers where the types are branded.
    const entry = parsed.data as unknown as
      (Strike & { readonly kind: 'strike' }) | (Strike & { readonly kind: 'clear' });
    if (entry.kind === 'clear') applyClear(entry.fingerprint, entry.at);
    else applyStrike(entry);
  };

  const onLost = (group: GroupId, isDomainDown: boolean): void => {
    const loss = { group, domain: domains.get(group), isDomainDown };
    domains.delete(group);
    publishNew(onGroupLost(state, loss, context()));
  };

  const publishClear = (fingerprint: Fingerprint): void => {
    const at = clock.epoch();
    applyClear(fingerprint, at);
    const expiresAt = later(at, retentionMs);
    gossip.publish(TOPIC, `${fingerprint}/clear`, { kind: 'clear', fingerprint, at }, expiresAt);
  };

  const recordDomains = (known: readonly RoutableGroup[]): void => {
    for (const { id, domain } of known) if (!domains.has(id)) domains.set(id, domain);
  };

  return {
    start: () => {
      gossip.entries(TOPIC).forEach(applyEntry);
      subscription = gossip.received
        .pipe(filter(({ topic }) => topic === TOPIC))
        .subscribe(applyEntry);
      subscription.add(
        groups.lost.subscribe(({ group, isDomainDown }) => {
          onLost(group, isDomainDown);
        }),
      );
    },
    stop: () => {
      subscription?.unsubscribe();
      clearTimeout(timer);
    },
    suspicion: (fingerprint) => suspicionOf(state, fingerprint, context()),
    quarantinedUntil: (fingerprint) => quarantinedUntil(state, fingerprint),
    open: (fingerprint, candidates) => {
      recordDomains(candidates);
      return allowedGroups(state, fingerprint, candidates, context());
    },
    sent: (run) => {
      onRunStart(state, run);
    },
    ended: (run, isComplete) => {
      onRunEnd(state, run.attempt);
      if (isComplete && run.suspect) publishClear(run.fingerprint);
    },
    interrupted: (attempt) => {
      publishNew(onRunInterrupted(state, attempt, context()));
    },
  };
}

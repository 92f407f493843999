/** Quarantine of crashing requests: the decisions of `core/retry`, shared with the peers by gossip. */

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

export type StrikeDeps = Pick<
  RequestDeps,
  'clock' | 'random' | 'gossip' | 'groups' | 'metrics' | 'logger'
> & {
  readonly settings: Pick<RequestSettings, 'strikeLimit' | 'strikeRetentionMs'>;
};

export interface Strikes {
  start(): void;
  stop(): void;
  suspicion(fingerprint: Fingerprint): Suspicion;
  quarantinedUntil(fingerprint: Fingerprint): EpochTime | undefined;
  /** Of the groups, those to which a request under this suspicion may go. */
  open(fingerprint: Fingerprint, groups: readonly RoutableGroup[]): readonly RoutableGroup[];
  sent(run: Run): void;
  /** The run is over; `whole` if it gave a whole answer. */
  ended(run: Run, whole: boolean): void;
  /** The run's connection broke. */
  interrupted(attempt: AttemptId): void;
}

export function createStrikes(deps: StrikeDeps): Strikes {
  const { clock, gossip, groups, metrics, logger, settings } = deps;
  const { strikeLimit: limit, strikeRetentionMs: retentionMs } = settings;
  const state = createQuarantine({ limit, retentionMs });
  const domains = new Map<GroupId, DomainId>();
  /** When a request was cleared; strikes from before do not count. */
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
      logger.warn('group lost while it ran a request', { step: 'quarantine', peer: strike.group });
      publish(strike);
    });
    arm();
  };

  /** A strike that ended when it began is taken back. */
  const settle = (): void => {
    const { dropped } = decideDueStrikes(state, context());
    const own = dropped.filter(({ isOwn }) => isOwn);
    own.forEach((strike) => {
      publish({ ...strike, until: strike.at });
    });
    arm();
  };

  const arm = (): void => {
    clearTimeout(timer);
    const at = nextDecisionAt(state);
    if (at !== undefined) timer = setTimeout(settle, Math.max(1, at - clock.now())).unref();
  };

  const takeClear = (fingerprint: Fingerprint, at: EpochTime): void => {
    cleared.set(fingerprint, at);
    clearStrikes(state, fingerprint);
  };

  const takeStrike = (strike: Strike): void => {
    if ((cleared.get(strike.fingerprint) ?? 0) >= strike.at) return;
    if (strike.until <= strike.at) dropStrike(state, strike);
    else onPeerStrike(state, strike, context());
    arm();
  };

  const take = ({ value }: GossipEntry): void => {
    const parsed = entryValue.safeParse(value);
    if (!parsed.success) return;
    // The schema gives plain strings and numbers where the types have brands.
    const entry = parsed.data as unknown as
      (Strike & { readonly kind: 'strike' }) | (Strike & { readonly kind: 'clear' });
    if (entry.kind === 'clear') takeClear(entry.fingerprint, entry.at);
    else takeStrike(entry);
  };

  const takeLost = (group: GroupId, domainDark: boolean): void => {
    const loss = { group, domain: domains.get(group), domainDark };
    domains.delete(group);
    publishNew(onGroupLost(state, loss, context()));
  };

  const tellCleared = (fingerprint: Fingerprint): void => {
    const at = clock.epoch();
    takeClear(fingerprint, at);
    const expiresAt = later(at, retentionMs);
    gossip.publish(TOPIC, `${fingerprint}/clear`, { kind: 'clear', fingerprint, at }, expiresAt);
  };

  const remember = (known: readonly RoutableGroup[]): void => {
    for (const { id, domain } of known) if (!domains.has(id)) domains.set(id, domain);
  };

  return {
    start: () => {
      gossip.entries(TOPIC).forEach(take);
      subscription = gossip.received.pipe(filter(({ topic }) => topic === TOPIC)).subscribe(take);
      subscription.add(
        groups.lost.subscribe(({ group, domainDark }) => {
          takeLost(group, domainDark);
        }),
      );
    },
    stop: () => {
      subscription?.unsubscribe();
      clearTimeout(timer);
    },
    suspicion: (fingerprint) => suspicionOf(state, fingerprint, context()),
    quarantinedUntil: (fingerprint) => quarantinedUntil(state, fingerprint),
    open: (fingerprint, known) => {
      remember(known);
      return allowedGroups(state, fingerprint, known, context());
    },
    sent: (run) => {
      onRunStart(state, run);
    },
    ended: (run, whole) => {
      onRunEnd(state, run.attempt);
      if (whole && run.suspect) tellCleared(run.fingerprint);
    },
    interrupted: (attempt) => {
      publishNew(onRunInterrupted(state, attempt, context()));
    },
  };
}

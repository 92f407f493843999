/** Quarantine of crashing requests: the decisions of `core/retry`, shared with the peers by gossip. */

import { filter } from 'rxjs';
import type { Subscription } from 'rxjs';
import { z } from 'zod';

import type { RoutableGroup } from '../../core/groups/types';
import type { AttemptId, DomainId, EpochTime, Fingerprint, GroupId } from '../../core/ids';
import { later } from '../../core/ids';
import {
  addStrike,
  clear,
  createQuarantine,
  nextSettle,
  onGroupLost,
  onRunEnd,
  onRunStart,
  onRunTorn,
  probedGroups,
  quarantinedUntil,
  runsOn,
  settleStrikes,
  struckDomains,
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
  torn(attempt: AttemptId): void;
}

/** The groups for which `fits` holds, or all if it holds for none. */
function preferring(
  groups: readonly RoutableGroup[],
  fits: (group: RoutableGroup) => boolean,
): readonly RoutableGroup[] {
  const fitting = groups.filter(fits);
  return fitting.length > 0 ? fitting : groups;
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
    metrics.count(METRIC.strikes);
    const { fingerprint, group, until } = strike;
    logger.warn('group lost while it ran a request', { step: 'quarantine', peer: group });
    gossip.publish(TOPIC, `${fingerprint}/${group}`, { kind: 'strike', ...strike }, until);
  };

  const settle = (): void => {
    settleStrikes(state, context()).forEach(publish);
    arm();
  };

  const arm = (): void => {
    clearTimeout(timer);
    const at = nextSettle(state);
    if (at !== undefined) timer = setTimeout(settle, Math.max(1, at - clock.now())).unref();
  };

  const takeClear = (fingerprint: Fingerprint, at: EpochTime): void => {
    cleared.set(fingerprint, at);
    clear(state, fingerprint);
  };

  const take = ({ value }: GossipEntry): void => {
    const parsed = entryValue.safeParse(value);
    if (!parsed.success) return;
    // The schema gives plain strings and numbers where the types have brands.
    const entry = parsed.data as unknown as
      (Strike & { readonly kind: 'strike' }) | (Strike & { readonly kind: 'clear' });
    if (entry.kind === 'clear') takeClear(entry.fingerprint, entry.at);
    else if ((cleared.get(entry.fingerprint) ?? 0) < entry.at) addStrike(state, entry, context());
  };

  const takeLost = (group: GroupId, domainDark: boolean): void => {
    onGroupLost(state, { group, domain: domains.get(group), domainDark }, context());
    domains.delete(group);
    arm();
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

  /** Where a suspect costs least: alone, in a domain that it has not struck, on a quiet group. */
  const openToSuspect = (
    fingerprint: Fingerprint,
    known: readonly RoutableGroup[],
  ): readonly RoutableGroup[] => {
    const struck = struckDomains(state, fingerprint, context());
    const probed = probedGroups(state);
    const elsewhere = preferring(known, ({ domain }) => !struck.has(domain));
    const alone = preferring(elsewhere, ({ id }) => !probed.has(id));
    const least = Math.min(...alone.map(({ id }) => runsOn(state, id)));
    return alone.filter(({ id }) => runsOn(state, id) === least);
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
      if (suspicionOf(state, fingerprint, context()) !== 'clear') {
        return openToSuspect(fingerprint, known);
      }
      const probed = probedGroups(state);
      return probed.size === 0 ? known : preferring(known, ({ id }) => !probed.has(id));
    },
    sent: (run) => {
      onRunStart(state, run);
    },
    ended: (run, whole) => {
      onRunEnd(state, run.attempt);
      if (whole && run.suspect) tellCleared(run.fingerprint);
    },
    torn: (attempt) => {
      onRunTorn(state, attempt, context());
      arm();
    },
  };
}

/**
 * Rate limits that backend servers set for all daemons together, and this daemon's share of each.
 */

import * as knownLimits from '../../core/gateway/limits/known';
import type { KnownLimits, LimitReport, LimitUpdate } from '../../core/gateway/limits/known';
import {
  requestIntervalMs,
  refill,
  sendersOf,
  shareOf,
  msUntilToken,
} from '../../core/gateway/limits/share';
import type { RateShare, ShareBucket } from '../../core/gateway/limits/share';
import { later } from '../../core/ids';
import type { DaemonId, InstanceId, MonoTime } from '../../core/ids';
import { compareText } from '../../utils/common';
import type { GatewayContext } from './context';

export interface RateLimits {
  /** Notes what an answer of the server said of its limit. */
  noteAnswer(server: InstanceId, report: LimitReport): void;
  applyReport(updates: readonly LimitUpdate[], source: string): void;
  /** Limits that servers named to this daemon, for its peers. */
  report(): LimitUpdate[];
  /**
   * Limits that servers named to any daemon: all of them once a second or if `isForced`, otherwise
   * those that changed since the last call.
   */
  reportToAll(isForced: boolean): LimitUpdate[];
  /**
   * Requests that this daemon may send to the server now; infinite if the server named no limit.
   */
  tokens(server: InstanceId): number;
  /** Takes a token for a request that is being sent. */
  takeToken(server: InstanceId): void;
  /**
   * Time until a token is available, milliseconds: 0 if one is, infinite if this daemon gets none.
   */
  msUntilToken(server: InstanceId): number;
  /** Time until the server accepts a request from any daemon, milliseconds. */
  msUntilAccepted(server: InstanceId): number;
  /** Whether tokens became available for waiting requests. */
  tick(): boolean;
}

export interface RateLimitsOptions {
  /** Daemons that share the limits, this one included. */
  readonly daemons: () => readonly DaemonId[];
  readonly isRemoved: (server: InstanceId) => boolean;
  /** Sends updates to other daemons immediately, whether or not there is a leader. */
  readonly publish: (daemons: readonly DaemonId[], updates: LimitUpdate[]) => void;
}

interface ServerShare {
  readonly limitPerS: number;
  share: RateShare;
  bucket: ShareBucket;
  /** Whether a token was available at the last check. */
  hadToken: boolean;
}

/** Interval at which the list of sharing daemons is refreshed. */
const DAEMON_LOOKUP_MS = 250;
/** Interval at which all limits are sent again, in case a message was lost. */
const PUBLISH_ALL_MS = 1_000;

/** With more senders than this, a change reaches them with the regular updates only. */
const MAX_DIRECT_SENDERS = 16;

export function createRateLimits(
  ctx: GatewayContext,
  { daemons, isRemoved, publish }: RateLimitsOptions,
): RateLimits {
  const { clock, logger, settings } = ctx;
  let known: KnownLimits = new Map();
  let sharers: readonly DaemonId[] = [settings.id];
  let nextLookupAt = clock.now();
  let publishAllAt = clock.now();
  /** Limits as last published to all daemons. */
  let lastPublished: KnownLimits = new Map();
  const shares = new Map<InstanceId, ServerShare>();

  const listSharers = (): readonly DaemonId[] => [...daemons()].sort(compareText);

  const shareFor = (server: InstanceId, limitPerS: number): RateShare =>
    shareOf({ server, limitPerS, self: settings.id, daemons: sharers });

  const logShare = (server: InstanceId, limitPerS: number, { perSecond }: RateShare): void => {
    const receivedAt = known.get(server)?.receivedAt ?? clock.now();
    logger.info('share of a limit', {
      step: 'limit',
      server,
      limitPerS,
      ageMs: Math.round(clock.now() - receivedAt),
      daemons: sharers.length,
      perSecond: Number(perSecond.toFixed(3)),
    });
  };

  const setShare = (server: InstanceId, limitPerS: number): void => {
    const before = shares.get(server);
    const now = clock.now();
    const share = shareFor(server, limitPerS);
    const bucket = before ? refill(before.bucket, before.share, now) : { tokens: 0, at: now };
    if (before?.share.perSecond !== share.perSecond) logShare(server, limitPerS, share);
    shares.set(server, { limitPerS, share, bucket, hadToken: false });
  };

  /** Replaces the known limits and updates the shares to match. */
  const update = (next: KnownLimits, source: string): void => {
    for (const [server, { perSecond }] of next) {
      const before = known.get(server)?.perSecond;
      if (before === perSecond) continue;
      logger.info(perSecond === undefined ? 'limit ended' : 'limit named', {
        step: 'limit',
        server,
        source,
        ...(perSecond !== undefined && { limitPerS: perSecond }),
        ...(before !== undefined && { before }),
      });
    }
    known = next;
    if (shares.size === 0) sharers = listSharers();
    for (const server of shares.keys()) {
      if (known.get(server)?.perSecond === undefined) shares.delete(server);
    }
    for (const [server, { perSecond }] of known) {
      if (perSecond !== undefined && shares.get(server)?.limitPerS !== perSecond) {
        setShare(server, perSecond);
      }
    }
  };

  const apply = (next: KnownLimits, source: string): void => {
    if (next !== known) update(next, source);
  };

  /**
   * The daemon that learns of a change informs the other senders directly: a lower limit binds them
   * from then on.
   */
  const notifySenders = (server: InstanceId, limits: readonly (number | undefined)[]): void => {
    const senders = new Set(
      limits.flatMap((limitPerS) =>
        limitPerS === undefined ? [] : sendersOf(server, limitPerS, sharers),
      ),
    );
    senders.delete(settings.id);
    if (senders.size === 0 || senders.size > MAX_DIRECT_SENDERS) return;
    const updates = knownLimits
      .listLimitUpdates(known, clock.now())
      .filter(([id]) => id === server);
    publish([...senders], updates);
  };

  const lookUpDaemons = (now: MonoTime): void => {
    if (now < nextLookupAt || known.size === 0) return;
    nextLookupAt = later(now, DAEMON_LOOKUP_MS);
    apply(knownLimits.pruneLimits(known, isRemoved, now), 'forgotten');
    const found = listSharers();
    if (found.join(' ') === sharers.join(' ')) return;
    sharers = found;
    for (const [server, { limitPerS }] of shares) setShare(server, limitPerS);
  };

  const refilledShare = (server: InstanceId): ServerShare | undefined => {
    const serverShare = shares.get(server);
    if (serverShare)
      serverShare.bucket = refill(serverShare.bucket, serverShare.share, clock.now());
    return serverShare;
  };

  const tokens = (server: InstanceId): number => {
    const serverShare = refilledShare(server);
    return serverShare ? Math.floor(serverShare.bucket.tokens) : Infinity;
  };

  return {
    noteAnswer: (server, report) => {
      const before = known.get(server)?.perSecond;
      apply(knownLimits.noteAnswer(known, server, report, clock.now()), 'answer');
      const after = known.get(server)?.perSecond;
      if (after !== before) notifySenders(server, [before, after]);
    },
    applyReport: (updates, source) => {
      apply(knownLimits.mergeLimitUpdates(known, updates, clock.now()), source);
    },
    report: () => knownLimits.listLimitUpdates(known, clock.now()),
    reportToAll: (isForced) => {
      const now = clock.now();
      const all = knownLimits.listLimitUpdates(known, now, { ofAll: true });
      const isDue = isForced || now >= publishAllAt;
      if (isDue) publishAllAt = later(now, PUBLISH_ALL_MS);
      const isChanged = ([server]: LimitUpdate): boolean =>
        known.get(server)?.perSecond !== lastPublished.get(server)?.perSecond;
      const updates = isDue ? all : all.filter(isChanged);
      lastPublished = known;
      return updates;
    },
    tokens,
    takeToken: (server) => {
      const serverShare = refilledShare(server);
      if (!serverShare) return;
      serverShare.bucket = { ...serverShare.bucket, tokens: serverShare.bucket.tokens - 1 };
      ctx.metrics.count('nutmegstack_limited_sends_total');
    },
    msUntilToken: (server) => {
      const serverShare = refilledShare(server);
      return serverShare ? msUntilToken(serverShare.bucket, serverShare.share) : 0;
    },
    msUntilAccepted: (server) => {
      const serverShare = refilledShare(server);
      if (!serverShare) return 0;
      return Math.min(
        msUntilToken(serverShare.bucket, serverShare.share),
        requestIntervalMs(serverShare.limitPerS),
      );
    },
    tick: () => {
      lookUpDaemons(clock.now());
      let hasNewToken = false;
      for (const [server, serverShare] of shares) {
        const hasToken = tokens(server) >= 1;
        hasNewToken ||= hasToken && !serverShare.hadToken;
        serverShare.hadToken = hasToken;
      }
      return hasNewToken;
    },
  };
}

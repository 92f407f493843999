/** What backend servers take a second, as all daemons share it, and this daemon's turns. */

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
  /** An answer of the server came. */
  noteAnswer(server: InstanceId, said: LimitReport): void;
  applyReport(told: readonly LimitUpdate[], source: string): void;
  /** What servers said to this daemon, for its peers. */
  report(): LimitUpdate[];
  /** What servers said to anybody: all of it once a second and where it `isWanted`, else what has changed since the last call. */
  reportToAll(isWanted: boolean): LimitUpdate[];
  /** Requests that this daemon may send to the server now; infinite where the server named no limit. */
  tokens(server: InstanceId): number;
  /** Takes a turn for a request that is being sent. */
  takeToken(server: InstanceId): void;
  /** Time until this daemon has a turn, milliseconds: 0 where it has one, infinite where it will have none. */
  msUntilToken(server: InstanceId): number;
  /** Time until the server takes a request of any daemon, milliseconds. */
  msUntilAccepted(server: InstanceId): number;
  /** Whether turns have come for requests that wait. */
  tick(): boolean;
}

export interface RateLimitsOptions {
  /** Daemons that share the limits, this one included. */
  readonly daemons: () => readonly DaemonId[];
  readonly isRemoved: (server: InstanceId) => boolean;
  /** Tells other daemons at once, whether or not anybody leads. */
  readonly publish: (daemons: readonly DaemonId[], told: LimitUpdate[]) => void;
}

interface Part {
  readonly limitPerS: number;
  share: RateShare;
  turns: ShareBucket;
  /** Whether there was a turn when it was last looked for. */
  hadTurn: boolean;
}

/** The daemons that share are looked up this often. */
const DAEMONS_MS = 250;
/** What a message that was lost told comes again after this. */
const TELL_ALL_MS = 1_000;

/** Senders beyond these hear of a change with all the others. */
const MOST_TOLD_AT_ONCE = 16;

export function createRateLimits(
  ctx: GatewayContext,
  { daemons, isRemoved: isGone, publish: tell }: RateLimitsOptions,
): RateLimits {
  const { clock, logger, settings } = ctx;
  let known: KnownLimits = new Map();
  let sharers: readonly DaemonId[] = [settings.id];
  let lookAt = clock.now();
  let tellAllAt = clock.now();
  /** Limits as they were last told to all. */
  let toldLast: KnownLimits = new Map();
  const parts = new Map<InstanceId, Part>();

  const listSharers = (): readonly DaemonId[] => [...daemons()].sort(compareText);

  const shareIn = (server: InstanceId, limitPerS: number): RateShare =>
    shareOf({ server, limitPerS, self: settings.id, daemons: sharers });

  const logShare = (server: InstanceId, limitPerS: number, { perSecond }: RateShare): void => {
    const heardAt = known.get(server)?.receivedAt ?? clock.now();
    logger.info('share of a limit', {
      step: 'limit',
      server,
      limitPerS,
      ageMs: Math.round(clock.now() - heardAt),
      daemons: sharers.length,
      perSecond: Number(perSecond.toFixed(3)),
    });
  };

  const setPart = (server: InstanceId, limitPerS: number): void => {
    const before = parts.get(server);
    const now = clock.now();
    const share = shareIn(server, limitPerS);
    const turns = before ? refill(before.turns, before.share, now) : { tokens: 0, at: now };
    if (before?.share.perSecond !== share.perSecond) logShare(server, limitPerS, share);
    parts.set(server, { limitPerS, share, turns, hadTurn: false });
  };

  /** Brings the parts up to what is known, after a change of it. */
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
    if (parts.size === 0) sharers = listSharers();
    for (const server of parts.keys()) {
      if (known.get(server)?.perSecond === undefined) parts.delete(server);
    }
    for (const [server, { perSecond }] of known) {
      if (perSecond !== undefined && parts.get(server)?.limitPerS !== perSecond) {
        setPart(server, perSecond);
      }
    }
  };

  const apply = (next: KnownLimits, source: string): void => {
    if (next !== known) update(next, source);
  };

  /** Those that send to the server are told of a change by who hears it first: a fall binds them from then on. */
  const tellSenders = (server: InstanceId, limits: readonly (number | undefined)[]): void => {
    const senders = new Set(
      limits.flatMap((limitPerS) =>
        limitPerS === undefined ? [] : sendersOf(server, limitPerS, sharers),
      ),
    );
    senders.delete(settings.id);
    if (senders.size === 0 || senders.size > MOST_TOLD_AT_ONCE) return;
    const told = knownLimits.listLimitUpdates(known, clock.now()).filter(([one]) => one === server);
    tell([...senders], told);
  };

  const lookUpDaemons = (now: MonoTime): void => {
    if (now < lookAt || known.size === 0) return;
    lookAt = later(now, DAEMONS_MS);
    apply(knownLimits.pruneLimits(known, isGone, now), 'forgotten');
    const found = listSharers();
    if (found.join(' ') === sharers.join(' ')) return;
    sharers = found;
    for (const [server, { limitPerS }] of parts) setPart(server, limitPerS);
  };

  const partOf = (server: InstanceId): Part | undefined => {
    const part = parts.get(server);
    if (part) part.turns = refill(part.turns, part.share, clock.now());
    return part;
  };

  const turns = (server: InstanceId): number => {
    const part = partOf(server);
    return part ? Math.floor(part.turns.tokens) : Infinity;
  };

  return {
    noteAnswer: (server, said) => {
      const before = known.get(server)?.perSecond;
      apply(knownLimits.noteAnswer(known, server, said, clock.now()), 'answer');
      const after = known.get(server)?.perSecond;
      if (after !== before) tellSenders(server, [before, after]);
    },
    applyReport: (told, source) => {
      apply(knownLimits.mergeLimitUpdates(known, told, clock.now()), source);
    },
    report: () => knownLimits.listLimitUpdates(known, clock.now()),
    reportToAll: (isWanted) => {
      const now = clock.now();
      const all = knownLimits.listLimitUpdates(known, now, { ofAll: true });
      const isDue = isWanted || now >= tellAllAt;
      if (isDue) tellAllAt = later(now, TELL_ALL_MS);
      const isNews = ([server]: LimitUpdate): boolean =>
        known.get(server)?.perSecond !== toldLast.get(server)?.perSecond;
      const told = isDue ? all : all.filter(isNews);
      toldLast = known;
      return told;
    },
    tokens: turns,
    takeToken: (server) => {
      const part = partOf(server);
      if (!part) return;
      part.turns = { ...part.turns, tokens: part.turns.tokens - 1 };
      ctx.metrics.count('nutmegstack_limited_sends_total');
    },
    msUntilToken: (server) => {
      const part = partOf(server);
      return part ? msUntilToken(part.turns, part.share) : 0;
    },
    msUntilAccepted: (server) => {
      const part = partOf(server);
      if (!part) return 0;
      return Math.min(msUntilToken(part.turns, part.share), requestIntervalMs(part.limitPerS));
    },
    tick: () => {
      lookUpDaemons(clock.now());
      let hasNew = false;
      for (const [server, part] of parts) {
        const hasTurn = turns(server) >= 1;
        hasNew ||= hasTurn && !part.hadTurn;
        part.hadTurn = hasTurn;
      }
      return hasNew;
    },
  };
}

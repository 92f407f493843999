/** How many requests this daemon may send to each cold server now. */

import type { BehaviorSubject } from 'rxjs';

import * as cold from '../../core/gateway/limits/cold';
import type { ColdLimit, RecentSends } from '../../core/gateway/limits/cold';
import { limitEnd } from '../../core/gateway/limits/cold-periods';
import { isStandby } from '../../core/gateway/forming/start';
import type { RouteTable } from '../../core/gateway/routes';
import { later } from '../../core/ids';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { ColdAssignments, ColdServer } from './cold-assignments';
import { createColdPeriods } from './cold-periods';
import type { LimitedPeriod } from './cold-periods';
import type { GatewayContext } from './context';
import type { ColdReport, ColdSendersMessage } from './messages';
import type { ServerRegistry } from './server-registry';

/** What limits the requests to a cold server; without effect for other servers. */
export interface ColdLimits {
  /** Requests that may be sent now; infinite unless the server is cold. */
  tokens(server: InstanceId): number;
  /** Takes a token for a request that is being sent. */
  takeToken(server: InstanceId): void;
  /**
   * Counts a request as sent, in place of the token that it took. Returns false if it must not be
   * sent: the server has become cold since.
   */
  noteSent(server: InstanceId): boolean;
  /** Returns the token of a request that was not sent. */
  returnToken(server: InstanceId): void;
  /**
   * Time until a token is available, milliseconds: for a daemon that is no sender, until the limit
   * ends.
   */
  msUntilToken(server: InstanceId): number;
  /** Time until any daemon may send a request, milliseconds. */
  msUntilAccepted(server: InstanceId): number;
  /** The limit on this daemon's requests; undefined if the server is not cold. */
  limit(server: InstanceId): ColdLimit | undefined;
  /** Factor on the free capacity of a server that has just become warm; otherwise 1. */
  warmUpFactor(server: InstanceId): number;
}

export interface ColdServers extends ColdLimits {
  /** Notes an answer of the server; `sentAt`: when its request was sent, if known. */
  noteColdMs(server: InstanceId, coldMs: number, sentAt?: MonoTime): void;
  /** To be called once any daemon serves callers. */
  noteTraffic(): void;
  /** This daemon's assignments and what it learned from answers, for its state; if there is any. */
  report(): ColdReport | undefined;
  applyReport(report: ColdReport): void;
  /** Applies the leader's assignments. */
  applySenders(message: ColdSendersMessage, source: string): void;
  /** Whether tokens became available for waiting requests. */
  tick(): boolean;
}

export interface ColdServersOptions {
  readonly serverRegistry: Pick<ServerRegistry, 'servers' | 'changes'>;
  readonly routes: BehaviorSubject<RouteTable | undefined>;
  readonly assignments: ColdAssignments;
}

/** While a leader is present, senders are assigned within this time of the start of a cold period. */
const ASSIGNMENT_MS = 500;
/** Interval at which records of servers without recent requests are dropped. */
const PRUNE_MS = 1_000;
const MS_PER_S = 1_000;

export function createColdServers(
  ctx: GatewayContext,
  { serverRegistry, routes, assignments }: ColdServersOptions,
): ColdServers {
  const { clock, logger, metrics, settings, tunables } = ctx;
  const startedAt = clock.now();
  const periods = createColdPeriods(ctx, serverRegistry, routes);
  const sends = new Map<InstanceId, RecentSends>();
  /** Servers that were limited at the last check, and whether a token was available. */
  let checked: ReadonlyMap<InstanceId, boolean> = new Map();
  let pruneAt = startedAt;

  const sendsOf = (server: InstanceId): RecentSends => sends.get(server) ?? cold.NO_SENDS;

  /** A daemon that has just started does not know what its earlier process sent in the last second. */
  const allowanceOf = (server: InstanceId, { bound }: LimitedPeriod): number =>
    clock.now() < later(startedAt, cold.SEND_WINDOW_MS)
      ? 0
      : cold.allowanceOf(assignments.of(server), settings.id, bound);

  const tokens = (server: InstanceId): number => {
    const period = periods.limited(server);
    if (!period) return Infinity;
    return cold.tokensLeft(sendsOf(server), allowanceOf(server, period), clock.now());
  };

  const msUntilAccepted = (server: InstanceId): number => {
    const period = periods.limited(server);
    if (!period) return 0;
    const { senders = [], perSender = 0 } = assignments.of(server) ?? {};
    const perSecond = senders.length * perSender;
    const nextMs = perSecond === 0 ? ASSIGNMENT_MS : MS_PER_S / perSecond;
    return Math.min(limitEnd(period) - clock.now(), nextMs);
  };

  const msUntilToken = (server: InstanceId): number => {
    const period = periods.limited(server);
    if (!period) return 0;
    const now = clock.now();
    const assignedBy = later(period.since, ASSIGNMENT_MS);
    const mayBeAssigned = !assignments.of(server) && now < assignedBy;
    return Math.min(
      limitEnd(period) - now,
      cold.msUntilSend(sendsOf(server), allowanceOf(server, period), now),
      mayBeAssigned ? assignedBy - now : Infinity,
    );
  };

  const noteSent = (server: InstanceId): boolean => {
    if (!periods.hasBound(server)) return true;
    const now = clock.now();
    const period = periods.limited(server);
    const { sent } = cold.recentSends(sendsOf(server), now);
    const isAllowed = !period || sent.length < allowanceOf(server, period);
    if (isAllowed) sends.set(server, cold.endReservation(sendsOf(server), now, true));
    if (period) metrics.count('nutmegstack_cold_sends_total', { sent: String(isAllowed) });
    return isAllowed;
  };

  /** Only heads of groups and plain servers take requests. */
  const takesRequests = (server: InstanceId): boolean => {
    const row = serverRegistry.servers.get(server);
    if (!row) return false;
    if (!routes.value?.service(row.service)?.engine) return true;
    return row.membership?.rank === 0 && !isStandby(row.membership.group);
  };

  const pruneSends = (now: MonoTime): void => {
    if (now < pruneAt) return;
    pruneAt = later(now, PRUNE_MS);
    for (const [server, known] of sends) {
      const { sent, reserved } = cold.recentSends(known, now);
      if (sent.length + reserved.length === 0) sends.delete(server);
    }
  };

  /** Whether a limit ended, or a token became available, since the last check. */
  const checkTokens = (limited: readonly InstanceId[]): boolean => {
    const before = checked;
    checked = new Map(limited.map((server) => [server, tokens(server) >= 1]));
    const ended = [...before.keys()].filter((server) => !checked.has(server));
    for (const server of ended) {
      if (assignments.forget(server))
        logger.info('limit of a cold server ended', { step: 'cold', server });
    }
    const isNew = ([server, hasToken]: [InstanceId, boolean]): boolean =>
      hasToken && before.get(server) !== true;
    return ended.length > 0 || [...checked].some(isNew);
  };

  return {
    tokens,
    takeToken: (server) => {
      if (!periods.hasBound(server)) return;
      sends.set(server, cold.addReservation(sendsOf(server), clock.now()));
    },
    noteSent,
    returnToken: (server) => {
      if (!sends.has(server)) return;
      sends.set(server, cold.endReservation(sendsOf(server), clock.now(), false));
    },
    msUntilToken,
    msUntilAccepted,
    limit: (server) => {
      const period = periods.limited(server);
      if (!period) return undefined;
      const endMs = limitEnd(period) - clock.now();
      return { perSecond: allowanceOf(server, period), endMs };
    },
    warmUpFactor: (server) => periods.warmUpFactor(server),
    noteColdMs: (server, coldMs, sentAt) => {
      periods.note(server, { coldMs, source: 'answer', sentAt });
    },
    noteTraffic: () => {
      periods.noteTraffic();
    },
    report: () => {
      const now = clock.now();
      const entries = periods.allLimited().flatMap(([server, period]): ColdReport => {
        const { until, source } = period;
        const statedMs = source === 'answer' ? Math.max(0, Math.round(until - now)) : 0;
        const perSecond = allowanceOf(server, period);
        return statedMs + perSecond === 0 ? [] : [[server, statedMs, perSecond]];
      });
      return entries.length === 0 ? undefined : entries;
    },
    applyReport: (report) => {
      for (const [server, coldMs] of report) periods.note(server, { coldMs, source: 'peer' });
    },
    applySenders: (message, source) => {
      if (assignments.isOutdated(message)) return;
      for (const [server, , coldMs] of message.servers)
        periods.note(server, { coldMs, source: 'peer' });
      const servers = message.servers.filter(([server]) => periods.limited(server));
      assignments.receive({ ...message, servers }, source);
    },
    tick: () => {
      if (tunables.value.coldFactor === undefined) return false;
      const now = clock.now();
      periods.tick();
      pruneSends(now);
      const limited = periods.allLimited();
      const serving = limited.flatMap(([server, { bound, until, earlierUntil }]): ColdServer[] => {
        if (!takesRequests(server)) return [];
        const leftMs = Math.max(0, until - now);
        return [{ server, bound, leftMs, ...(earlierUntil && { assignAt: earlierUntil }) }];
      });
      assignments.tick(serving);
      metrics.gauge('nutmegstack_cold_servers', serving.length);
      return checkTokens(limited.map(([server]) => server));
    },
  };
}

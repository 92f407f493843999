/**
 * Cold periods of the servers, as known from their rows and answers and from messages of peers.
 * Without a bound on requests to cold servers nothing is recorded.
 */

import type { BehaviorSubject } from 'rxjs';

import { coldBound, SEND_WINDOW_MS, warmUpFactor } from '../../core/gateway/limits/cold';
import { limitEnd, noteCold, unstatedColdMs } from '../../core/gateway/limits/cold-periods';
import type { ColdPeriod, ColdStatement } from '../../core/gateway/limits/cold-periods';
import type { RouteTable } from '../../core/gateway/routes';
import type { BackendServer, ServiceSpec } from '../../core/gateway/types';
import { brandAs, later } from '../../core/ids';
import type { EpochTime, InstanceId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';
import type { ServerRegistry } from './server-registry';

/** A cold period during which the requests to the server are limited. */
export interface LimitedPeriod extends ColdPeriod {
  /** Bound on the requests that the server may receive in one second. */
  readonly bound: number;
  /**
   * Until when requests count that daemons sent before they knew that it is cold; absent if it took
   * none then.
   */
  readonly earlierUntil?: MonoTime;
}

export interface ColdPeriods {
  /** Whether there is a bound on requests to the server while it is cold. */
  hasBound(server: InstanceId): boolean;
  /** The period of a server whose requests are limited now. */
  limited(server: InstanceId): LimitedPeriod | undefined;
  /** All servers whose requests are limited now. */
  allLimited(): readonly (readonly [InstanceId, LimitedPeriod])[];
  note(server: InstanceId, statement: ColdStatement): void;
  /** To be called once any daemon serves callers. */
  noteTraffic(): void;
  /** Factor on the free capacity of a server that has just become warm; otherwise 1. */
  warmUpFactor(server: InstanceId): number;
  /** Reads new rows and drops periods that no longer matter. */
  tick(): void;
}

/**
 * Callers were served before a daemon that learns of it this soon after its start: states of peers
 * arrive within this time.
 */
const START_MS = 2_000;

export function createColdPeriods(
  { clock, tunables }: GatewayContext,
  serverRegistry: Pick<ServerRegistry, 'servers' | 'changes'>,
  routes: BehaviorSubject<RouteTable | undefined>,
): ColdPeriods {
  const startedAt = clock.now();
  const periods = new Map<InstanceId, ColdPeriod>();
  /** Servers that took requests before they became cold. */
  const earlierUntil = new Map<InstanceId, MonoTime>();
  /** Rows that were read. */
  const rows = new Map<InstanceId, BackendServer>();
  let haveRowsChanged = true;
  let trafficSince: EpochTime | undefined;

  serverRegistry.changes.subscribe(() => {
    haveRowsChanged = true;
  });

  const serviceOf = ({ service }: BackendServer): ServiceSpec | undefined =>
    routes.value?.service(service);

  /** The bound on requests to the server while it is cold; undefined if it has none. */
  const boundOf = (server: InstanceId): number | undefined => {
    const { coldFactor: factor, coldSlack: slack = 0 } = tunables.value;
    if (factor === undefined) return undefined;
    const row = serverRegistry.servers.get(server);
    const coldPerS = (row && serviceOf(row)?.coldPerS) ?? 0;
    return coldPerS === 0 ? undefined : coldBound(coldPerS, { factor, slack });
  };

  /** Whether the server takes requests: a plain one, or the head of an open group. */
  const isServing = (row: BackendServer): boolean =>
    !serviceOf(row)?.engine || (row.membership?.rank === 0 && row.membership.state === 'open');

  const noteWith = (
    server: InstanceId,
    statement: ColdStatement,
    earlierRow: BackendServer | undefined,
  ): void => {
    if (tunables.value.coldFactor === undefined) return;
    const before = periods.get(server);
    const period = noteCold(before, statement, clock.now());
    if (!period || period === before) return;
    periods.set(server, period);
    if (period.since === before?.since) return;
    if (earlierRow && isServing(earlierRow))
      earlierUntil.set(server, later(period.since, SEND_WINDOW_MS));
    else earlierUntil.delete(server);
  };

  const note = (server: InstanceId, statement: ColdStatement): void => {
    noteWith(server, statement, rows.get(server));
  };

  /** Reads each row once: its time counts from when it was written, which is about when it arrives. */
  const readRow = (row: BackendServer): void => {
    const before = rows.get(row.id);
    if (before === row) return;
    rows.set(row.id, row);
    const isSameReport = before?.reportNumber === row.reportNumber;
    if (before && isSameReport && row.reportNumber !== undefined) return;
    const { coldStartMs = 0 } = serviceOf(row) ?? {};
    const unstated = { startedAt: row.startedAt, coldStartMs, trafficSince };
    const coldMs = row.coldMs ?? unstatedColdMs(unstated, clock.epoch());
    // A row that does not state it does not end a period that the server stated elsewhere.
    if (row.coldMs !== undefined || coldMs > 0) noteWith(row.id, { coldMs, source: 'row' }, before);
  };

  const readRows = (): void => {
    if (!haveRowsChanged) return;
    haveRowsChanged = false;
    for (const row of serverRegistry.servers.values()) readRow(row);
    for (const server of rows.keys()) if (!serverRegistry.servers.has(server)) rows.delete(server);
  };

  /** A changed row counts from the moment that the registry has it, not from the next tick. */
  const periodOf = (server: InstanceId): ColdPeriod | undefined => {
    const row = haveRowsChanged ? serverRegistry.servers.get(server) : undefined;
    if (row) readRow(row);
    return periods.get(server);
  };

  const limited = (server: InstanceId): LimitedPeriod | undefined => {
    const bound = boundOf(server);
    const period = bound === undefined ? undefined : periodOf(server);
    if (bound === undefined || !period || clock.now() >= limitEnd(period)) return undefined;
    const until = earlierUntil.get(server);
    return { ...period, bound, ...(until !== undefined && { earlierUntil: until }) };
  };

  return {
    hasBound: (server) => boundOf(server) !== undefined,
    limited,
    allLimited: () =>
      [...periods.keys()].flatMap((server) => {
        const period = limited(server);
        return period ? [[server, period] as const] : [];
      }),
    note,
    noteTraffic: () => {
      const isAtStart = clock.now() < later(startedAt, START_MS);
      trafficSince ??= isAtStart ? brandAs<EpochTime>(0) : clock.epoch();
      for (const [server, { coldMs }] of rows) if (coldMs === undefined) rows.delete(server);
      haveRowsChanged = true;
    },
    warmUpFactor: (server) => {
      const period = periods.get(server);
      if (!period || boundOf(server) === undefined) return 1;
      return warmUpFactor(limitEnd(period), clock.now());
    },
    tick: () => {
      if (tunables.value.coldFactor === undefined) return;
      readRows();
      const now = clock.now();
      for (const [server, period] of periods) {
        if (warmUpFactor(limitEnd(period), now) < 1) continue;
        periods.delete(server);
        earlierUntil.delete(server);
      }
    },
  };
}

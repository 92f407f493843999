/**
 * Finds slow members of groups while this daemon holds the lease: requests reports of the members and
 * spares of a slow group, and notes the slow ones for the group planner. A slow server is asked again until
 * it reports normal speed. Knowledge ends with the lease.
 */

import {
  findSlowChecks,
  REPORT_INTERVAL_MS,
  trackSlowGroups,
} from '../../core/gateway/forming/slow';
import { evaluateReports, isNormalSpeed } from '../../core/gateway/forming/slow-reports';
import type { SlowCheck, SlowFinding } from '../../core/gateway/forming/slow-reports';
import type { FormingState, FormingView } from '../../core/gateway/forming/state';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { GroupId, InstanceId, MonoTime, ServiceId } from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import type { GatewayContext } from './context';

export interface SlowMembers {
  /** Checks slow groups and measures slow servers again. To be called after each plan. */
  tick(service: ServiceId, view: FormingView): void;
}

export interface SlowMembersOptions {
  /** Slowdown factors of groups, by head. */
  readonly slowdowns: () => ReadonlyMap<InstanceId, number>;
  readonly servers: Pick<Servers, 'report'>;
  readonly stateOf: (service: ServiceId) => FormingState;
  /** Notes a server as slow until the given time, or as having normal speed. */
  readonly noteSlow: (service: ServiceId, id: InstanceId, until: MonoTime | undefined) => void;
  /** Whether this daemon still leads under the fencing number. */
  readonly isCurrent: (fencing: number) => boolean;
  /** Called after a member was noted as slow. */
  readonly replan: () => void;
}

/** Groups are looked at this often: loads of peers arrive every 400 ms in a large fleet. */
const LOOK_INTERVAL_MS = 250;
/** As for a stalled group; a healthy server takes about a millisecond. */
const REPORT_TIMEOUT_MS = 250;
/** A slow server that gives no further report counts as slow for this long: two reports may be lost. */
const EXCLUSION_MS = 3 * REPORT_INTERVAL_MS;

/** Checks are remembered for this long, so that slow groups take turns. */
const MEMORY_MS = 60_000;

/** What is known about a service's groups under one lease. */
interface Knowledge {
  readonly fencing: number;
  lookAt: MonoTime;
  slowSince: ReadonlyMap<GroupId, MonoTime>;
  /** When the members of each group were last asked for reports. */
  readonly askedAt: Map<GroupId, MonoTime>;
  /** When each slow server was last asked. */
  readonly measuredAt: Map<InstanceId, MonoTime>;
}

export function createSlowMembers(
  { clock, logger, metrics }: Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>,
  options: SlowMembersOptions,
): SlowMembers {
  const { slowdowns, servers, stateOf, noteSlow, isCurrent, replan } = options;
  const known = new Map<ServiceId, Knowledge>();

  const knowledgeOf = (service: ServiceId, fencing: number, now: MonoTime): Knowledge => {
    const current = known.get(service);
    if (current?.fencing === fencing) return current;
    const fresh: Knowledge = {
      ...{ fencing, lookAt: now, slowSince: new Map() },
      ...{ askedAt: new Map(), measuredAt: new Map() },
    };
    known.set(service, fresh);
    return fresh;
  };

  /** Slowdown factor that the server reports; undefined without an answer. */
  const measure = async (server: BackendServer): Promise<number | undefined> => {
    metrics.count('nutmegstack_slow_reports_total');
    const report = await servers.report(server, REPORT_TIMEOUT_MS);
    return report.map(({ slowdown }) => slowdown).unwrapOr(undefined);
  };

  const logCheck = (
    { group, model, slowdown, slowForMs, members, spares }: SlowCheck,
    { outcome, ...slow }: SlowFinding,
    reported: ReadonlyMap<InstanceId, number>,
  ): void => {
    const format = (asked: readonly BackendServer[]): string =>
      asked.map(({ id }) => `${id}=${reported.get(id)?.toFixed(1) ?? '-'}`).join(' ');
    metrics.count('nutmegstack_slow_checks_total', { outcome });
    logger.info('slow group checked', {
      step: 'slow',
      group,
      model,
      outcome,
      slowdown: Number(slowdown.toFixed(1)),
      slowForMs: Math.round(slowForMs),
      members: format(members),
      spares: format(spares.map(({ server }) => server)),
      slow: [...slow.members, ...slow.spares].join(' '),
    });
  };

  const check = async (service: ServiceId, found: SlowCheck, fencing: number): Promise<void> => {
    const asked = [...found.members, ...found.spares.map(({ server }) => server)];
    const reports = await Promise.all(asked.map(measure));
    if (!isCurrent(fencing)) return;
    const reported = new Map<InstanceId, number>();
    asked.forEach(({ id }, i) => {
      const slowdown = reports[i];
      if (slowdown !== undefined) reported.set(id, slowdown);
    });
    const finding = evaluateReports(found, reported);
    logCheck(found, finding, reported);
    const isReplaced = finding.outcome === 'replace';
    const until = later(clock.now(), EXCLUSION_MS);
    for (const id of [...finding.spares, ...(isReplaced ? finding.members : [])]) {
      known.get(service)?.measuredAt.set(id, clock.now());
      noteSlow(service, id, until);
    }
    if (isReplaced) replan();
  };

  const measureAgain = async (
    service: ServiceId,
    server: BackendServer,
    fencing: number,
  ): Promise<void> => {
    const slowdown = await measure(server);
    if (slowdown === undefined || !isCurrent(fencing)) return;
    const isNormal = isNormalSpeed(slowdown);
    noteSlow(service, server.id, isNormal ? undefined : later(clock.now(), EXCLUSION_MS));
    if (isNormal)
      logger.info('server at normal speed', { step: 'slow', server: server.id, slowdown });
  };

  /**
   * The server noted as slow that was not asked for longest, if that is longer than the interval. One at a
   * time, so that many slow servers cost no more than a few reports a second.
   */
  const findDue = (
    { slowMembers }: FormingState,
    view: FormingView,
    { measuredAt }: Knowledge,
  ): BackendServer | undefined => {
    const now = clock.now();
    const lastAt = (id: InstanceId): number => measuredAt.get(id) ?? -Infinity;
    const isAskable = (id: InstanceId): boolean => {
      const server = view.servers.get(id);
      return server !== undefined && !(view.evacuated?.has(server.zone) ?? false);
    };
    const [oldest] = [...slowMembers.keys()]
      .filter((id) => isAskable(id) && now >= lastAt(id) + REPORT_INTERVAL_MS)
      .sort((a, b) => lastAt(a) - lastAt(b));
    return oldest === undefined ? undefined : view.servers.get(oldest);
  };

  const forget = ({ askedAt, measuredAt }: Knowledge, now: MonoTime): void => {
    for (const [id, at] of askedAt) if (now >= later(at, MEMORY_MS)) askedAt.delete(id);
    for (const [id, at] of measuredAt) if (now >= later(at, MEMORY_MS)) measuredAt.delete(id);
  };

  return {
    tick: (service, view) => {
      const now = clock.now();
      const { fencing } = view;
      const knowledge = knowledgeOf(service, fencing, now);
      if (now < knowledge.lookAt) return;
      knowledge.lookAt = later(now, LOOK_INTERVAL_MS);
      const state = stateOf(service);
      const { askedAt } = knowledge;
      const input = { state, view, now, slowdowns: slowdowns(), askedAt };
      knowledge.slowSince = trackSlowGroups({ ...input, slowSince: knowledge.slowSince });
      for (const found of findSlowChecks({ ...input, slowSince: knowledge.slowSince })) {
        askedAt.set(found.group, now);
        void check(service, found, fencing);
      }
      const server = findDue(state, view, knowledge);
      if (server) {
        knowledge.measuredAt.set(server.id, now);
        void measureAgain(service, server, fencing);
      }
      forget(knowledge, now);
    },
  };
}

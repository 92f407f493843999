/**
 * Plans replica groups while this daemon holds the lease: sends orders to servers and investigates
 * stalls.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { FormingState, FormingView, OrderEffect } from '../../core/gateway/forming/state';
import { createFormingState } from '../../core/gateway/forming/state';
import { EPOCHS_PER_LEASE, isStandby } from '../../core/gateway/forming/start';
import { noteResult, noteSuspect, planGroups } from '../../core/gateway/forming/plan';
import type { RouteTable } from '../../core/gateway/routes';
import type { BackendServer, ServiceSpec } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type {
  FencingNumber,
  GroupId,
  InstanceId,
  ModelId,
  MonoTime,
  ServiceId,
} from '../../core/ids';
import type { Servers } from '../../ports/gateway';
import { pause } from '../../utils/pause';
import type { Stall } from './group-health';
import type { GatewayContext } from './context';
import type { Leadership } from './lease';
import type { ServerRegistry } from './server-registry';

export interface GroupPlanner {
  /** Plans again. To be called after each change and periodically. */
  tick(): void;
  /** Asks the members of a stalled group for reports and replaces those that do not answer. */
  inspect(stall: Stall): void;
  /** Groups with a member that did not answer and is therefore considered lost. */
  readonly lost: Observable<Stall>;
  /** To be called once any daemon serves callers. */
  noteTraffic(): void;
}

/**
 * A member that sends no report within this time is considered lost. A healthy one takes about a
 * millisecond.
 */
const REPORT_TIMEOUT_MS = 250;
/**
 * After this time a second request is sent on a connection of its own, in case a packet was lost.
 */
const RETRY_REPORT_MS = 90;
/** A lost member is excluded for this long, or until it restarts under another id. */
const LOST_EXCLUSION_MS = 20_000;
/** Minimum time between two inspections of the same group. */
const INSPECT_INTERVAL_MS = 700;
/**
 * Offered load is sampled at this interval and with this weight: a mean over about five seconds.
 */
const LOAD_SAMPLE_MS = 500;
const LOAD_SMOOTHING = 0.1;
/**
 * Share of processor time that planning may take. Each answer to an order and each change of the
 * servers requests a plan; in a large fleet these arrive faster than plans are computed, which
 * would delay lease renewals, the handling of answers, and all messages that peers wait for.
 */
const MAX_PLAN_SHARE = 0.2;

export interface GroupPlannerOptions {
  readonly serverRegistry: ServerRegistry;
  readonly routes: () => RouteTable | undefined;
  readonly leadership: Leadership;
  readonly servers: Servers;
  /** Whether any daemon has streams running in the group. */
  readonly isBusy: (group: GroupId) => boolean;
  /** Offered load of each model, in full batches. */
  readonly offeredLoad: () => ReadonlyMap<ModelId, number>;
}

export function createGroupPlanner(
  ctx: GatewayContext,
  options: GroupPlannerOptions,
): GroupPlanner {
  const { clock, logger } = ctx;
  const { serverRegistry, routes, leadership, servers, isBusy } = options;
  let term: FencingNumber | undefined;
  let states = new Map<ServiceId, FormingState>();
  let hasTraffic = false;
  let planDueAt = clock.now();
  let planTimer: NodeJS.Timeout | undefined;
  const nextInspectionAt = new Map<GroupId, MonoTime>();
  /** Servers whose entries expired and whose groups were inspected since. */
  const inspectedLapsed = new Set<InstanceId>();
  const lostGroups = new Subject<Stall>();

  /**
   * Offered load as a running mean, so that a short peak does not decide which model a group gets.
   */
  const smoothedLoad = new Map<ModelId, number>();
  let smoothedAt = clock.now();
  const updateSmoothedLoad = (): void => {
    const now = clock.now();
    if (now < later(smoothedAt, LOAD_SAMPLE_MS)) return;
    smoothedAt = now;
    for (const [model, work] of options.offeredLoad()) {
      const before = smoothedLoad.get(model) ?? work;
      smoothedLoad.set(model, before + LOAD_SMOOTHING * (work - before));
    }
  };

  const beginTerm = (fencing: FencingNumber): void => {
    term = fencing;
    states = new Map();
  };

  const stateOf = (service: ServiceId): FormingState => {
    const { headBreakMs, loadWindowMs } = ctx.tunables.value;
    const state = states.get(service) ?? createFormingState();
    return { ...state, settings: { ...state.settings, headBreakMs, loadWindowMs } };
  };

  const viewOf = (
    { name, engine }: ServiceSpec,
    fencing: FencingNumber,
  ): FormingView | undefined => {
    if (!engine || engine.models.length === 0) return undefined;
    const current = [...serverRegistry.servers].filter(([, { service }]) => service === name);
    const lapsed = [...serverRegistry.lapsed].filter(([, { service }]) => service === name);
    const { ended } = serverRegistry;
    const servers = new Map(current);
    const view = { servers, lapsed: new Map(lapsed), ended, engine, fencing, hasTraffic };
    return hasTraffic && smoothedLoad.size > 0 ? { ...view, offeredLoad: smoothedLoad } : view;
  };

  const send = async (
    service: ServiceId,
    effect: OrderEffect,
    fencing: FencingNumber,
  ): Promise<void> => {
    const { key, server, order } = effect;
    const result = await servers.order(server, order);
    ctx.metrics.count('nutmegstack_orders_total', { kind: order.kind, result });
    logger.info('order', {
      step: 'order',
      order: order.kind,
      result,
      server: server.id,
      ...(order.kind === 'stage' ? { model: order.model } : { group: order.group }),
    });
    if (term !== fencing) return;
    states.set(service, noteResult(stateOf(service), key, result));
    tick();
  };

  const planService = (service: ServiceSpec, fencing: FencingNumber): void => {
    const view = viewOf(service, fencing);
    if (!view) return;
    const before = stateOf(service.name);
    const plan = planGroups(before, view, clock.now());
    states.set(service.name, plan.state);
    logPlan(before, plan.state);
    for (const effect of plan.orders) void send(service.name, effect, fencing);
  };

  const logPlan = (before: FormingState, after: FormingState): void => {
    for (const [group, { model, members }] of after.formations) {
      if (before.formations.has(group)) continue;
      logger.info('forming group', {
        step: 'plan',
        group,
        model,
        members: members.map(({ id }) => id).join(' '),
      });
    }
    for (const [group, { step, freeAt }] of after.retirements) {
      const earlier = before.retirements.get(group);
      if (earlier?.step === step && earlier.freeAt === freeAt) continue;
      logger.info('ending group', {
        step: 'plan',
        group,
        how: step,
        starved: freeAt !== undefined,
      });
    }
  };

  /** Plans now, or after a delay if the last plan took long. */
  const tick = (): void => {
    const startedAt = clock.now();
    if (startedAt < planDueAt) {
      planTimer ??= setTimeout(runDeferredPlan, Math.ceil(planDueAt - startedAt));
      return;
    }
    plan();
    const now = clock.now();
    planDueAt = later(now, (now - startedAt) * (1 / MAX_PLAN_SHARE - 1));
  };

  const runDeferredPlan = (): void => {
    planTimer = undefined;
    tick();
  };

  const plan = (): void => {
    const fencing = leadership.heldFencing();
    const table = routes();
    if (fencing === undefined || !table || serverRegistry.watch.isFailing()) return;
    if (fencing !== term) beginTerm(fencing);
    updateSmoothedLoad();
    for (const service of table.config.services) planService(service, fencing);
    if ([...states.values()].some(({ epochCount: epochs }) => epochs >= EPOCHS_PER_LEASE / 2)) {
      leadership.release();
    }
  };

  /** Whether the server sends a report, on the first or the second request. */
  const isResponding = async (server: BackendServer): Promise<boolean> => {
    const requestReport = async (timeoutMs: number): Promise<boolean> =>
      (await servers.report(server, timeoutMs)).isOk();
    const first = requestReport(REPORT_TIMEOUT_MS);
    const hasAnswered = await Promise.race([first, pause(RETRY_REPORT_MS).then(() => false)]);
    if (hasAnswered) return true;
    const both = await Promise.all([first, requestReport(REPORT_TIMEOUT_MS - RETRY_REPORT_MS)]);
    return both.includes(true);
  };

  const inspect = ({ group, head }: Stall): void => {
    const now = clock.now();
    const nextAt = nextInspectionAt.get(group);
    if (leadership.heldFencing() === undefined || (nextAt !== undefined && now < nextAt)) return;
    nextInspectionAt.set(group, later(now, INSPECT_INTERVAL_MS));
    const members = [...serverRegistry.servers.values(), ...serverRegistry.lapsed.values()].filter(
      ({ membership }) => membership?.group === group,
    );
    void inspectMembers(group, head, members);
  };

  const inspectMembers = async (
    group: GroupId,
    head: InstanceId,
    members: readonly BackendServer[],
  ): Promise<void> => {
    const responding = await Promise.all(members.map(isResponding));
    const lost = members.filter((_, i) => !responding[i]);
    logger.info('members asked', {
      step: 'inspect',
      group,
      head,
      members: members.length,
      lost: lost.map(({ id }) => id).join(' '),
    });
    // If no member answers, this daemon's own link may be down: check it against other domains
    // first.
    if (
      lost.length === members.length &&
      members.length > 1 &&
      !(await canReachOtherDomains(members))
    )
      return;
    for (const { id, service } of lost) {
      states.set(service, noteSuspect(stateOf(service), id, later(clock.now(), LOST_EXCLUSION_MS)));
    }
    if (lost.length === 0) return;
    if (!isStandby(group)) lostGroups.next({ group, head });
    tick();
  };

  /**
   * A member whose entry expired may be lost, or may only be cut off from the store and from this
   * daemon. If its group has streams, their events or their silence decide; an idle group is
   * inspected.
   */
  const inspectLapsed = (): void => {
    for (const { id, membership } of serverRegistry.lapsed.values()) {
      if (inspectedLapsed.has(id)) continue;
      inspectedLapsed.add(id);
      if (membership && !isBusy(membership.group)) inspect({ group: membership.group, head: id });
    }
    for (const id of inspectedLapsed)
      if (!serverRegistry.lapsed.has(id)) inspectedLapsed.delete(id);
  };

  serverRegistry.changes.subscribe(inspectLapsed);

  /**
   * Whether any engine server of another domain answers; servers of plain services give no reports.
   */
  const canReachOtherDomains = async (members: readonly BackendServer[]): Promise<boolean> => {
    const ownDomain = members[0]?.domain;
    const others = [...serverRegistry.servers.values()]
      .filter(({ domain }) => domain !== undefined && domain !== ownDomain)
      .slice(0, 2);
    const responding = await Promise.all(others.map(isResponding));
    return responding.includes(true);
  };

  return {
    tick,
    inspect,
    lost: lostGroups,
    noteTraffic: () => {
      hasTraffic = true;
    },
  };
}

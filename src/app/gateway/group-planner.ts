/** Runs the plan of replica groups while this daemon holds the lease: sends orders, and looks into stalls. */

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
import type { Stall } from './group-registry';
import type { GatewayContext } from './context';
import type { Leadership } from './lease';
import type { ServerRegistry } from './server-registry';

export interface GroupPlanner {
  /** Plans anew; to be called after each change and every so often. */
  tick(): void;
  /** Asks the members of a group that stands still, and replaces those that do not answer. */
  inspect(stall: Stall): void;
  /** Groups of which a member is lost, as its silence to questions shows. */
  readonly lost: Observable<Stall>;
  /** Set once callers are being served anywhere. */
  noteTraffic(): void;
}

/** A member that gives no report within this is held to be lost. A live one takes about a millisecond. */
const REPORT_TIMEOUT_MS = 250;
/** A second question goes out on a connection of its own after this, in case a packet was lost. */
const SECOND_REPORT_MS = 90;
/** A lost member is left out for this long, or until it starts anew under another id. */
const LOST_MS = 20_000;
/** The same group is not looked into again before this. */
const INSPECT_AGAIN_MS = 700;
/** Demand is taken in at this interval, with this weight: a mean over about five seconds. */
const DEMAND_MS = 500;
const DEMAND_SMOOTHING = 0.1;
/**
 * Part of the processor's time that planning may take. Each answer to an order and each change of the
 * servers asks for a plan; in a large fleet they come faster than plans are made, and what is late then
 * is the lease, the orders' answers and all that peers wait for.
 */
const PLAN_SHARE = 0.2;

export interface GroupPlannerOptions {
  readonly roster: ServerRegistry;
  readonly routes: () => RouteTable | undefined;
  readonly leadership: Leadership;
  readonly servers: Servers;
  /** Whether any daemon has streams running in the group. */
  readonly isBusy: (group: GroupId) => boolean;
  /** Work of each model, in full groups. */
  readonly offeredLoad: () => ReadonlyMap<ModelId, number>;
}

export function createGroupPlanner(
  ctx: GatewayContext,
  options: GroupPlannerOptions,
): GroupPlanner {
  const { clock, logger } = ctx;
  const { roster, routes, leadership, servers, isBusy } = options;
  let term: FencingNumber | undefined;
  let states = new Map<ServiceId, FormingState>();
  let hasTraffic = false;
  let planDueAt = clock.now();
  let planTimer: NodeJS.Timeout | undefined;
  const inspected = new Map<GroupId, MonoTime>();
  /** Servers whose entries have gone and whose groups were asked since. */
  const asked = new Set<InstanceId>();
  const lostGroups = new Subject<Stall>();

  /** Demand as a running mean, so that no short peak decides which model a group gets. */
  const smoothed = new Map<ModelId, number>();
  let smoothedAt = clock.now();
  const noteDemand = (): void => {
    const now = clock.now();
    if (now < later(smoothedAt, DEMAND_MS)) return;
    smoothedAt = now;
    for (const [model, work] of options.offeredLoad()) {
      const before = smoothed.get(model) ?? work;
      smoothed.set(model, before + DEMAND_SMOOTHING * (work - before));
    }
  };

  const begin = (fencing: FencingNumber): void => {
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
    const own = [...roster.servers].filter(([, { service }]) => service === name);
    const lapsed = [...roster.lapsed].filter(([, { service }]) => service === name);
    const { ended } = roster;
    const servers = new Map(own);
    const view = { servers, lapsed: new Map(lapsed), ended, engine, fencing, hasTraffic };
    return hasTraffic && smoothed.size > 0 ? { ...view, offeredLoad: smoothed } : view;
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

  /** Plans again soon after the last plan, and not at once, where that one took long. */
  const tick = (): void => {
    const startedAt = clock.now();
    if (startedAt < planDueAt) {
      planTimer ??= setTimeout(planLater, Math.ceil(planDueAt - startedAt));
      return;
    }
    plan();
    const now = clock.now();
    planDueAt = later(now, (now - startedAt) * (1 / PLAN_SHARE - 1));
  };

  const planLater = (): void => {
    planTimer = undefined;
    tick();
  };

  const plan = (): void => {
    const fencing = leadership.heldFencing();
    const table = routes();
    if (fencing === undefined || !table || roster.watch.isFailing()) return;
    if (fencing !== term) begin(fencing);
    noteDemand();
    for (const service of table.config.services) planService(service, fencing);
    if ([...states.values()].some(({ epochCount: epochs }) => epochs >= EPOCHS_PER_LEASE / 2)) {
      leadership.release();
    }
  };

  /** Whether the server reports, by the first or the second question. */
  const answers = async (server: BackendServer): Promise<boolean> => {
    const ask = async (timeoutMs: number): Promise<boolean> =>
      (await servers.report(server, timeoutMs)).isOk();
    const first = ask(REPORT_TIMEOUT_MS);
    const isQuick = await Promise.race([first, pause(SECOND_REPORT_MS).then(() => false)]);
    if (isQuick) return true;
    const both = await Promise.all([first, ask(REPORT_TIMEOUT_MS - SECOND_REPORT_MS)]);
    return both.includes(true);
  };

  const inspect = ({ group, head }: Stall): void => {
    const now = clock.now();
    const again = inspected.get(group);
    if (leadership.heldFencing() === undefined || (again !== undefined && now < again)) return;
    inspected.set(group, later(now, INSPECT_AGAIN_MS));
    const members = [...roster.servers.values(), ...roster.lapsed.values()].filter(
      ({ membership }) => membership?.group === group,
    );
    void inspectMembers(group, head, members);
  };

  const inspectMembers = async (
    group: GroupId,
    head: InstanceId,
    members: readonly BackendServer[],
  ): Promise<void> => {
    const alive = await Promise.all(members.map(answers));
    const lost = members.filter((_, i) => !alive[i]);
    logger.info('members asked', {
      step: 'inspect',
      group,
      head,
      members: members.length,
      lost: lost.map(({ id }) => id).join(' '),
    });
    // No answer from any of them speaks of this daemon's own link as much as of the members.
    if (lost.length === members.length && members.length > 1 && !(await reachesOthers(members)))
      return;
    for (const { id, service } of lost) {
      states.set(service, noteSuspect(stateOf(service), id, later(clock.now(), LOST_MS)));
    }
    if (lost.length === 0) return;
    if (!isStandby(group)) lostGroups.next({ group, head });
    tick();
  };

  /**
   * A member whose entry has gone may be lost, or may have lost touch with the list and with this
   * daemon alone. Streams of its group tell by going on or by falling silent; a group without any is
   * asked.
   */
  const inspectLapsed = (): void => {
    for (const { id, membership } of roster.lapsed.values()) {
      if (asked.has(id)) continue;
      asked.add(id);
      if (membership && !isBusy(membership.group)) inspect({ group: membership.group, head: id });
    }
    for (const id of asked) if (!roster.lapsed.has(id)) asked.delete(id);
  };

  roster.changes.subscribe(inspectLapsed);

  /** Whether any engine server of another domain answers; plain servers give no reports. */
  const reachesOthers = async (members: readonly BackendServer[]): Promise<boolean> => {
    const own = members[0]?.domain;
    const others = [...roster.servers.values()]
      .filter(({ domain }) => domain !== undefined && domain !== own)
      .slice(0, 2);
    const alive = await Promise.all(others.map(answers));
    return alive.includes(true);
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

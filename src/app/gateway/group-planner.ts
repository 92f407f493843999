/**
 * Plans replica groups while this daemon holds the lease: sends orders to servers and has stalled
 * groups inspected.
 */

import { filter } from 'rxjs';
import type { Observable } from 'rxjs';

import { noteStalled } from '../../core/gateway/forming/adopt';
import type { LoadSample } from '../../core/gateway/forming/demand';
import type { FormingState, FormingView, OrderEffect } from '../../core/gateway/forming/state';
import { createFormingState } from '../../core/gateway/forming/state';
import { EPOCHS_PER_LEASE } from '../../core/gateway/forming/epochs';
import {
  noteResult,
  noteSilent,
  noteSlow,
  noteSuspect,
  planGroups,
} from '../../core/gateway/forming/plan';
import type { RouteTable } from '../../core/gateway/routes';
import type { LossEvidence } from '../../core/gateway/suspicion';
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
import type { Stall } from './group-registry';
import type { GatewayContext } from './context';
import type { Evacuations } from './evacuations';
import type { Leadership } from './lease';
import { createMemberInspection } from './member-inspection';
import type { LastEventAt } from './group-inspection';
import { createModelDemand } from './model-demand';
import { logReassignments } from './reassignment-log';
import type { ServerRegistry } from './server-registry';
import { createSlowMembers } from './slow-members';

export interface GroupPlanner {
  /** Plans again. To be called after each change and periodically. */
  tick(): void;
  /**
   * Notes that the streams of a group have stalled. If an inspection finds that all its known members answer,
   * this shows that it lost another one.
   */
  noteStalled(stall: Stall): void;
  /** Asks the members of a stalled group for reports and replaces those that do not answer. */
  inspect(stall: Stall, lastEventAt?: LastEventAt): void;
  /** Asks the members of a group that an earlier leader found silent, unless they are being asked. */
  recheck(stall: Stall, lastEventAt: LastEventAt): void;
  /** Groups with a member that did not answer and is therefore considered lost. */
  readonly lost: Observable<Stall>;
  /** Groups that were lost by silence alone, whose members answer again, and that are not being ended. */
  readonly recovered: Observable<Stall>;
  /** To be called once any daemon serves callers. */
  noteTraffic(): void;
}

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

/** Time for which a confirmed stall is remembered: longer than the inspection that it leads to. */
const STALL_RETENTION_MS = 10_000;

export interface GroupPlannerOptions {
  readonly evacuations: Pick<Evacuations, 'zones' | 'isEvacuated' | 'changes'>;
  readonly serverRegistry: ServerRegistry;
  readonly routes: () => RouteTable | undefined;
  readonly leadership: Leadership;
  readonly servers: Servers;
  /** Whether a server that does not answer here is reached through a peer. */
  readonly isReachedByPeer: (address: string) => Promise<boolean>;
  /** Whether a server that refuses this daemon has ended, as far as peers can tell. */
  readonly hasEnded: (address: string) => Promise<boolean>;
  /** Whether any daemon has streams running in the group. */
  readonly isBusy: (group: GroupId) => boolean;
  /** Whether any daemon may hold unfinished answers of the head. */
  readonly hasAnswers: (head: InstanceId) => boolean;
  /** The same, of any head that is not known. */
  readonly hasAnswersOfOthers: (isKnown: (head: InstanceId) => boolean) => boolean;
  /** Offered load of each model, in full batches. */
  readonly offeredLoad: () => ReadonlyMap<ModelId, number>;
  /** Slowdown factors of groups, by head. */
  readonly slowdowns: () => ReadonlyMap<InstanceId, number>;
  /** Load of each model, from which the demand is measured. */
  readonly loadSamples: () => ReadonlyMap<ModelId, LoadSample>;
}

export function createGroupPlanner(
  ctx: GatewayContext,
  options: GroupPlannerOptions,
): GroupPlanner {
  const { clock, logger } = ctx;
  const { serverRegistry, routes, leadership, servers, isBusy, evacuations } = options;
  let term: FencingNumber | undefined;
  let states = new Map<ServiceId, FormingState>();
  let hasTraffic = false;
  let planDueAt = clock.now();
  let planTimer: NodeJS.Timeout | undefined;

  /**
   * Offered load as a running mean, so that a short peak does not decide which model a group gets.
   */
  const smoothedLoad = new Map<ModelId, number>();
  let smoothedAt = clock.now();
  const modelDemand = createModelDemand(clock);
  const updateSmoothedLoad = (): void => {
    const now = clock.now();
    if (now < later(smoothedAt, LOAD_SAMPLE_MS)) return;
    smoothedAt = now;
    if (hasTraffic) modelDemand.sample(options.loadSamples());
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

  /** Heads of which daemons hold answers; asked for only of those that may be ended for silence. */
  const findAnswering = (
    service: ServiceId,
    listed: readonly (readonly [InstanceId, BackendServer])[],
    lapsed: readonly (readonly [InstanceId, BackendServer])[],
  ): ReadonlySet<InstanceId> => {
    const known = stateOf(service).silentSince.size === 0 ? lapsed : [...listed, ...lapsed];
    const heads = known.filter(([, { membership }]) => membership?.rank === 0);
    return new Set(heads.flatMap(([id]) => (options.hasAnswers(id) ? [id] : [])));
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
    const evacuated = evacuations.zones();
    const isKnown = (id: InstanceId): boolean =>
      serverRegistry.servers.has(id) || serverRegistry.lapsed.has(id) || ended.has(id);
    const view = {
      ...{ servers, lapsed: new Map(lapsed), ended, engine, fencing, hasTraffic, evacuated },
      answering: findAnswering(name, current, lapsed),
      hasUnknownAnswers: () => options.hasAnswersOfOthers(isKnown),
    };
    if (!hasTraffic || smoothedLoad.size === 0) return view;
    return { ...view, offeredLoad: smoothedLoad, demand: modelDemand.demand() };
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
    logReassignments(ctx, { before, after: plan.state, demands: modelDemand });
    for (const effect of plan.orders) void send(service.name, effect, fencing);
    slowMembers.tick(service.name, view);
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
    for (const group of before.retirements.keys()) {
      if (!after.retirements.has(group) && !after.dissolved.has(group))
        logger.info('ending withdrawn', { step: 'plan', group });
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
    pruneStalls();
    for (const service of table.config.services) planService(service, fencing);
    if ([...states.values()].some(({ epochCount: epochs }) => epochs >= EPOCHS_PER_LEASE / 2)) {
      leadership.release();
    }
  };

  /** When streams of groups were last confirmed to have stalled. */
  const stalledAt = new Map<GroupId, MonoTime>();
  const pruneStalls = (): void => {
    const now = clock.now();
    for (const [group, at] of stalledAt)
      if (now >= later(at, STALL_RETENTION_MS)) stalledAt.delete(group);
  };

  const noteLost = (
    lost: readonly BackendServer[],
    until: MonoTime,
    evidence: LossEvidence,
  ): void => {
    for (const { id, service } of lost) {
      const before = stateOf(service);
      const after =
        evidence === 'ended'
          ? noteSuspect(before, id, until)
          : noteSilent(before, id, until, clock.now());
      states.set(service, after);
    }
  };
  const inspection = createMemberInspection(ctx, {
    ...{ serverRegistry, leadership, servers, isBusy, evacuations, noteLost, replan: tick },
    noteFound: ({ id, service }) => {
      states.set(service, noteSuspect(stateOf(service), id));
    },
    isReachedByPeer: options.isReachedByPeer,
    hasEnded: options.hasEnded,
  });
  inspection.stillSilent.subscribe(({ group, head }) => {
    const at = stalledAt.get(group);
    const service = serverRegistry.servers.get(head)?.service;
    if (service === undefined || at === undefined || clock.now() >= later(at, STALL_RETENTION_MS))
      return;
    states.set(service, noteStalled(stateOf(service), group));
    tick();
  });
  evacuations.changes.subscribe(() => {
    tick();
  });

  const slowMembers = createSlowMembers(ctx, {
    slowdowns: options.slowdowns,
    servers,
    stateOf,
    noteSlow: (service, id, until) => {
      states.set(service, noteSlow(stateOf(service), id, until));
    },
    isCurrent: (fencing) => term === fencing && leadership.heldFencing() === fencing,
    replan: tick,
  });

  return {
    tick,
    noteStalled: ({ group }) => {
      stalledAt.set(group, clock.now());
    },
    inspect: (stall, lastEventAt) => {
      inspection.inspect(stall, lastEventAt);
    },
    recheck: (stall, lastEventAt) => {
      inspection.recheck(stall, lastEventAt);
    },
    lost: inspection.lost,
    recovered: inspection.recovered.pipe(
      filter(({ group }) => [...states.values()].every((state) => !state.retirements.has(group))),
    ),
    noteTraffic: () => {
      hasTraffic = true;
    },
  };
}

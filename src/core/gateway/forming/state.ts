/** What the former of replica groups knows beside the servers' own reports. */

import type { DomainId, Epoch, GroupId, InstanceId, ModelId, MonoTime } from '../../ids';
import { later } from '../../ids';
import type { OrderResult, ServerOrder } from '../orders';
import type { BackendServer, EngineSpec } from '../types';

/**
 * What the plan does beside replacing lost members. Each can be switched off, to measure what it is
 * worth (`npm run bench forming`).
 *
 * - `held-spares`: spares that complete an ending group are not taken by another one.
 * - `reserve`: as many servers are kept spare as losses are likely.
 * - `wanted`: no loads for groups that no work fills.
 * - `rebalance`: a model that lacks groups takes those of another one.
 * - `staged-members`: a member of a smaller group has the larger model on its host.
 * - `spares`: spares are warm, with the other model on their hosts.
 */
export type FormingMechanism =
  'held-spares' | 'reserve' | 'wanted' | 'rebalance' | 'staged-members' | 'spares';

export interface FormingSettings {
  /** Mechanisms that are switched off, for measurement. */
  readonly disabledMechanisms: readonly FormingMechanism[];
  /** A head that waits for a lost member stands still for so long before it is broken; the platform's figure. */
  readonly headBreakMs: number;
  /** Weight loads are counted over windows of this length; the platform's figure. */
  readonly loadWindowMs: number;
  /**
   * An order without a visible effect is sent again after this: an answer takes a few milliseconds, and
   * the server's entry shows the effect within about 100. All orders are idempotent.
   */
  readonly resendMs: number;
  /**
   * Longest time between two sendings of an order. After `quickSends` the time doubles with each: a
   * server that still gives no sign is likely dark, and a fleet loses servers by the hundred.
   */
  readonly maxResendMs: number;
  readonly fastResends: number;
  /** Added to `headBreakMs` before members of an unreachable head are used again, for clocks and reports. */
  readonly starveMarginMs: number;
  /** Added to the expected time of a join before it is given up. */
  readonly joinSlackMs: number;
  /** A half-formed group of an earlier leader is left so long to become whole. */
  readonly adoptTimeoutMs: number;
  /** A head that is not listed and closes after its requests shows no end; it has this long. */
  readonly unlistedFinishMs: number;
  /** A group whose head is not listed waits so long for its return before it is replaced at the price of a load. */
  readonly unlistedHeadMs: number;
  /** A closing group may finish its requests for so long; the longest deadline of a stream and a little more. */
  readonly finishTimeoutMs: number;
  /**
   * A domain to which no server came for so long is taken to be complete: only then are weights
   * loaded for a model that would not have been the first choice.
   */
  readonly settleMs: number;
  /** Weight loads for spares alone that run at a time once callers are served: loads are dear. */
  readonly maxSpareLoads: number;
  /** Share of the loads allowed in a window that are used; the rest is for a change of leader. */
  readonly loadRateShare: number;
}

export const FORMING_DEFAULTS: FormingSettings = {
  disabledMechanisms: [],
  headBreakMs: 6_000,
  loadWindowMs: 5_000,
  resendMs: 200,
  maxResendMs: 1_600,
  fastResends: 5,
  starveMarginMs: 500,
  joinSlackMs: 2_500,
  adoptTimeoutMs: 2_500,
  unlistedFinishMs: 1_500,
  unlistedHeadMs: 8_000,
  finishTimeoutMs: 9_000,
  settleMs: 900,
  maxSpareLoads: 6,
  loadRateShare: 0.8,
};

/** A group being formed. */
export interface Formation {
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly model: ModelId;
  /** By rank. */
  readonly members: readonly BackendServer[];
  /** Given up after this. */
  readonly deadline: MonoTime;
  /** A warm spare: one member that is joined and never opened. */
  readonly isStandby: boolean;
}

/**
 * How far the end of a group has come. Its members may join other groups only once its head can no
 * longer serve.
 *
 * - `finish`: the head closes after its requests in flight.
 * - `abort`: the head closes at once, having refused to leave.
 * - `leave`: the head is told to leave.
 * - `starve`: the head cannot be reached; its members leave, so that it breaks by itself.
 */
export type RetirementStep = 'finish' | 'abort' | 'leave' | 'starve';

export interface Retirement {
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly step: RetirementStep;
  readonly head: BackendServer | undefined;
  readonly members: readonly BackendServer[];
  /** The model to form again with its members; undefined where they go to another one. */
  readonly model?: ModelId;
  /** When the step began. */
  readonly since: MonoTime;
  /** Set once a member has left: from then on the head is broken. */
  readonly freeAt?: MonoTime;
}

/** An order on its way, or settled. */
export interface SentOrder {
  readonly at: MonoTime;
  /** How often it was sent. */
  readonly sends: number;
  readonly result?: OrderResult;
}

export interface FormingState {
  readonly settings: FormingSettings;
  readonly formations: ReadonlyMap<GroupId, Formation>;
  readonly retirements: ReadonlyMap<GroupId, Retirement>;
  /** Groups whose heads can serve no more; their members are free, whatever they report. */
  readonly dissolved: ReadonlyMap<GroupId, MonoTime>;
  /** When a group was first seen that this process has not formed. */
  readonly foreignGroups: ReadonlyMap<GroupId, MonoTime>;
  /** Servers believed lost, and until when. */
  readonly suspects: ReadonlyMap<InstanceId, MonoTime>;
  readonly sentOrders: ReadonlyMap<string, SentOrder>;
  /** Ends of the weight loads begun by this process, and when they began. */
  readonly loads: readonly WeightLoad[];
  /** Numbers the epochs of one lease. */
  readonly epochCount: number;
  /** When servers last came to a domain, and how many it has. */
  readonly arrivals: ReadonlyMap<DomainId, Arrival>;
  /** When groups lost members, of late. */
  readonly recentLosses: readonly MonoTime[];
  /** Model of the last group of each server: it stays warm for it, though it reports none once it has left. */
  readonly lastModels: ReadonlyMap<InstanceId, ModelId>;
}

export interface Arrival {
  readonly servers: number;
  readonly at: MonoTime;
}

export interface WeightLoad {
  readonly server: InstanceId;
  readonly at: MonoTime;
  readonly until: MonoTime;
}

/** What a plan is made from. */
export interface FormingView {
  readonly servers: ReadonlyMap<InstanceId, BackendServer>;
  /** Last known entries of servers that are not listed any more and may still serve. */
  readonly lapsed: ReadonlyMap<InstanceId, BackendServer>;
  /** Last known entries of lives that have surely ended: their servers have started again. */
  readonly ended: ReadonlyMap<InstanceId, BackendServer>;
  readonly engine: EngineSpec;
  /** Grows with each change of the leader; epochs of a later leader are greater. */
  readonly fencing: number;
  /** Whether callers have been served: loads are slower from then on, and counted. */
  readonly hasTraffic: boolean;
  /** Work of each model, in groups that it would keep busy; left out where nothing is known. */
  readonly offeredLoad?: ReadonlyMap<ModelId, number>;
}

export interface OrderEffect {
  readonly key: string;
  readonly server: BackendServer;
  readonly order: ServerOrder;
}

export function createFormingState(settings: Partial<FormingSettings> = {}): FormingState {
  return {
    settings: { ...FORMING_DEFAULTS, ...settings },
    formations: new Map(),
    retirements: new Map(),
    dissolved: new Map(),
    foreignGroups: new Map(),
    suspects: new Map(),
    sentOrders: new Map(),
    loads: [],
    epochCount: 0,
    arrivals: new Map(),
    recentLosses: [],
    lastModels: new Map(),
  };
}

/** The same state with maps that a plan may change. */
export interface Draft {
  readonly settings: FormingSettings;
  readonly formations: Map<GroupId, Formation>;
  readonly retirements: Map<GroupId, Retirement>;
  readonly dissolved: Map<GroupId, MonoTime>;
  readonly foreignGroups: Map<GroupId, MonoTime>;
  readonly suspects: Map<InstanceId, MonoTime>;
  readonly sentOrders: Map<string, SentOrder>;
  loads: WeightLoad[];
  epochCount: number;
  readonly arrivals: Map<DomainId, Arrival>;
  recentLosses: MonoTime[];
  readonly lastModels: Map<InstanceId, ModelId>;
  readonly view: FormingView;
  readonly now: MonoTime;
  readonly effects: OrderEffect[];
}

export function draftOf(state: FormingState, view: FormingView, now: MonoTime): Draft {
  return {
    settings: state.settings,
    formations: new Map(state.formations),
    retirements: new Map(state.retirements),
    dissolved: new Map(state.dissolved),
    foreignGroups: new Map(state.foreignGroups),
    suspects: new Map(state.suspects),
    sentOrders: new Map(state.sentOrders),
    loads: [...state.loads],
    epochCount: state.epochCount,
    arrivals: new Map(state.arrivals),
    recentLosses: [...state.recentLosses],
    lastModels: new Map(state.lastModels),
    view,
    now,
    effects: [],
  };
}

export function stateOf(draft: Draft): FormingState {
  const { settings, formations, retirements, dissolved, foreignGroups: strangers } = draft;
  const {
    suspects,
    sentOrders: sent,
    loads,
    epochCount: epochs,
    arrivals,
    recentLosses: losses,
    lastModels,
  } = draft;
  return {
    settings,
    formations,
    retirements,
    dissolved,
    foreignGroups: strangers,
    suspects,
    sentOrders: sent,
    loads,
    epochCount: epochs,
    arrivals,
    recentLosses: losses,
    lastModels,
  };
}

/** The model of a server's present or last group. */
export function modelOf({ lastModels }: Draft, { id, model }: BackendServer): ModelId | undefined {
  return model ?? lastModels.get(id);
}

/** Remembers what servers are warm for, and forgets those that are gone. */
export function noteModels({ lastModels, view }: Draft): void {
  for (const { id, model, membership } of view.servers.values()) {
    if (model !== undefined && membership?.state !== 'joining') lastModels.set(id, model);
  }
  for (const id of lastModels.keys()) {
    if (!view.servers.has(id) && !view.lapsed.has(id)) lastModels.delete(id);
  }
}

/** Whether the mechanism is in use. */
export function isEnabled({ settings }: Draft, mechanism: FormingMechanism): boolean {
  return !settings.disabledMechanisms.includes(mechanism);
}

export function isSuspect(draft: Draft, id: InstanceId): boolean {
  const until = draft.suspects.get(id);
  return until !== undefined && draft.now < until;
}

function keyOf(server: BackendServer, order: ServerOrder): string {
  const subject = order.kind === 'stage' ? order.model : `${order.group}/${order.epoch}`;
  const mode = order.kind === 'close' ? order.mode : '';
  return `${order.kind}${mode} ${subject} ${server.id}`;
}

function resendAt({ settings }: Draft, { at, sends }: SentOrder): MonoTime {
  const { resendMs, maxResendMs: longestResendMs, fastResends: quickSends } = settings;
  const doublings = Math.max(0, sends - quickSends);
  return later(at, Math.min(longestResendMs, resendMs * 2 ** doublings));
}

/**
 * Sends an order unless it is on its way or was settled a moment ago, and gives the last result.
 * Orders without a visible effect are sent again: all of them are idempotent.
 */
export function sendOrder(
  draft: Draft,
  server: BackendServer,
  order: ServerOrder,
): OrderResult | undefined {
  const key = keyOf(server, order);
  const sent = draft.sentOrders.get(key);
  if (!sent || draft.now >= resendAt(draft, sent)) {
    draft.sentOrders.set(key, { at: draft.now, sends: (sent?.sends ?? 0) + 1 });
    draft.effects.push({ key, server, order });
  }
  return sent?.result;
}

export function lastResult(
  draft: Draft,
  server: BackendServer,
  order: ServerOrder,
): OrderResult | undefined {
  return draft.sentOrders.get(keyOf(server, order))?.result;
}

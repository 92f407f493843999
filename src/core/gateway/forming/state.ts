/** State of the group planner: what it keeps between plans beside the servers' own reports. */

import type { DomainId, Epoch, GroupId, InstanceId, ModelId, MonoTime, ZoneId } from '../../ids';
import type { OrderResult, ServerOrder } from '../orders';
import type { BackendServer, EngineSpec } from '../types';
import { FORMING_DEFAULTS } from './settings';
import type { FormingMechanism, FormingSettings } from './settings';
import type { ChangeWorth, ModelDemand } from './worth';

/** A group being formed. */
export interface Formation {
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly model: ModelId;
  /** Ordered by rank. */
  readonly members: readonly BackendServer[];
  /** The group is abandoned if it is not complete by then, or does not serve by then once it is. */
  readonly deadline: MonoTime;
  /** Whether all members have been seen ready. */
  readonly isComplete?: boolean;
  /** A warm spare: a group of one member that is joined and never opened. */
  readonly isStandby: boolean;
}

/**
 * Current step in ending a group. Its members may join other groups only once its head can no longer
 * serve.
 *
 * - `finish`: the head closes after its requests in flight.
 * - `abort`: the head closes at once, because it refused to leave.
 * - `leave`: the head is ordered to leave.
 * - `starve`: the head cannot be reached; its members leave, so that it breaks by itself.
 * - `hold`: the head has left, and orders that were not answered may bring it back and open it.
 */
export type RetirementStep = 'finish' | 'abort' | 'leave' | 'starve' | 'hold';

/** A group being ended. */
export interface Retirement {
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly step: RetirementStep;
  readonly head: BackendServer | undefined;
  readonly members: readonly BackendServer[];
  /** The model to form again with its members; undefined if they go to another model. */
  readonly model?: ModelId;
  /** When the step began. */
  readonly since: MonoTime;
  /** When it was last found to serve: results of orders that were sent before tell nothing. */
  readonly round: MonoTime;
  /** By when its members are free if its servers carry out their orders. */
  readonly dueAt: MonoTime;
  /** Its head has no entry, which is the only reason to end it, and has not been back since it was to leave. */
  readonly isForAbsence?: boolean;
  /** When the members are free: once one has left, the head breaks within a known time; a late order comes by then. */
  readonly freeAt?: MonoTime;
}

/**
 * What a leader knows of an open group's members: all were listed at some time, some were not when it first
 * saw the group, or its streams have stalled since.
 */
export type FoundGroup = 'complete' | 'incomplete' | 'stalled';

/** An order in flight, or answered. */
export interface SentOrder {
  /** When it was last sent. */
  readonly at: MonoTime;
  /** Number of times it was sent. */
  readonly sends: number;
  /** How many of these sendings were not answered: each may be carried out later. */
  readonly unsettled: number;
  /** Undefined until the last send is answered. */
  readonly result?: OrderResult;
}

/**
 * Step of a change of a domain's servers from one model to another.
 *
 * - `staging`: weights are staged on the servers while their groups serve.
 * - `ending`: the groups are being ended, and the domain's free servers are kept for the new one.
 * - `done`: the new group is being formed or serves.
 * - `dropped`: given up. In the last two steps the domain is not changed again until `until`.
 */
export type ReassignmentStep = 'staging' | 'ending' | 'done' | 'dropped';

/** A change of a domain's servers from one model to another. */
export interface Reassignment {
  readonly model: ModelId;
  readonly step: ReassignmentStep;
  readonly until: MonoTime;
  /** Groups that the model gets, and groups that end, by model. */
  readonly gained: number;
  readonly lost: ReadonlyMap<ModelId, number>;
  /** Weights that were missing when it was last judged. */
  readonly loads: number;
  readonly worth: ChangeWorth;
}

/** Time within which a server's entry reflects a change; about 100 ms is usual. */
export const STALE_ENTRY_MS = 500;

/** A head that has left a group of an earlier leader. */
export interface Departure {
  readonly head: InstanceId;
  /** Whether its entry has shown it since. */
  readonly isSeen: boolean;
}

/** The planner's state; immutable, replaced by each plan. */
export interface FormingState {
  readonly settings: FormingSettings;
  /** Groups being formed. */
  readonly formations: ReadonlyMap<GroupId, Formation>;
  /** Groups being ended. */
  readonly retirements: ReadonlyMap<GroupId, Retirement>;
  /** Groups whose heads can no longer serve, and since when; their members are free, whatever they report. */
  readonly dissolved: ReadonlyMap<GroupId, MonoTime>;
  /** Heads that have left, by their groups, while orders of earlier leaders may bring them back. */
  readonly departures: ReadonlyMap<GroupId, Departure>;
  /** When each group was first seen that this process didn't form, or whose head isn't listed. */
  readonly foreignGroups: ReadonlyMap<GroupId, MonoTime>;
  /** Servers suspected lost, and until when. */
  readonly suspects: ReadonlyMap<InstanceId, MonoTime>;
  /** When suspects were found of which silence is the only evidence. */
  readonly silentSince: ReadonlyMap<InstanceId, MonoTime>;
  /** Servers measured as slow, and until when they are picked last unless measured again. */
  readonly slowMembers: ReadonlyMap<InstanceId, MonoTime>;
  /** By the order's key. */
  readonly sentOrders: ReadonlyMap<string, SentOrder>;
  /** Weight loads that this process started. */
  readonly loads: readonly WeightLoad[];
  /** When this leader made its first plan; undefined before it. */
  readonly leadingSince?: MonoTime;
  /** Epochs assigned under the current lease. */
  readonly epochCount: number;
  /** Number of servers in each domain, and when it last changed. */
  readonly arrivals: ReadonlyMap<DomainId, Arrival>;
  /** When groups lost members, within the loss window. */
  readonly recentLosses: readonly MonoTime[];
  /** Model of each server's last group: it stays warm for it, though it reports none after leaving. */
  readonly lastModels: ReadonlyMap<InstanceId, ModelId>;
  /** Open groups, by what this leader found out about their members; see `adopt.ts`. */
  readonly foundGroups: ReadonlyMap<GroupId, FoundGroup>;
  /** Changes of servers from one model to another, by domain. */
  readonly reassignments: ReadonlyMap<DomainId, Reassignment>;
  /** When such changes were last judged. */
  readonly judgedAt?: MonoTime;
}

/** Number of servers in a domain, and when it was first observed. */
export interface Arrival {
  readonly servers: number;
  readonly at: MonoTime;
}

/** A load of model weights onto a server, from `at` to its expected end. */
export interface WeightLoad {
  readonly server: InstanceId;
  readonly at: MonoTime;
  readonly until: MonoTime;
}

/** Input of a plan. */
export interface FormingView {
  /** The servers that are currently listed. */
  readonly servers: ReadonlyMap<InstanceId, BackendServer>;
  /** Last known entries of servers that are no longer listed but may still serve. */
  readonly lapsed: ReadonlyMap<InstanceId, BackendServer>;
  /** Last known entries of processes that have certainly ended: their servers have restarted. */
  readonly ended: ReadonlyMap<InstanceId, BackendServer>;
  readonly engine: EngineSpec;
  /** Fencing number of the lease: a later leader has a greater one, and so greater epochs. */
  readonly fencing: number;
  /** Whether callers have been served: from then on loads are slower and rate-limited. */
  readonly hasTraffic: boolean;
  /** Offered load of each model, in groups that it would keep busy; absent if unknown. */
  readonly offeredLoad?: ReadonlyMap<ModelId, number>;
  /** Zones in which no server is given any order. */
  readonly evacuated?: ReadonlySet<ZoneId>;
  /** Heads of which daemons hold unfinished answers, as far as this leader knows. */
  readonly answering?: ReadonlySet<InstanceId>;
  /** Whether daemons may hold unfinished answers of servers that this leader does not know. */
  readonly hasUnknownAnswers?: () => boolean;
  /** Demand for each model over the last half minute; absent until it was measured. */
  readonly demand?: ReadonlyMap<ModelId, ModelDemand>;
}

/** An order to send; its result is reported under `key`. */
export interface OrderEffect {
  readonly key: string;
  readonly server: BackendServer;
  readonly order: ServerOrder;
}

/** The state of a new leader. */
export function createFormingState(settings: Partial<FormingSettings> = {}): FormingState {
  return {
    settings: { ...FORMING_DEFAULTS, ...settings },
    formations: new Map(),
    retirements: new Map(),
    dissolved: new Map(),
    departures: new Map(),
    foreignGroups: new Map(),
    suspects: new Map(),
    silentSince: new Map(),
    slowMembers: new Map(),
    sentOrders: new Map(),
    loads: [],
    epochCount: 0,
    arrivals: new Map(),
    recentLosses: [],
    lastModels: new Map(),
    foundGroups: new Map(),
    reassignments: new Map(),
  };
}

/** A mutable copy of the state that one plan works on, with the plan's input and its orders. */
export interface Draft {
  readonly settings: FormingSettings;
  readonly formations: Map<GroupId, Formation>;
  readonly retirements: Map<GroupId, Retirement>;
  readonly dissolved: Map<GroupId, MonoTime>;
  readonly departures: Map<GroupId, Departure>;
  readonly foreignGroups: Map<GroupId, MonoTime>;
  readonly suspects: Map<InstanceId, MonoTime>;
  readonly silentSince: Map<InstanceId, MonoTime>;
  readonly slowMembers: Map<InstanceId, MonoTime>;
  readonly sentOrders: Map<string, SentOrder>;
  loads: WeightLoad[];
  readonly leadingSince: MonoTime;
  epochCount: number;
  readonly arrivals: Map<DomainId, Arrival>;
  recentLosses: MonoTime[];
  readonly lastModels: Map<InstanceId, ModelId>;
  readonly foundGroups: Map<GroupId, FoundGroup>;
  readonly reassignments: Map<DomainId, Reassignment>;
  judgedAt: MonoTime | undefined;
  readonly view: FormingView;
  readonly now: MonoTime;
  readonly effects: OrderEffect[];
}

/** A draft to plan on. */
export function draftOf(state: FormingState, view: FormingView, now: MonoTime): Draft {
  return {
    settings: state.settings,
    formations: new Map(state.formations),
    retirements: new Map(state.retirements),
    dissolved: new Map(state.dissolved),
    departures: new Map(state.departures),
    foreignGroups: new Map(state.foreignGroups),
    suspects: new Map(state.suspects),
    silentSince: new Map(state.silentSince),
    slowMembers: new Map(state.slowMembers),
    sentOrders: new Map(state.sentOrders),
    loads: [...state.loads],
    leadingSince: state.leadingSince ?? now,
    epochCount: state.epochCount,
    arrivals: new Map(state.arrivals),
    recentLosses: [...state.recentLosses],
    lastModels: new Map(state.lastModels),
    foundGroups: new Map(state.foundGroups),
    reassignments: new Map(state.reassignments),
    judgedAt: state.judgedAt,
    view,
    now,
    effects: [],
  };
}

/** The new state from a finished draft. */
export function stateOf(draft: Draft): FormingState {
  const { settings, formations, retirements, dissolved, departures, foreignGroups } = draft;
  const {
    suspects,
    silentSince,
    slowMembers,
    sentOrders: sent,
    loads,
    leadingSince,
    epochCount,
    arrivals,
    recentLosses,
    lastModels,
    foundGroups,
    reassignments,
    judgedAt,
  } = draft;
  return {
    settings,
    formations,
    retirements,
    dissolved,
    departures,
    foreignGroups,
    suspects,
    silentSince,
    slowMembers,
    sentOrders: sent,
    loads,
    leadingSince,
    epochCount,
    arrivals,
    recentLosses,
    lastModels,
    foundGroups,
    reassignments,
    ...(judgedAt !== undefined && { judgedAt }),
  };
}

/** The model of a server's present or last group. */
export function modelOf({ lastModels }: Draft, { id, model }: BackendServer): ModelId | undefined {
  return model ?? lastModels.get(id);
}

/** Records which model each server is warm for, and drops servers that are no longer known. */
export function noteModels({ lastModels, view }: Draft): void {
  for (const { id, model, membership } of view.servers.values()) {
    if (model !== undefined && membership?.state !== 'joining') lastModels.set(id, model);
  }
  for (const id of lastModels.keys()) {
    if (!view.servers.has(id) && !view.lapsed.has(id)) lastModels.delete(id);
  }
}

/** Whether the mechanism is enabled. */
export function isEnabled({ settings }: Draft, mechanism: FormingMechanism): boolean {
  return !settings.disabledMechanisms.includes(mechanism);
}

/** Whether the server is suspected lost. */
export function isSuspect(draft: Draft, id: InstanceId): boolean {
  const until = draft.suspects.get(id);
  return until !== undefined && draft.now < until;
}

/** Whether the server was measured as slow. */
export function isSlow(draft: Draft, id: InstanceId): boolean {
  const until = draft.slowMembers.get(id);
  return until !== undefined && draft.now < until;
}

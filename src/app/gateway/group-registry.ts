/** Registry of the groups that streams can be sent to, with the known load and health of each. */

import { merge, Subject } from 'rxjs';
import type { BehaviorSubject, Observable } from 'rxjs';

import type { GroupCandidate } from '../../core/gateway/balance';
import { reuseProbability } from '../../core/gateway/capacity';
import type { OfferedLoad } from '../../core/gateway/capacity';
import type { ServiceView } from '../../core/gateway/early-refusal';
import type { LoadSample } from '../../core/gateway/forming/demand';
import { queueDelayMs } from '../../core/gateway/limits/cold';
import type { ClassLoad } from '../../core/gateway/priority-classes';
import type { RouteTable } from '../../core/gateway/routes';
import type { Evidence } from '../../core/gateway/suspicion';
import { summarizeWork } from '../../core/gateway/work';
import type { ModelWork, WaitingLoad } from '../../core/gateway/work';
import type { GroupId, InstanceId, ModelId, MonoTime, ServiceId } from '../../core/ids';
import { minOrZero } from './throttle';
import type { Throttle } from './throttle';
import type { GatewayContext } from './context';
import { admitClass } from './class-admission';
import type { ClassRequest } from './class-admission';
import { NO_EVACUATIONS } from './evacuations';
import type { EvacuatedZones } from './evacuations';
import { createGroupIndex } from './group-index';
import type { ServingGroup } from './group-index';
import { createGroupHealth } from './group-health';
import type { Stall } from './group-health';
import { createGroupLoads } from './group-loads';
import type { GroupNeeds } from './group-loads';
import type { LoadSums } from './loads';
import { createPeerLoads } from './peer-loads';
import type { LoadSource } from './peer-loads';
import { createSlotAdmission } from './slot-admission';
import type { Admission } from './slot-admission';
import type { ServerRegistry } from './server-registry';

export interface GroupRegistry {
  /** Open, unsuspected groups of a model for which this daemon has a token. */
  candidates(needs: GroupNeeds): GroupCandidate[];
  /** Selects the groups that a request of this daemon may be sent to. */
  admit(model: ModelId, groups: readonly GroupCandidate[], request: ClassRequest): Admission;
  /** Free slots of the group that are reserved for this daemon. */
  grantedSlots(head: InstanceId): number;
  /** Whether any group of the model is open outside evacuated zones, suspected or not. */
  hasOpenGroup(service: ServiceId, model: ModelId | undefined): boolean;
  /** Whether groups of the model are open, but all of them in evacuated zones. */
  isModelEvacuated(service: ServiceId, model: ModelId): boolean;
  /**
   * Time until this daemon may send a request to a group of the model under the servers' rate
   * limits and backoffs, milliseconds. `ahead`: requests of this daemon that are sent before it.
   */
  msUntilToken(service: ServiceId, model: ModelId, ahead?: number): number;
  /** Whether the model has groups and the heads of all of them are cold. */
  areGroupsCold(service: ServiceId, model: ModelId): boolean;
  /** Like `msUntilToken`, but for a request from any daemon. */
  msUntilAccepted(service: ServiceId, model: ModelId): number;
  find(head: InstanceId): ServingGroup | undefined;
  /** Requests of the other daemons in the group, as far as this daemon knows. */
  runningOnPeers(head: InstanceId): number;
  /** Whether any daemon has streams running in the group. */
  isBusy(group: GroupId): boolean;
  /** `usesGrant`: whether the request used up a slot that was reserved for this daemon. */
  noteSent(head: InstanceId, promptTokens: number, usesGrant?: boolean): void;
  /** Notes the first event of a request: its prefill is done. */
  notePrefilled(head: InstanceId, promptTokens: number): void;
  /**
   * `pendingPrefill`: prompt tokens of a request that gave no event; `holdMs`: how long a request
   * that gave one held its slot.
   */
  noteEnded(head: InstanceId, pendingPrefill: number, holdMs?: number): void;
  noteEvent(head: InstanceId, pauseMs: number | undefined): void;
  /** Moves this daemon's streams out of a group that is confirmed to be stalled. */
  evacuate(stall: Stall): void;
  /** Stalls passed to `evacuate`. */
  readonly evacuated: Observable<Stall>;
  /** Suspends the group for a while. Returns false if it was already suspended. */
  suspect(group: GroupId, evidence: Evidence, reason: string): boolean;
  /** Suspends a group whose head could not be reached, and publishes that. */
  noteUnreachable(stall: Stall, reason: string): void;
  /** Groups whose heads this daemon could not reach. */
  readonly unreachable: Observable<Stall>;
  /** Groups in which all streams of this daemon are silent, as found by `tick`. */
  readonly stalls: Observable<Stall>;
  /** Emits when the groups change and when a slot becomes free. */
  readonly changes: Observable<void>;
  /** Requests of this daemon and their pending prefill tokens, by head. */
  running(): readonly (readonly [InstanceId, number, number])[];
  /**
   * Time since the last event of each group with requests of this daemon, milliseconds, by head.
   */
  quiet(): readonly (readonly [InstanceId, number])[];
  /** When a stream of this daemon last got an event from the group. */
  lastEventAt(head: InstanceId): MonoTime | undefined;
  /** Slowdown factors of groups as this daemon recently measured them, by head. */
  paces(): readonly (readonly [InstanceId, number])[];
  /** Slowdown factors of groups as any daemon recently measured them, by head. */
  slowdowns(): ReadonlyMap<InstanceId, number>;
  /**
   * Applies the summed load of the other daemons and the slowdowns that all daemons measured.
   * `ageMs`: the sums include everything that happened longer ago than this.
   */
  applyLoads(sums: LoadSums, facts: LoadSnapshot): void;
  /** Whether the load of the other daemons is known and fresh. */
  hasPeerLoads(): boolean;
  /** Age of the other daemons' load when it arrives, milliseconds. */
  loadAgeMs(): number;
  /** Load of the model on the other daemons, by priority. */
  classLoads(model: ModelId): readonly ClassLoad[];
  /** Slots of the model's open groups, and how they are used by all daemons. */
  slotUse(service: ServiceId, model: ModelId): SlotUse;
  /**
   * Load of each model over all daemons. `local`: waiting requests and arrival rate of this daemon.
   */
  loadSamples(local: (model: ModelId) => OfferedLoad): ReadonlyMap<ModelId, LoadSample>;
  /** Offered load of each model over all daemons: running and waiting requests, in full batches. */
  offeredLoad(): ReadonlyMap<ModelId, number>;
  /**
   * Slots of each model, the requests of all daemons in them, and the requests that wait for one.
   */
  work(waiting: readonly WaitingLoad[]): readonly ModelWork[];
  tick(): void;
}

export type SlotUse = Pick<ServiceView, 'slots' | 'running' | 'holdMs'>;

export interface LoadSnapshot extends LoadSource {
  readonly ageMs: number;
}

export function createGroupRegistry(
  ctx: GatewayContext,
  serverRegistry: ServerRegistry,
  routes: BehaviorSubject<RouteTable | undefined>,
  throttle: Throttle,
  evacuations: EvacuatedZones = NO_EVACUATIONS,
): GroupRegistry {
  const peerLoads = createPeerLoads(ctx);
  const admission = createSlotAdmission(ctx);
  const groupLoads = createGroupLoads({ clock: ctx.clock, peerLoads, admission, throttle });
  const evacuated = new Subject<Stall>();
  const unreachable = new Subject<Stall>();
  const changes = new Subject<void>();
  const groupIndex = createGroupIndex(ctx, serverRegistry, routes);
  const groups = (): ReadonlyMap<InstanceId, ServingGroup> => groupIndex.groups();
  const health = createGroupHealth({
    ...{ ctx, peerLoads, groupLoads },
    find: (head) => groups().get(head),
  });
  const runningIn = (head: InstanceId): number => groupLoads.runningIn(head);

  const releaseSlot = (group: ServingGroup, holdMs: number | undefined): void => {
    const { id, head, model } = group;
    if (holdMs !== undefined) admission.noteHold(model, holdMs);
    const reuse = reuseProbability(groupLoads.occupancyOf(group)) * admission.reusableShare(model);
    if (!health.isSuspected(id) && ctx.random.next() < reuse) admission.noteSlotFreed(head.id);
  };

  const isEvacuated = ({ head }: ServingGroup): boolean => evacuations.isEvacuated(head.zone);

  const openGroups = (service: ServiceId, model: ModelId): ServingGroup[] =>
    [...groups().values()].filter((group) => group.service === service && group.model === model);

  /** Streams in groups of evacuated zones go on; these groups get no new ones. */
  const groupsOfModel = (service: ServiceId, model: ModelId): ServingGroup[] =>
    openGroups(service, model).filter((group) => !isEvacuated(group));

  const slotUse = (service: ServiceId, model: ModelId): SlotUse => {
    const open = groupsOfModel(service, model);
    return {
      slots: open.reduce((sum, { engine }) => sum + engine.batchSize, 0),
      running: open.reduce((sum, { head }) => sum + runningIn(head.id), 0),
      holdMs: admission.holdMs(model),
    };
  };

  merge(groupIndex.changes, evacuations.changes).subscribe(changes);

  return {
    stalls: health.stalls,
    evacuated,
    unreachable,
    noteUnreachable: (stall, reason) => {
      if (health.suspect(stall.group, 'unreachable', reason)) unreachable.next(stall);
    },
    evacuate: (stall) => {
      evacuated.next(stall);
    },
    changes,
    candidates: (needs) =>
      groupsOfModel(needs.service, needs.model)
        .filter(({ id, head }) => !health.isSuspected(id) && throttle.tokens(head.id) >= 1)
        .map((group) => groupLoads.toCandidate(group, needs)),
    admit: (model, found, request) => admitClass({ admission, peerLoads }, model, found, request),
    grantedSlots: (head) => admission.grantedSlots(head),
    hasOpenGroup: (service, model) =>
      model !== undefined && groupsOfModel(service, model).length > 0,
    isModelEvacuated: (service, model) =>
      openGroups(service, model).length > 0 && groupsOfModel(service, model).length === 0,
    msUntilToken: (service, model, ahead = 0) => {
      const heads = groupsOfModel(service, model).map(({ head }) => head.id);
      const nextMs = minOrZero(heads.map((head) => throttle.msUntilToken(head)));
      const limits = heads.map((head) => throttle.coldLimit(head));
      return nextMs + queueDelayMs(limits, ahead);
    },
    areGroupsCold: (service, model) => {
      const found = groupsOfModel(service, model);
      return found.length > 0 && found.every(({ head }) => throttle.coldLimit(head.id));
    },
    msUntilAccepted: (service, model) =>
      minOrZero(groupsOfModel(service, model).map(({ head }) => throttle.msUntilAccepted(head.id))),
    find: (head) => groups().get(head),
    runningOnPeers: (head) => peerLoads.running(head),
    isBusy: (group) =>
      [...groups().values()].some(({ id, head }) => id === group && runningIn(head.id) > 0),
    noteSent: (head, promptTokens, usesGrant) => {
      groupLoads.noteSent(head, promptTokens);
      admission.noteSent(head, usesGrant);
      throttle.takeToken(head);
    },
    notePrefilled: (head, promptTokens) => {
      groupLoads.notePrefilled(head, promptTokens);
    },
    noteEnded: (head, pendingPrefill, holdMs) => {
      const group = groups().get(head);
      if (group) releaseSlot(group, holdMs);
      groupLoads.noteEnded(head, pendingPrefill);
      changes.next();
    },
    noteEvent: (head, pauseMs) => {
      groupLoads.noteEvent(head, pauseMs);
    },
    suspect: (group, evidence, reason) => health.suspect(group, evidence, reason),
    running: () => groupLoads.running(),
    paces: () =>
      [...groupLoads.progress.keys()].flatMap((head) => {
        const group = groups().get(head);
        const slowdown = group && groupLoads.localSlowdown(group);
        return slowdown === undefined ? [] : [[head, slowdown] as const];
      }),
    slowdowns: () =>
      new Map([...groups()].map(([head, group]) => [head, groupLoads.slowdown(group)])),
    quiet: () => groupLoads.quiet(),
    lastEventAt: (head) => groupLoads.lastEventAt(head),
    hasPeerLoads: () => peerLoads.areFresh(),
    loadAgeMs: () => admission.loadAgeMs(),
    classLoads: (model) => peerLoads.classLoads(model),
    slotUse,
    applyLoads: (sums, { ageMs, ...facts }) => {
      if (peerLoads.apply(sums, facts)) admission.noteLoads(ageMs);
      changes.next();
    },
    offeredLoad: () => {
      const offered = new Map<ModelId, number>();
      for (const { engine } of routes.value?.config.services ?? []) {
        for (const { name } of engine?.models ?? []) {
          offered.set(name, peerLoads.offeredLoad(name).waiting / (engine?.batchSize ?? 1));
        }
      }
      for (const { head, model, engine } of groups().values()) {
        const groupLoad = runningIn(head.id) / engine.batchSize;
        offered.set(model, (offered.get(model) ?? 0) + groupLoad);
      }
      return offered;
    },
    loadSamples: (local) => {
      const samples = new Map<ModelId, LoadSample>();
      for (const { name: service, engine } of routes.value?.config.services ?? []) {
        for (const { name } of engine?.models ?? []) {
          const { slots, running, holdMs } = slotUse(service, name);
          const [own, remote] = [local(name), peerLoads.offeredLoad(name)];
          samples.set(name, {
            ...{ slots, running, batchSize: engine?.batchSize ?? 1 },
            waiting: own.waiting + remote.waiting,
            perSecond: own.perSecond + remote.perSecond,
            ...(holdMs !== undefined && { holdMs }),
          });
        }
      }
      return samples;
    },
    work: (waiting) =>
      summarizeWork(
        [...groups().values()]
          .filter((group) => !isEvacuated(group))
          .map(({ id, head, model, engine }) => ({
            model,
            running: runningIn(head.id),
            batchSize: engine.batchSize,
            isSuspect: health.isSuspected(id),
          })),
        waiting,
      ),
    tick: () => {
      groups();
      if (throttle.tick()) changes.next();
      health.tick();
      groupLoads.prune((head) => serverRegistry.servers.has(head));
    },
  };
}

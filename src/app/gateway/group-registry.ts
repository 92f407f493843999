/** Registry of the groups that streams can be sent to, with the known load and health of each. */

import { merge, Subject } from 'rxjs';
import type { BehaviorSubject, Observable } from 'rxjs';

import type { GroupCandidate } from '../../core/gateway/balance';
import {
  createProgress,
  noteEnded,
  noteEvent,
  notePrefilled,
  noteSent,
  maxPrefillTokens,
  publishedHoldMs,
  slowdownOf,
  expectedPauseMs,
} from '../../core/gateway/progress';
import type { Progress } from '../../core/gateway/progress';
import {
  departuresIn,
  maxQueued,
  reuseProbability,
  freeCapacityOf,
} from '../../core/gateway/capacity';
import type { GroupCapacity, OfferedLoad } from '../../core/gateway/capacity';
import type { LoadSample } from '../../core/gateway/forming/demand';
import { queueDelayMs } from '../../core/gateway/limits/cold';
import type { RouteTable } from '../../core/gateway/routes';
import { clearSuspicion, isSuspect, noteEvidence } from '../../core/gateway/suspicion';
import type { Evidence, Suspicions } from '../../core/gateway/suspicion';
import { summarizeWork } from '../../core/gateway/work';
import type { ModelWork, WaitingLoad } from '../../core/gateway/work';
import type { GroupId, InstanceId, ModelId, MonoTime, ServiceId } from '../../core/ids';
import { minOrZero } from './throttle';
import type { Throttle } from './throttle';
import type { GatewayContext } from './context';
import { NO_EVACUATIONS } from './evacuations';
import type { EvacuatedZones } from './evacuations';
import { createGroupIndex } from './group-index';
import type { ServingGroup } from './group-index';
import type { LoadSums } from './loads';
import { sampleLoads } from './load-samples';
import { createPeerLoads } from './peer-loads';
import type { LoadSource } from './peer-loads';
import { createSlotAdmission } from './slot-admission';
import type { Admission, ModelOfferedLoad } from './slot-admission';
import type { ServerRegistry } from './server-registry';
import { createStallDetector } from './stall-detector';

export interface Stall {
  readonly group: GroupId;
  readonly head: InstanceId;
}

/** Requirements of a stream on its group. */
export interface GroupNeeds {
  readonly service: ServiceId;
  readonly model: ModelId;
  /** Longest pause between events that its caller still counts as on time, milliseconds. */
  readonly maxPauseMs: number;
  /** Heads of the groups that it was already sent to. */
  readonly tried: ReadonlySet<InstanceId>;
}

export interface GroupRegistry {
  /** Open, unsuspected groups of a model for which this daemon has a token. */
  candidates(needs: GroupNeeds): GroupCandidate[];
  /** Selects the groups that a request of this daemon may be sent to. */
  admit(
    model: ModelId,
    groups: readonly GroupCandidate[],
    offered: Omit<ModelOfferedLoad, 'remote'>,
  ): Admission;
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
  noteSent(head: InstanceId, promptTokens: number): void;
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
  /**
   * Ends the suspension of groups, other than lost ones, that this daemon's own link is to blame for:
   * those with this address of the head, or of this service.
   */
  clearSuspicions(which: { readonly address: string } | { readonly service: ServiceId }): void;
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

type GroupOccupancy = Pick<GroupCapacity, 'running' | 'batchSize' | 'queued' | 'departing'>;

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
  const { clock, logger } = ctx;
  const progress = new Map<InstanceId, Progress>();
  let suspicions: Suspicions = new Map();
  const peerLoads = createPeerLoads(ctx);
  const admission = createSlotAdmission(ctx);
  const stalls = new Subject<Stall>();
  const evacuated = new Subject<Stall>();
  const unreachable = new Subject<Stall>();
  const changes = new Subject<void>();
  const groupIndex = createGroupIndex(ctx, serverRegistry, routes);
  const groups = (): ReadonlyMap<InstanceId, ServingGroup> => groupIndex.groups();

  const progressOf = (head: InstanceId): Progress =>
    progress.get(head) ?? createProgress(clock.now());

  const runningIn = (head: InstanceId): number =>
    (progress.get(head)?.running ?? 0) + peerLoads.running(head);

  const pendingPrefillIn = (head: InstanceId): number =>
    (progress.get(head)?.pendingPrefill ?? 0) + peerLoads.pendingPrefill(head);

  /** Time to prefill the prompts that were sent to the group, milliseconds. */
  const prefillMs = ({ head, engine, spec }: ServingGroup): number =>
    (spec.pace * pendingPrefillIn(head.id)) / engine.prefillTokensPerMs;

  const expectedPauseOf = ({ engine, spec, head }: ServingGroup): number =>
    expectedPauseMs(engine, spec.pace, runningIn(head.id));

  const localSlowdown = (group: ServingGroup): number | undefined => {
    const seen = progress.get(group.head.id);
    return seen && slowdownOf(seen, expectedPauseOf(group), clock.now());
  };

  /**
   * The greater of this daemon's measurement and the fleet's mean: either may be the more recent.
   */
  const currentSlowdown = (group: ServingGroup): number =>
    Math.max(localSlowdown(group) ?? 1, peerLoads.pace(group.head.id));

  /**
   * Current and permitted requests of the group, and those expected to end before the next load
   * update.
   */
  const occupancyOf = ({ head, engine, spec }: ServingGroup): GroupOccupancy => {
    const { batchSize } = engine;
    const running = runningIn(head.id);
    const occupiedSlots = Math.min(running, batchSize);
    const holdMs = admission.holdMs(spec.name) ?? publishedHoldMs(engine, spec.pace, occupiedSlots);
    const slackMs = admission.slackMs(spec.name) ?? 0;
    return {
      running,
      batchSize,
      queued: maxQueued(batchSize, { slackMs, holdMs }),
      departing: departuresIn({ running, batchSize }, admission.loadAgeMs(), holdMs),
    };
  };

  const toCandidate = (group: ServingGroup, { maxPauseMs, tried }: GroupNeeds): GroupCandidate => {
    const { head, engine, spec } = group;
    const occupancy = occupancyOf(group);
    const { running, batchSize } = occupancy;
    const load = {
      ...{ running, batchSize },
      pendingPrefill: pendingPrefillIn(head.id),
      maxPendingPrefill: maxPrefillTokens(engine, spec.pace, running, maxPauseMs),
    };
    const meanPromptTokens = engine.usual.prompt;
    const prefillsUntilUpdate =
      (admission.loadAgeMs() * engine.prefillTokensPerMs) / (spec.pace * meanPromptTokens);
    const capacity = {
      ...load,
      ...occupancy,
      meanPromptTokens,
      prefillsUntilUpdate,
    };
    const tokens = throttle.tokens(head.id);
    const warmUp = throttle.warmUpFactor(head.id);
    return {
      ...load,
      head: head.id,
      zone: head.zone,
      freeCapacity: Math.min(tokens, warmUp * freeCapacityOf(capacity)),
      freeSlots: Math.min(tokens, warmUp * freeCapacityOf({ ...capacity, departing: 0 })),
      ...(throttle.coldLimit(head.id) && { isOwnShare: true }),
      slowdown: currentSlowdown(group),
      isTried: tried.has(head.id),
    };
  };

  const releaseSlot = (group: ServingGroup, holdMs: number | undefined): void => {
    const { id, head, model } = group;
    if (holdMs !== undefined) admission.noteHold(model, holdMs);
    if (!isSuspected(id) && ctx.random.next() < reuseProbability(occupancyOf(group)))
      admission.noteSlotFreed(head.id);
  };

  const isSuspected = (group: GroupId): boolean => isSuspect(suspicions, group, clock.now());

  const suspect = (group: GroupId, evidence: Evidence, reason: string): boolean => {
    const isNew = !isSuspected(group);
    suspicions = noteEvidence(suspicions, group, evidence, clock.now());
    if (isNew) logger.warn('group suspected', { step: 'board', group, evidence, reason });
    return isNew;
  };

  const isEvacuated = ({ head }: ServingGroup): boolean => evacuations.isEvacuated(head.zone);

  const openGroups = (service: ServiceId, model: ModelId): ServingGroup[] =>
    [...groups().values()].filter((group) => group.service === service && group.model === model);

  /** Streams in groups of evacuated zones go on; these groups get no new ones. */
  const groupsOfModel = (service: ServiceId, model: ModelId): ServingGroup[] =>
    openGroups(service, model).filter((group) => !isEvacuated(group));

  const stallDetector = createStallDetector(clock);

  const findStalls = (): void => {
    for (const [head, seen] of progress) {
      const group = seen.running > 0 ? groups().get(head) : undefined;
      if (!group || isSuspected(group.id)) continue;
      const reason = stallDetector.detect(seen, {
        expectedPauseMs: expectedPauseOf(group),
        prefillMs: prefillMs(group),
        running: runningIn(head),
        hasPeerLoads: peerLoads.areFresh(),
        runningOnPeers: peerLoads.running(head),
      });
      if (reason === undefined) continue;
      suspect(group.id, 'silent', reason);
      stalls.next({ group: group.id, head });
    }
  };

  merge(groupIndex.changes, evacuations.changes).subscribe(changes);

  return {
    stalls,
    evacuated,
    unreachable,
    noteUnreachable: (stall, reason) => {
      if (suspect(stall.group, 'unreachable', reason)) unreachable.next(stall);
    },
    clearSuspicions: (which) => {
      for (const { id, head, service } of groups().values()) {
        const isMeant =
          'address' in which ? head.address === which.address : service === which.service;
        if (isMeant) suspicions = clearSuspicion(suspicions, id);
      }
      changes.next();
    },
    evacuate: (stall) => {
      evacuated.next(stall);
    },
    changes,
    candidates: (needs) =>
      groupsOfModel(needs.service, needs.model)
        .filter(({ id, head }) => !isSuspected(id) && throttle.tokens(head.id) >= 1)
        .map((group) => toCandidate(group, needs)),
    admit: (model, found, offered) =>
      admission.admit(model, found, { ...offered, remote: peerLoads.offeredLoad(model) }),
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
    noteSent: (head, promptTokens) => {
      progress.set(head, noteSent(progressOf(head), clock.now(), promptTokens));
      admission.noteSent(head);
      throttle.takeToken(head);
    },
    notePrefilled: (head, promptTokens) => {
      progress.set(head, notePrefilled(progressOf(head), promptTokens));
    },
    noteEnded: (head, pendingPrefill, holdMs) => {
      const group = groups().get(head);
      if (group) releaseSlot(group, holdMs);
      progress.set(head, noteEnded(progressOf(head), pendingPrefill));
      changes.next();
    },
    noteEvent: (head, pauseMs) => {
      progress.set(head, noteEvent(progressOf(head), clock.now(), pauseMs));
    },
    suspect,
    running: () =>
      [...progress]
        .filter(([, { running }]) => running > 0)
        .map(([head, { running, pendingPrefill }]) => [head, running, pendingPrefill] as const),
    paces: () =>
      [...progress.keys()].flatMap((head) => {
        const group = groups().get(head);
        const slowdown = group && localSlowdown(group);
        return slowdown === undefined ? [] : [[head, slowdown] as const];
      }),
    slowdowns: () => {
      const slowdownOfGroup = (group: ServingGroup): number =>
        peerLoads.areFresh() ? currentSlowdown(group) : (localSlowdown(group) ?? 1);
      return new Map([...groups()].map(([head, group]) => [head, slowdownOfGroup(group)]));
    },
    quiet: () => {
      const now = clock.now();
      return [...progress].flatMap(([head, { running, eventAt }]) =>
        running > 0 && eventAt !== undefined ? [[head, Math.round(now - eventAt)] as const] : [],
      );
    },
    lastEventAt: (head) => progress.get(head)?.eventAt,
    hasPeerLoads: () => peerLoads.areFresh(),
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
    loadSamples: (local) =>
      sampleLoads(routes.value?.config.services ?? [], {
        headsOf: (service, model) => groupsOfModel(service, model).map(({ head }) => head.id),
        running: runningIn,
        waiting: (model) => [local(model), peerLoads.offeredLoad(model)],
        holdMs: (model) => admission.holdMs(model),
      }),
    work: (waiting) =>
      summarizeWork(
        [...groups().values()]
          .filter((group) => !isEvacuated(group))
          .map(({ id, head, model, engine }) => ({
            model,
            running: runningIn(head.id),
            batchSize: engine.batchSize,
            isSuspect: isSuspected(id),
          })),
        waiting,
      ),
    tick: () => {
      groups();
      if (throttle.tick()) changes.next();
      stallDetector.tick();
      findStalls();
      for (const [head, { running }] of progress) {
        if (running === 0 && !serverRegistry.servers.has(head)) progress.delete(head);
      }
    },
  };
}

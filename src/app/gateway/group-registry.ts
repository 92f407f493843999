/** The groups that streams may be sent to, with what is known of their load and health. */

import { Subject } from 'rxjs';
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
import type { GroupCapacity } from '../../core/gateway/capacity';
import type { RouteTable } from '../../core/gateway/routes';
import { isSuspect, noteEvidence } from '../../core/gateway/suspicion';
import type { Evidence, Suspicions } from '../../core/gateway/suspicion';
import { summarizeWork } from '../../core/gateway/work';
import type { ModelWork, WaitingLoad } from '../../core/gateway/work';
import type { GroupId, InstanceId, ModelId, MonoTime, ServiceId } from '../../core/ids';
import { minOrZero } from './throttle';
import type { Throttle } from './throttle';
import type { GatewayContext } from './context';
import { createGroupIndex } from './group-index';
import type { ServingGroup } from './group-index';
import type { LoadSums } from './loads';
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

/** What a stream needs of a group. */
export interface GroupNeeds {
  readonly service: ServiceId;
  readonly model: ModelId;
  /** Longest pause between events that its caller takes for on time, milliseconds. */
  readonly maxPauseMs: number;
  /** Heads of the groups that it was sent to before. */
  readonly tried: ReadonlySet<InstanceId>;
}

export interface GroupRegistry {
  /** Groups of a model that are open and not under suspicion. */
  candidates(needs: GroupNeeds): GroupCandidate[];
  /** Those of the groups that a request of this daemon may be sent to. */
  admit(
    model: ModelId,
    groups: readonly GroupCandidate[],
    asked: Omit<ModelOfferedLoad, 'elsewhere'>,
  ): Admission;
  /** Places in the group that this daemon has to itself. */
  grantedSlots(head: InstanceId): number;
  /** Whether any group of the model is open, suspected or not. */
  hasOpenGroup(service: ServiceId, model: ModelId | undefined): boolean;
  /** Time until a group of the model may be sent a request from here, by what servers said of themselves, milliseconds. */
  msUntilToken(service: ServiceId, model: ModelId): number;
  /** The same from any daemon. */
  msUntilAccepted(service: ServiceId, model: ModelId): number;
  find(head: InstanceId): ServingGroup | undefined;
  /** Requests of the other daemons in the group, as far as is known here. */
  runningOnPeers(head: InstanceId): number;
  /** Whether any daemon has streams running in the group. */
  isBusy(group: GroupId): boolean;
  noteSent(head: InstanceId, promptTokens: number): void;
  /** The first event of a request came: its prompt has been read. */
  notePrefilled(head: InstanceId, promptTokens: number): void;
  /** `unread`: tokens of the prompt, where no event came; `holdMs`: how long it had its place, where one came. */
  noteEnded(head: InstanceId, unread: number, holdMs?: number): void;
  noteEvent(head: InstanceId, pauseMs: number | undefined): void;
  /** The group surely stands still: this daemon's streams in it are moved as well. */
  evacuate(stall: Stall): void;
  /** Groups that surely stand still, as `abandon` was told. */
  readonly evacuated: Observable<Stall>;
  /** Sends nothing to the group for a while. False where that was so before. */
  suspect(group: GroupId, evidence: Evidence, reason: string): boolean;
  /** Holds back from a group whose head could not be reached, and tells of it. */
  noteUnreachable(stall: Stall, reason: string): void;
  /** Groups whose heads could not be reached from here. */
  readonly unreachable: Observable<Stall>;
  /** Groups whose streams have all gone silent, as found by `tick`. */
  readonly stalls: Observable<Stall>;
  /** After a change of the groups, and when a place in one became free. */
  readonly changes: Observable<void>;
  /** Requests of this daemon and their unread prompt tokens, by head. */
  running(): readonly (readonly [InstanceId, number, number])[];
  /** Groups with requests of this daemon: time since any gave an event, milliseconds, by head. */
  quiet(): readonly (readonly [InstanceId, number])[];
  /** When a stream of this daemon last had an event of the group. */
  lastEventAt(head: InstanceId): MonoTime | undefined;
  /** Paces of groups as this daemon saw them of late, by head. */
  paces(): readonly (readonly [InstanceId, number])[];
  /**
   * What the other daemons have running and waiting, together, and the paces that all saw. `ageMs`: what
   * happened longer ago is in it.
   */
  applyLoads(sums: LoadSums, facts: LoadSnapshot): void;
  /** Whether the loads of the others are known, and young. */
  hasPeerLoads(): boolean;
  /** Work of each model over all daemons: requests that run or wait, in full groups. */
  offeredLoad(): ReadonlyMap<ModelId, number>;
  /** Places of each model, the requests of all daemons in them, and those that wait for one. */
  work(waiting: readonly WaitingLoad[]): readonly ModelWork[];
  tick(): void;
}

type Turnover = Pick<GroupCapacity, 'running' | 'batchSize' | 'queued' | 'departing'>;

export interface LoadSnapshot extends LoadSource {
  readonly ageMs: number;
}

export function createGroupRegistry(
  ctx: GatewayContext,
  roster: ServerRegistry,
  routes: BehaviorSubject<RouteTable | undefined>,
  allowances: Throttle,
): GroupRegistry {
  const { clock, logger } = ctx;
  const progress = new Map<InstanceId, Progress>();
  let suspicions: Suspicions = new Map();
  const others = createPeerLoads(ctx);
  const rooms = createSlotAdmission(ctx);
  const stalls = new Subject<Stall>();
  const abandoned = new Subject<Stall>();
  const unreachable = new Subject<Stall>();
  const changes = new Subject<void>();
  const directory = createGroupIndex(ctx, roster, routes);
  const groups = (): ReadonlyMap<InstanceId, ServingGroup> => directory.groups();

  const progressOf = (head: InstanceId): Progress =>
    progress.get(head) ?? createProgress(clock.now());

  const runningIn = (head: InstanceId): number =>
    (progress.get(head)?.running ?? 0) + others.running(head);

  const unreadIn = (head: InstanceId): number =>
    (progress.get(head)?.pendingPrefill ?? 0) + others.unread(head);

  /** Time that the prompts sent to the group take to be read, milliseconds. */
  const readingMs = ({ head, engine, spec }: ServingGroup): number =>
    (spec.pace * unreadIn(head.id)) / engine.prefillTokensPerMs;

  const usualOf = ({ engine, spec, head }: ServingGroup): number =>
    expectedPauseMs(engine, spec.pace, runningIn(head.id));

  const ownPace = (group: ServingGroup): number | undefined => {
    const seen = progress.get(group.head.id);
    return seen && slowdownOf(seen, usualOf(group), clock.now());
  };

  /** The slower of what this daemon and all together saw: one of them may have seen it later. */
  const paceOf = (group: ServingGroup): number =>
    Math.max(ownPace(group) ?? 1, others.pace(group.head.id));

  /** The requests that the group has and may have, and those that leave it until loads are heard of again. */
  const turnoverOf = ({ head, engine, spec }: ServingGroup): Turnover => {
    const { batchSize } = engine;
    const running = runningIn(head.id);
    const inPlaces = Math.min(running, batchSize);
    const holdMs = rooms.holdMs(spec.name) ?? publishedHoldMs(engine, spec.pace, inPlaces);
    const slackMs = rooms.slackMs(spec.name) ?? 0;
    return {
      running,
      batchSize,
      queued: maxQueued(batchSize, { slackMs, holdMs }),
      departing: departuresIn({ running, batchSize }, rooms.loadAgeMs(), holdMs),
    };
  };

  const toCandidate = (group: ServingGroup, { maxPauseMs, tried }: GroupNeeds): GroupCandidate => {
    const { head, engine, spec } = group;
    const turnover = turnoverOf(group);
    const { running, batchSize } = turnover;
    const load = {
      ...{ running, batchSize },
      pendingPrefill: unreadIn(head.id),
      maxPendingPrefill: maxPrefillTokens(engine, spec.pace, running, maxPauseMs),
    };
    const promptTokens = engine.usual.prompt;
    const prefills = (rooms.loadAgeMs() * engine.prefillTokensPerMs) / (spec.pace * promptTokens);
    const room = {
      ...load,
      ...turnover,
      meanPromptTokens: promptTokens,
      prefillsUntilUpdate: prefills,
    };
    const turns = allowances.tokens(head.id);
    return {
      ...load,
      head: head.id,
      zone: head.zone,
      freeCapacity: Math.min(turns, freeCapacityOf(room)),
      freeSlots: Math.min(turns, freeCapacityOf({ ...room, departing: 0 })),
      slowdown: paceOf(group),
      isTried: tried.has(head.id),
    };
  };

  const freePlace = (group: ServingGroup, holdMs: number | undefined): void => {
    const { id, head, model } = group;
    if (holdMs !== undefined) rooms.noteHold(model, holdMs);
    if (!isHeld(id) && ctx.random.next() < reuseProbability(turnoverOf(group)))
      rooms.noteSlotFreed(head.id);
  };

  const isHeld = (group: GroupId): boolean => isSuspect(suspicions, group, clock.now());

  const suspect = (group: GroupId, evidence: Evidence, reason: string): boolean => {
    const isNew = !isHeld(group);
    suspicions = noteEvidence(suspicions, group, evidence, clock.now());
    if (isNew) logger.warn('group suspected', { step: 'board', group, evidence, reason });
    return isNew;
  };

  const ofModel = (service: ServiceId, model: ModelId): ServingGroup[] =>
    [...groups().values()].filter((group) => group.service === service && group.model === model);

  const silence = createStallDetector(clock);

  const findStalls = (): void => {
    for (const [head, seen] of progress) {
      const group = seen.running > 0 ? groups().get(head) : undefined;
      if (!group || isHeld(group.id)) continue;
      const reason = silence.detect(seen, {
        usualMs: usualOf(group),
        readingMs: readingMs(group),
        running: runningIn(head),
        hasPeerLoads: others.areFresh(),
        runningOnPeers: others.running(head),
      });
      if (reason === undefined) continue;
      suspect(group.id, 'silent', reason);
      stalls.next({ group: group.id, head });
    }
  };

  directory.changes.subscribe(changes);

  return {
    stalls,
    evacuated: abandoned,
    unreachable,
    noteUnreachable: (stall, reason) => {
      if (suspect(stall.group, 'unreachable', reason)) unreachable.next(stall);
    },
    evacuate: (stall) => {
      abandoned.next(stall);
    },
    changes,
    candidates: (needs) =>
      ofModel(needs.service, needs.model)
        .filter(({ id, head }) => !isHeld(id) && allowances.tokens(head.id) >= 1)
        .map((group) => toCandidate(group, needs)),
    admit: (model, found, asked) =>
      rooms.admit(model, found, { ...asked, elsewhere: others.offeredLoad(model) }),
    grantedSlots: (head) => rooms.grantedSlots(head),
    hasOpenGroup: (service, model) => model !== undefined && ofModel(service, model).length > 0,
    msUntilToken: (service, model) =>
      minOrZero(ofModel(service, model).map(({ head }) => allowances.msUntilToken(head.id))),
    msUntilAccepted: (service, model) =>
      minOrZero(ofModel(service, model).map(({ head }) => allowances.msUntilAccepted(head.id))),
    find: (head) => groups().get(head),
    runningOnPeers: (head) => others.running(head),
    isBusy: (group) =>
      [...groups().values()].some(({ id, head }) => id === group && runningIn(head.id) > 0),
    noteSent: (head, promptTokens) => {
      progress.set(head, noteSent(progressOf(head), clock.now(), promptTokens));
      rooms.noteSent(head);
      allowances.takeToken(head);
    },
    notePrefilled: (head, promptTokens) => {
      progress.set(head, notePrefilled(progressOf(head), promptTokens));
    },
    noteEnded: (head, unread, holdMs) => {
      const group = groups().get(head);
      if (group) freePlace(group, holdMs);
      progress.set(head, noteEnded(progressOf(head), unread));
      changes.next();
    },
    noteEvent: (head, pauseMs) => {
      progress.set(head, noteEvent(progressOf(head), clock.now(), pauseMs));
    },
    suspect,
    running: () =>
      [...progress]
        .filter(([, { running }]) => running > 0)
        .map(([head, { running, pendingPrefill: unread }]) => [head, running, unread] as const),
    paces: () =>
      [...progress.keys()].flatMap((head) => {
        const group = groups().get(head);
        const pace = group && ownPace(group);
        return pace === undefined ? [] : [[head, pace] as const];
      }),
    quiet: () => {
      const now = clock.now();
      return [...progress].flatMap(([head, { running, eventAt }]) =>
        running > 0 && eventAt !== undefined ? [[head, Math.round(now - eventAt)] as const] : [],
      );
    },
    lastEventAt: (head) => progress.get(head)?.eventAt,
    hasPeerLoads: () => others.areFresh(),
    applyLoads: (sums, { ageMs, ...facts }) => {
      if (others.apply(sums, facts)) rooms.noteLoads(ageMs);
      changes.next();
    },
    offeredLoad: () => {
      const demand = new Map<ModelId, number>();
      for (const { engine } of routes.value?.config.services ?? []) {
        for (const { name } of engine?.models ?? []) {
          demand.set(name, others.offeredLoad(name).waiting / (engine?.batchSize ?? 1));
        }
      }
      for (const { head, model, engine } of groups().values()) {
        const work = runningIn(head.id) / engine.batchSize;
        demand.set(model, (demand.get(model) ?? 0) + work);
      }
      return demand;
    },
    work: (waiting) =>
      summarizeWork(
        [...groups().values()].map(({ id, head, model, engine }) => ({
          model,
          running: runningIn(head.id),
          batchSize: engine.batchSize,
          isSuspect: isHeld(id),
        })),
        waiting,
      ),
    tick: () => {
      groups();
      if (allowances.tick()) changes.next();
      silence.tick();
      findStalls();
      for (const [head, { running }] of progress) {
        if (running === 0 && !roster.servers.has(head)) progress.delete(head);
      }
    },
  };
}

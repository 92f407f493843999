/** Registry of the groups that streams can be sent to, with the known load and health of each. */

import { merge, Subject } from 'rxjs';
import type { BehaviorSubject } from 'rxjs';

import {
  createProgress,
  isSilent,
  noteEnded,
  noteEvent,
  notePrefilled,
  noteSent,
} from '../../core/gateway/progress';
import type { Progress } from '../../core/gateway/progress';
import { reuseProbability } from '../../core/gateway/capacity';
import { queueDelayMs } from '../../core/gateway/limits/cold';
import type { RouteTable } from '../../core/gateway/routes';
import type { Evidence } from '../../core/gateway/suspicion';
import { summarizeWork } from '../../core/gateway/work';
import type { GroupId, InstanceId, ModelId, ServiceId } from '../../core/ids';
import { minOrZero } from './throttle';
import type { Throttle } from './throttle';
import type { GatewayContext } from './context';
import { NO_EVACUATIONS } from './evacuations';
import type { EvacuatedZones } from './evacuations';
import { createGroupIndex } from './group-index';
import type { ServingGroup } from './group-index';
import { createGroupLoads } from './group-loads';
import type { GroupRegistry, Stall } from './group-registry-types';
import { createGroupSuspicions } from './group-suspicions';
import { sampleLoads } from './load-samples';
import { createPeerLoads } from './peer-loads';
import { createSlotAdmission } from './slot-admission';
import type { ServerRegistry } from './server-registry';
import { createStallDetector } from './stall-detector';

export type { GroupNeeds, GroupRegistry, LoadSnapshot, Stall } from './group-registry-types';

/** Findings by silence alone, of groups that are not being ended. */
const BY_SILENCE: ReadonlySet<Evidence> = new Set(['silent', 'dark']);

export function createGroupRegistry(
  ctx: GatewayContext,
  serverRegistry: ServerRegistry,
  routes: BehaviorSubject<RouteTable | undefined>,
  throttle: Throttle,
  evacuations: EvacuatedZones = NO_EVACUATIONS,
): GroupRegistry {
  const { clock } = ctx;
  const progress = new Map<InstanceId, Progress>();
  const suspicions = createGroupSuspicions(ctx);
  const isSuspected = (group: GroupId): boolean => suspicions.isSuspected(group);
  const peerLoads = createPeerLoads(ctx);
  const admission = createSlotAdmission(ctx);
  const stalls = new Subject<Stall>();
  const evacuated = new Subject<Stall>();
  const unreachable = new Subject<Stall>();
  const resumed = new Subject<Stall>();
  const changes = new Subject<void>();
  const groupIndex = createGroupIndex(ctx, serverRegistry, routes);
  const groups = (): ReadonlyMap<InstanceId, ServingGroup> => groupIndex.groups();

  const progressOf = (head: InstanceId): Progress =>
    progress.get(head) ?? createProgress(clock.now());

  const groupLoads = createGroupLoads({ clock, progress, peerLoads, admission, throttle });
  const runningIn = (head: InstanceId): number => groupLoads.runningIn(head);

  const releaseSlot = (group: ServingGroup, holdMs: number | undefined): void => {
    const { id, head, model } = group;
    if (holdMs !== undefined) admission.noteHold(model, holdMs);
    if (!isSuspected(id) && ctx.random.next() < reuseProbability(groupLoads.occupancyOf(group)))
      admission.noteSlotFreed(head.id);
  };

  const isEvacuated = ({ head }: ServingGroup): boolean => evacuations.isEvacuated(head.zone);

  const openGroups = (service: ServiceId, model: ModelId): ServingGroup[] =>
    [...groups().values()].filter((group) => group.service === service && group.model === model);

  /** Streams in groups of evacuated zones go on; these groups get no new ones. */
  const groupsOfModel = (service: ServiceId, model: ModelId): ServingGroup[] =>
    openGroups(service, model).filter((group) => !isEvacuated(group));

  const stallDetector = createStallDetector(clock);

  const noteAlive = (stall: Stall): void => {
    const finding = suspicions.finding(stall.group);
    if (!suspicions.noteAlive(stall.group)) return;
    changes.next();
    if (finding && BY_SILENCE.has(finding.evidence)) resumed.next(stall);
  };

  /** Streams that are not read while their callers do not read, by head. */
  const held = new Map<InstanceId, number>();

  const unheldIn = (head: InstanceId): number => progressOf(head).running - (held.get(head) ?? 0);

  /** Whether the group has yet to answer a request after a silence. */
  const isTrialRunning = ({ id, head }: ServingGroup): boolean =>
    suspicions.isOnTrial(id) && unheldIn(head.id) > 0;

  const findStalls = (): void => {
    for (const [head, seen] of progress) {
      const group = unheldIn(head) > 0 ? groups().get(head) : undefined;
      if (!group || isSuspected(group.id)) continue;
      const reason = stallDetector.detect(seen, {
        expectedPauseMs: groupLoads.expectedPauseMs(group),
        prefillMs: groupLoads.prefillMs(group),
        running: runningIn(head),
        hasPeerLoads: peerLoads.areFresh(),
        runningOnPeers: peerLoads.running(head),
      });
      if (reason === undefined) continue;
      suspicions.suspect(group.id, 'silent', reason);
      stalls.next({ group: group.id, head });
    }
  };

  merge(groupIndex.changes, evacuations.changes).subscribe(changes);
  groupIndex.left.subscribe(evacuated);

  return {
    stalls,
    evacuated,
    unreachable,
    noteUnreachable: (stall, reason) => {
      if (suspicions.suspect(stall.group, 'unreachable', reason)) unreachable.next(stall);
    },
    noteAlive,
    resumed,
    clearSuspicions: (which) => {
      for (const { id, head, service } of groups().values()) {
        const isMeant =
          'address' in which ? head.address === which.address : service === which.service;
        if (isMeant) suspicions.clear(id);
      }
      changes.next();
    },
    evacuate: (stall) => {
      evacuated.next(stall);
    },
    changes,
    candidates: (needs) =>
      groupsOfModel(needs.service, needs.model)
        .filter(
          (group) =>
            !isSuspected(group.id) && !isTrialRunning(group) && throttle.tokens(group.head.id) >= 1,
        )
        .map((group) => groupLoads.toCandidate(group, needs)),
    admit: (model, found, offered) =>
      admission.admit(model, found, { ...offered, remote: peerLoads.offeredLoad(model) }),
    grantedSlots: (head) => admission.grantedSlots(head),
    hasOpenGroup: (service, model, except) =>
      model !== undefined &&
      groupsOfModel(service, model).some(({ id }) => except?.has(id) !== true),
    unreachableHeads: (service, model) => {
      const found = groupsOfModel(service, model);
      const isUnreachable = ({ id }: ServingGroup): boolean =>
        suspicions.finding(id)?.evidence === 'unreachable';
      return found.every(isUnreachable) ? found.map(({ head }) => head.address) : [];
    },
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
    hasAnswers: (head) => runningIn(head) > 0 || !peerLoads.areComplete(),
    hasAnswersOfOthers: (isKnown) =>
      !peerLoads.areComplete() ||
      [...progress.keys(), ...peerLoads.heads()].some(
        (head) => !isKnown(head) && runningIn(head) > 0,
      ),
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
    noteHeld: (head, isHeld) => {
      const count = (held.get(head) ?? 0) + (isHeld ? 1 : -1);
      if (count > 0) held.set(head, count);
      else held.delete(head);
      // What the group sent meanwhile is read now.
      if (!isHeld) progress.set(head, { ...progressOf(head), since: clock.now() });
    },
    noteEvent: (head, pauseMs) => {
      progress.set(head, noteEvent(progressOf(head), clock.now(), pauseMs));
      const group = groups().get(head);
      if (group) noteAlive({ group: group.id, head });
    },
    suspect: (group, evidence, reason) => suspicions.suspect(group, evidence, reason),
    finding: (group) => suspicions.finding(group),
    darkGroups: () =>
      [...groups().values()].flatMap(({ id, head }) =>
        suspicions.finding(id)?.evidence === 'dark' ? [{ group: id, head: head.id }] : [],
      ),
    running: () =>
      [...progress]
        .filter(([, { running }]) => running > 0)
        .map(([head, { running, pendingPrefill }]) => [head, running, pendingPrefill] as const),
    paces: () =>
      [...progress.keys()].flatMap((head) => {
        const group = groups().get(head);
        const slowdown = group && groupLoads.localSlowdown(group);
        return slowdown === undefined ? [] : [[head, slowdown] as const];
      }),
    slowdowns: () => {
      const slowdownOfGroup = (group: ServingGroup): number =>
        peerLoads.areFresh() ? groupLoads.slowdown(group) : (groupLoads.localSlowdown(group) ?? 1);
      return new Map([...groups()].map(([head, group]) => [head, slowdownOfGroup(group)]));
    },
    quiet: () => {
      const now = clock.now();
      return [...progress].flatMap(([head, { running, eventAt }]) =>
        running > 0 && eventAt !== undefined ? [[head, Math.round(now - eventAt)] as const] : [],
      );
    },
    silentHeads: () => {
      const now = clock.now();
      return new Set([...progress].flatMap(([head, seen]) => (isSilent(seen, now) ? [head] : [])));
    },
    observingSince: () => stallDetector.observingSince(),
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

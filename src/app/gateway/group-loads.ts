/**
 * Load and speed of the groups: this daemon's own requests in them together with those of its peers,
 * and the capacity that is left.
 */

import type { GroupCandidate } from '../../core/gateway/balance';
import { departuresIn, freeCapacityOf, maxQueued } from '../../core/gateway/capacity';
import type { GroupCapacity } from '../../core/gateway/capacity';
import {
  createProgress,
  expectedPauseMs,
  maxPrefillTokens,
  noteEnded,
  noteEvent,
  notePrefilled,
  noteSent,
  publishedHoldMs,
  slowdownOf,
} from '../../core/gateway/progress';
import type { Progress } from '../../core/gateway/progress';
import type { InstanceId, ModelId, MonoTime, ServiceId } from '../../core/ids';
import type { Clock } from '../../ports/runtime';
import type { ServingGroup } from './group-index';
import type { PeerLoads } from './peer-loads';
import type { SlotAdmission } from './slot-admission';
import type { Throttle } from './throttle';

/** Requirements of a stream on its group. */
export interface GroupNeeds {
  readonly service: ServiceId;
  readonly model: ModelId;
  /** Longest pause between events that its caller still counts as on time, milliseconds. */
  readonly maxPauseMs: number;
  /** Heads of the groups that it was already sent to. */
  readonly tried: ReadonlySet<InstanceId>;
}

export type GroupOccupancy = Pick<GroupCapacity, 'running' | 'batchSize' | 'queued' | 'departing'>;

export interface GroupLoads {
  /** The own requests in each group, by head. */
  readonly progress: ReadonlyMap<InstanceId, Progress>;
  /** Requests of all daemons in the group. */
  runningIn(head: InstanceId): number;
  /** Time to prefill the prompts that were sent to the group, milliseconds. */
  prefillMs(group: ServingGroup): number;
  expectedPauseOf(group: ServingGroup): number;
  /** Slowdown factor as this daemon recently measured it. */
  localSlowdown(group: ServingGroup): number | undefined;
  /** Slowdown factor as any daemon recently measured it. */
  slowdown(group: ServingGroup): number;
  /**
   * Current and permitted requests of the group, and those expected to end before the next load
   * update.
   */
  occupancyOf(group: ServingGroup): GroupOccupancy;
  toCandidate(group: ServingGroup, needs: GroupNeeds): GroupCandidate;
  noteSent(head: InstanceId, promptTokens: number): void;
  notePrefilled(head: InstanceId, promptTokens: number): void;
  noteEnded(head: InstanceId, pendingPrefill: number): void;
  noteEvent(head: InstanceId, pauseMs: number | undefined): void;
  /** Requests of this daemon and their pending prefill tokens, by head. */
  running(): readonly (readonly [InstanceId, number, number])[];
  /**
   * Time since the last event of each group with requests of this daemon, milliseconds, by head.
   */
  quiet(): readonly (readonly [InstanceId, number])[];
  lastEventAt(head: InstanceId): MonoTime | undefined;
  /** Forgets groups without own requests whose heads `isKnown` does not know. */
  prune(isKnown: (head: InstanceId) => boolean): void;
}

export interface GroupLoadsDeps {
  readonly clock: Clock;
  readonly peerLoads: PeerLoads;
  readonly admission: SlotAdmission;
  readonly throttle: Throttle;
}

export function createGroupLoads({
  clock,
  peerLoads,
  admission,
  throttle,
}: GroupLoadsDeps): GroupLoads {
  const progress = new Map<InstanceId, Progress>();

  const progressOf = (head: InstanceId): Progress =>
    progress.get(head) ?? createProgress(clock.now());

  const runningIn = (head: InstanceId): number =>
    (progress.get(head)?.running ?? 0) + peerLoads.running(head);

  const pendingPrefillIn = (head: InstanceId): number =>
    (progress.get(head)?.pendingPrefill ?? 0) + peerLoads.pendingPrefill(head);

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

  return {
    progress,
    runningIn,
    prefillMs: ({ head, engine, spec }) =>
      (spec.pace * pendingPrefillIn(head.id)) / engine.prefillTokensPerMs,
    expectedPauseOf,
    localSlowdown,
    slowdown: (group) =>
      peerLoads.areFresh() ? currentSlowdown(group) : (localSlowdown(group) ?? 1),
    occupancyOf,
    toCandidate,
    noteSent: (head, promptTokens) => {
      progress.set(head, noteSent(progressOf(head), clock.now(), promptTokens));
    },
    notePrefilled: (head, promptTokens) => {
      progress.set(head, notePrefilled(progressOf(head), promptTokens));
    },
    noteEnded: (head, pendingPrefill) => {
      progress.set(head, noteEnded(progressOf(head), pendingPrefill));
    },
    noteEvent: (head, pauseMs) => {
      progress.set(head, noteEvent(progressOf(head), clock.now(), pauseMs));
    },
    running: () =>
      [...progress]
        .filter(([, { running }]) => running > 0)
        .map(([head, { running, pendingPrefill }]) => [head, running, pendingPrefill] as const),
    quiet: () => {
      const now = clock.now();
      return [...progress].flatMap(([head, { running, eventAt }]) =>
        running > 0 && eventAt !== undefined ? [[head, Math.round(now - eventAt)] as const] : [],
      );
    },
    lastEventAt: (head) => progress.get(head)?.eventAt,
    prune: (isKnown) => {
      for (const [head, { running }] of progress) {
        if (running === 0 && !isKnown(head)) progress.delete(head);
      }
    },
  };
}

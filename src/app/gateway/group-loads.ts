/** Load, capacity and speed of single groups, as this daemon and its peers measured them. */

import type { GroupCandidate } from '../../core/gateway/balance';
import { departuresIn, freeCapacityOf, maxQueued } from '../../core/gateway/capacity';
import type { GroupCapacity } from '../../core/gateway/capacity';
import {
  expectedPauseMs,
  maxPrefillTokens,
  publishedHoldMs,
  slowdownOf,
} from '../../core/gateway/progress';
import type { Progress } from '../../core/gateway/progress';
import type { InstanceId } from '../../core/ids';
import type { Clock } from '../../ports/runtime';
import type { ServingGroup } from './group-index';
import type { GroupNeeds } from './group-registry-types';
import type { PeerLoads } from './peer-loads';
import type { SlotAdmission } from './slot-admission';
import type { Throttle } from './throttle';

type GroupOccupancy = Pick<GroupCapacity, 'running' | 'batchSize' | 'queued' | 'departing'>;

export interface GroupLoads {
  /** Requests of all daemons in the group. */
  runningIn(head: InstanceId): number;
  /** Time to prefill the prompts that were sent to the group, milliseconds. */
  prefillMs(group: ServingGroup): number;
  /** Expected pause between events of a stream, milliseconds. */
  expectedPauseMs(group: ServingGroup): number;
  /** Slowdown factor that this daemon recently measured. */
  localSlowdown(group: ServingGroup): number | undefined;
  /**
   * The greater of this daemon's measurement and the fleet's mean: either may be the more recent.
   */
  slowdown(group: ServingGroup): number;
  /**
   * Current and permitted requests of the group, and those expected to end before the next load
   * update.
   */
  occupancyOf(group: ServingGroup): GroupOccupancy;
  toCandidate(group: ServingGroup, needs: GroupNeeds): GroupCandidate;
}

export interface GroupLoadsDeps {
  readonly clock: Clock;
  /** What this daemon has observed, by head. */
  readonly progress: ReadonlyMap<InstanceId, Progress>;
  readonly peerLoads: PeerLoads;
  readonly admission: SlotAdmission;
  readonly throttle: Throttle;
}

export function createGroupLoads({
  clock,
  progress,
  peerLoads,
  admission,
  throttle,
}: GroupLoadsDeps): GroupLoads {
  const runningIn = (head: InstanceId): number =>
    (progress.get(head)?.running ?? 0) + peerLoads.running(head);

  const pendingPrefillIn = (head: InstanceId): number =>
    (progress.get(head)?.pendingPrefill ?? 0) + peerLoads.pendingPrefill(head);

  const prefillMs = ({ head, engine, spec }: ServingGroup): number =>
    (spec.pace * pendingPrefillIn(head.id)) / engine.prefillTokensPerMs;

  const expectedPauseOf = ({ engine, spec, head }: ServingGroup): number =>
    expectedPauseMs(engine, spec.pace, runningIn(head.id));

  const localSlowdown = (group: ServingGroup): number | undefined => {
    const seen = progress.get(group.head.id);
    return seen && slowdownOf(seen, expectedPauseOf(group), clock.now());
  };

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
      isTried: tried.has(group.id),
    };
  };

  return {
    runningIn,
    prefillMs,
    expectedPauseMs: expectedPauseOf,
    localSlowdown,
    slowdown: currentSlowdown,
    occupancyOf,
    toCandidate,
  };
}

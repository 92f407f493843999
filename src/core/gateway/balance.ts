/** Chooses the group of a stream and the server of a plain call. */

import type { InstanceId, ZoneId } from '../ids';

/** A group as a request may be sent to it. */
export interface GroupCandidate {
  readonly head: InstanceId;
  readonly zone: ZoneId;
  /** Requests in it, of all daemons, as far as this one knows. */
  readonly running: number;
  readonly batchSize: number;
  /** Requests that it can take without holding up those that it has. */
  readonly freeCapacity: number;
  /** The part of its room that is free now, departures not counted. */
  readonly freeSlots: number;
  /** Prompt tokens in it that wait to be read. */
  readonly pendingPrefill: number;
  /** Prompt tokens that may wait without holding up the events of others for too long. */
  readonly maxPendingPrefill: number;
  /** Above 1: so many times slower than the published figures. */
  readonly slowdown: number;
  /** Already tried for this request. */
  readonly isTried: boolean;
}

export interface GroupChoiceOptions {
  /** Load of a group in another zone counts this much more: bytes between zones cost. */
  readonly otherZonePenalty: number;
  /** What a full measure of unread prompts counts, in batches. */
  readonly prefillWeight: number;
  /** A group that is so many times slower misses the latency objective of most requests. */
  readonly slowThreshold: number;
  /** What such a group counts more than a quick one, in batches: it is taken where no other has room. */
  readonly slowPenalty: number;
}

/**
 * A group in another zone is chosen where it is clearly less full: bytes between zones are paid for, and
 * a slightly fuller group gives its events hardly later.
 */
export const GROUP_CHOICE_DEFAULTS: GroupChoiceOptions = {
  otherZonePenalty: 0.15,
  prefillWeight: 0.5,
  slowThreshold: 1.9,
  slowPenalty: 1,
};

/** Whether the prompt can be read without holding up the events of others for too long. */
export function canPrefill(
  {
    pendingPrefill: unread,
    maxPendingPrefill: maxUnread,
  }: Pick<GroupCandidate, 'pendingPrefill' | 'maxPendingPrefill'>,
  prompt: number,
): boolean {
  return unread === 0 || unread + prompt <= maxUnread;
}

export function hasCapacity(
  group: Pick<GroupCandidate, 'freeCapacity' | 'pendingPrefill' | 'maxPendingPrefill'>,
  prompt: number,
): boolean {
  return group.freeCapacity >= 1 && canPrefill(group, prompt);
}

/** Whether the group is so slow that most requests in it miss their objective. */
function isSlow({ slowdown }: GroupCandidate): boolean {
  return slowdown >= GROUP_CHOICE_DEFAULTS.slowThreshold;
}

/**
 * The groups that a request may be sent to: quick ones in which the daemon has places to itself, as many as
 * `granted` tells, otherwise all that have room.
 */
export function listEligible(
  candidates: readonly GroupCandidate[],
  granted: (head: InstanceId) => number,
  promptTokens: number,
): readonly GroupCandidate[] {
  const readable = candidates.filter((one) => !one.isTried && canPrefill(one, promptTokens));
  const own = readable.flatMap((one) => {
    const slots = granted(one.head);
    return slots < 1 || isSlow(one) ? [] : [{ ...one, freeCapacity: slots }];
  });
  return own.length > 0 ? own : readable.filter(({ freeCapacity: room }) => room >= 1);
}

/** Groups that are drawn, of which one in the own zone is taken. */
const DRAWS = 3;
/** A slow group counts as having this part of its room: it is drawn where hardly another has any. */
const SLOW_SHARE = 0.02;

/**
 * A group drawn by lot, those with more room more often. Of a few that are drawn, one in the own zone goes
 * before the others.
 *
 * Load pattern: many daemons whose knowledge of loads is of the same age. The least filled group, also the
 * least filled of a few, is the same to all of them until they hear again, and is overfilled meanwhile. In
 * proportion to its room each group gets what it can take (Dahlin, "Interpreting Stale Load Information",
 * 2000).
 */
export function pickWeightedGroup(
  candidates: readonly GroupCandidate[],
  zone: ZoneId,
  random: () => number,
  { slowThreshold: slowAt }: GroupChoiceOptions = GROUP_CHOICE_DEFAULTS,
): GroupCandidate | undefined {
  const weights = candidates.map(
    ({ freeCapacity: room, slowdown }) => (room / slowdown) * (slowdown >= slowAt ? SLOW_SHARE : 1),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const draw = (): GroupCandidate | undefined => {
    let left = random() * total;
    return candidates.find((_, i) => (left -= weights[i] ?? 0) < 0) ?? candidates.at(-1);
  };
  const drawn = Array.from({ length: DRAWS }, draw);
  return drawn.find((group) => group?.zone === zone) ?? drawn[0];
}

/**
 * The group where the request runs fastest: the least filled one, slow ones counted as fuller. None
 * where all are full.
 *
 * Load pattern: some model servers turn several times slower while their neighbours stay quick, and a
 * group is as slow as its slowest member. A nearly empty slow group still answers later than a quick
 * one that is nearly full. `chance` in [0, 1) breaks ties, so that daemons do not act alike.
 */
export function chooseGroup(
  candidates: readonly GroupCandidate[],
  promptTokens: number,
  zone: ZoneId,
  chance: number,
  options: GroupChoiceOptions = GROUP_CHOICE_DEFAULTS,
): GroupCandidate | undefined {
  let best: GroupCandidate | undefined;
  let bestScore = Infinity;
  const offset = Math.floor(chance * candidates.length);
  for (let i = 0; i < candidates.length; i++) {
    const candidate = candidates[(i + offset) % candidates.length];
    if (!candidate || candidate.isTried || !hasCapacity(candidate, promptTokens)) continue;
    const {
      running,
      batchSize,
      slowdown,
      pendingPrefill: unread,
      maxPendingPrefill: maxUnread,
    } = candidate;
    const away = candidate.zone === zone ? 0 : options.otherZonePenalty;
    const filled = (running + 1) / batchSize + (options.prefillWeight * unread) / maxUnread;
    const slow = slowdown >= options.slowThreshold ? options.slowPenalty : 0;
    const score = filled * slowdown + slow + away;
    if (score < bestScore) [best, bestScore] = [candidate, score];
  }
  return best;
}

/** A server of a plain service. */
export interface PlainCandidate {
  readonly id: InstanceId;
  readonly zone: ZoneId;
  /** Requests of this daemon in it. */
  readonly running: number;
  readonly batchSize: number;
  /** Share of late calls that failed, weighted towards the last ones. */
  readonly failures: number;
  /** Mean time of late calls, milliseconds; undefined where none is known. */
  readonly latencyMs: number | undefined;
  readonly isTried: boolean;
}

/** A failing server is avoided as if it were so many times fuller at most. */
const FAILURE_WEIGHT = 12;

/** The server with the least expected wait, failing ones counted as fuller. */
export function choosePlain(
  candidates: readonly PlainCandidate[],
  zone: ZoneId,
  chance: number,
): PlainCandidate | undefined {
  const known = candidates.flatMap(({ latencyMs }) => (latencyMs === undefined ? [] : [latencyMs]));
  const usual = known.length === 0 ? 1 : Math.min(...known);
  let best: PlainCandidate | undefined;
  let bestScore = Infinity;
  const offset = Math.floor(chance * candidates.length);
  for (let i = 0; i < candidates.length; i++) {
    const candidate = candidates[(i + offset) % candidates.length];
    if (!candidate || candidate.isTried) continue;
    const slow = Math.max(1, (candidate.latencyMs ?? usual) / usual);
    const failing = 1 + FAILURE_WEIGHT * candidate.failures;
    const away = candidate.zone === zone ? 1 : 1.05;
    const score = ((candidate.running + 1) / candidate.batchSize) * slow * failing * away;
    if (score < bestScore) [best, bestScore] = [candidate, score];
  }
  return best;
}

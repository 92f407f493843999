/** Load balancing: chooses the replica group for a stream and the backend server for a plain call. */

import type { InstanceId, ZoneId } from '../ids';

/** A group that a request may be sent to. */
export interface GroupCandidate {
  readonly head: InstanceId;
  readonly zone: ZoneId;
  /** Requests in it, from all daemons, as far as this one knows. */
  readonly running: number;
  readonly batchSize: number;
  /** Requests that it can take without delaying those that it has, expected departures included. */
  readonly freeCapacity: number;
  /** The part of the free capacity that is free now, without expected departures. */
  readonly freeSlots: number;
  /** Whether the free capacity is this daemon's part of a limit, which no other daemon uses. */
  readonly isOwnShare?: boolean;
  /** Prompt tokens in it that wait for prefill. */
  readonly pendingPrefill: number;
  /** Prompt tokens that may wait for prefill without delaying the events of other streams too long. */
  readonly maxPendingPrefill: number;
  /** Slowdown factor relative to the published performance; 1 or more. */
  readonly slowdown: number;
  /** Whether it was already tried for this request. */
  readonly isTried: boolean;
}

/** Weights of the score that `chooseGroup` minimizes. */
export interface GroupChoiceOptions {
  /** Added to the score of a group in another zone, since traffic between zones is charged. */
  readonly otherZonePenalty: number;
  /** Score of a full measure of pending prefill, in batches. */
  readonly prefillWeight: number;
  /** Slowdown factor from which a group misses the latency objective of most requests. */
  readonly slowThreshold: number;
  /** Added to the score of such a group, in batches, so that it is chosen only if no other has capacity. */
  readonly slowPenalty: number;
}

/**
 * A group in another zone is chosen only if it is clearly less full: traffic between zones is charged, and
 * a slightly fuller group delays its events very little.
 */
export const GROUP_CHOICE_DEFAULTS: GroupChoiceOptions = {
  otherZonePenalty: 0.15,
  prefillWeight: 0.5,
  slowThreshold: 1.9,
  slowPenalty: 1,
};

/** Whether the prompt can be prefilled without delaying the events of other streams too long. */
export function canPrefill(
  {
    pendingPrefill,
    maxPendingPrefill,
  }: Pick<GroupCandidate, 'pendingPrefill' | 'maxPendingPrefill'>,
  promptTokens: number,
): boolean {
  return pendingPrefill === 0 || pendingPrefill + promptTokens <= maxPendingPrefill;
}

/** Whether the group can take a request with a prompt of so many tokens. */
export function hasCapacity(
  group: Pick<GroupCandidate, 'freeCapacity' | 'pendingPrefill' | 'maxPendingPrefill'>,
  promptTokens: number,
): boolean {
  return group.freeCapacity >= 1 && canPrefill(group, promptTokens);
}

/** Whether the group is so slow that most requests in it miss their latency objective. */
function isSlow({ slowdown }: GroupCandidate): boolean {
  return slowdown >= GROUP_CHOICE_DEFAULTS.slowThreshold;
}

/**
 * The groups that a request may be sent to: those that aren't slow and in which this daemon was granted
 * slots (`granted`), or if there are none, all with free capacity.
 */
export function listEligible(
  candidates: readonly GroupCandidate[],
  granted: (head: InstanceId) => number,
  promptTokens: number,
): readonly GroupCandidate[] {
  const prefillable = candidates.filter((one) => !one.isTried && canPrefill(one, promptTokens));
  const own = prefillable.flatMap((one) => {
    const slots = one.isOwnShare === true ? one.freeCapacity : granted(one.head);
    return slots < 1 || isSlow(one) ? [] : [{ ...one, freeCapacity: slots }];
  });
  return own.length > 0 ? own : prefillable.filter(({ freeCapacity }) => freeCapacity >= 1);
}

/** Number of random choices, of which one in the own zone is preferred. */
const CHOICES = 3;
/** Weight factor of a slow group: it is chosen only if hardly any other has capacity. */
const SLOW_WEIGHT = 0.02;

/**
 * A weighted random choice among groups, by free capacity. Of a few choices, one in the own zone is
 * preferred.
 *
 * Load pattern: many daemons have equally old load information. The least loaded group, also the least
 * loaded of a few, is then the same for all of them until the next update and becomes overloaded. Chosen in
 * proportion to its free capacity, each group gets what it can take (Dahlin, "Interpreting Stale Load
 * Information", 2000).
 */
export function pickWeightedGroup(
  candidates: readonly GroupCandidate[],
  zone: ZoneId,
  random: () => number,
  { slowThreshold }: GroupChoiceOptions = GROUP_CHOICE_DEFAULTS,
): GroupCandidate | undefined {
  const weights = candidates.map(
    ({ freeCapacity, slowdown }) =>
      (freeCapacity / slowdown) * (slowdown >= slowThreshold ? SLOW_WEIGHT : 1),
  );
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const pick = (): GroupCandidate | undefined => {
    let remaining = random() * total;
    return candidates.find((_, i) => (remaining -= weights[i] ?? 0) < 0) ?? candidates.at(-1);
  };
  const picks = Array.from({ length: CHOICES }, pick);
  return picks.find((group) => group?.zone === zone) ?? picks[0];
}

/**
 * The group in which the request is expected to run fastest: the least loaded one, with the load of slow
 * groups scaled up. Undefined if no group has capacity.
 *
 * Load pattern: some model servers become several times slower while their neighbours stay fast, and a
 * group is as slow as its slowest member. A nearly empty slow group still responds later than a nearly
 * full fast one. `chance` in [0, 1) breaks ties, so that daemons don't all choose alike.
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
  const start = Math.floor(chance * candidates.length);
  for (let i = 0; i < candidates.length; i++) {
    const candidate = candidates[(i + start) % candidates.length];
    if (!candidate || candidate.isTried || !hasCapacity(candidate, promptTokens)) continue;
    const { running, batchSize, slowdown, pendingPrefill, maxPendingPrefill } = candidate;
    const zonePenalty = candidate.zone === zone ? 0 : options.otherZonePenalty;
    const load =
      (running + 1) / batchSize + (options.prefillWeight * pendingPrefill) / maxPendingPrefill;
    const slowPenalty = slowdown >= options.slowThreshold ? options.slowPenalty : 0;
    const score = load * slowdown + slowPenalty + zonePenalty;
    if (score < bestScore) [best, bestScore] = [candidate, score];
  }
  return best;
}

/** A backend server of a plain service. */
export interface PlainCandidate {
  readonly id: InstanceId;
  readonly zone: ZoneId;
  /** This daemon's requests in it. */
  readonly running: number;
  readonly batchSize: number;
  /** Share of recent calls that failed, 0 to 1, weighted towards the latest. */
  readonly failures: number;
  /** Mean time of recent calls, milliseconds; undefined if there were none. */
  readonly latencyMs: number | undefined;
  readonly isTried: boolean;
}

/** A server whose calls all fail counts as 1 + this many times as loaded. */
const FAILURE_WEIGHT = 12;

/** The server with the shortest expected wait, with the load of failing servers scaled up. */
export function choosePlain(
  candidates: readonly PlainCandidate[],
  zone: ZoneId,
  chance: number,
): PlainCandidate | undefined {
  const latencies = candidates.flatMap(({ latencyMs }) =>
    latencyMs === undefined ? [] : [latencyMs],
  );
  const fastestMs = latencies.length === 0 ? 1 : Math.min(...latencies);
  let best: PlainCandidate | undefined;
  let bestScore = Infinity;
  const start = Math.floor(chance * candidates.length);
  for (let i = 0; i < candidates.length; i++) {
    const candidate = candidates[(i + start) % candidates.length];
    if (!candidate || candidate.isTried) continue;
    const slowFactor = Math.max(1, (candidate.latencyMs ?? fastestMs) / fastestMs);
    const failureFactor = 1 + FAILURE_WEIGHT * candidate.failures;
    const zoneFactor = candidate.zone === zone ? 1 : 1.05;
    const score =
      ((candidate.running + 1) / candidate.batchSize) * slowFactor * failureFactor * zoneFactor;
    if (score < bestScore) [best, bestScore] = [candidate, score];
  }
  return best;
}

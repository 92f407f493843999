/**
 * Which room in a model's groups one daemon may use before it hears of the others again.
 *
 * Load pattern: groups are lost or a burst comes, and many daemons have requests waiting. All of them see the
 * same free places at the same moment, from loads that are some tenths of a second old. If each takes them, the
 * surplus waits in the groups' engines in order of arrival, out of reach of our own order of waiting, and nearly
 * every request becomes late although there are places for most.
 *
 * So while more is asked for than there is room, the free places are granted by need, each to one daemon. A
 * place that one of a daemon's own streams gave back is that daemon's to use again, in the same group: it knows
 * of it before all others. Requests that are late already use only what those that can be on time leave: for a
 * place that a late one takes, another request becomes late as well.
 */

import type { InstanceId } from '../ids';

/** What a group can take, as a daemon sees it. */
export interface GroupCapacity {
  readonly running: number;
  readonly batchSize: number;
  /** Requests beyond its places that it may have. */
  readonly queued: number;
  /** Requests that will have ended when loads are heard of again. */
  readonly departing: number;
  /** Prompt tokens in it that wait to be read, and how many may. */
  readonly pendingPrefill: number;
  readonly maxPendingPrefill: number;
  /** Tokens of a usual prompt. */
  readonly meanPromptTokens: number;
  /** Usual prompts that are read until loads are heard of again. */
  readonly prefillsUntilUpdate: number;
}

/** Part of the time that requests may wait for a place which they may spend in a group's own queue. */
const QUEUED_PART = 0.5;

export interface QueueTimes {
  /** Time that a request may wait for a place and still be on time, milliseconds. */
  readonly slackMs: number;
  /** Mean time that requests hold a place, milliseconds. */
  readonly holdMs: number;
}

/**
 * Requests that may stand in a group beyond its places, so that a place which becomes free is taken at once:
 * as many as reach a place within a part of their slack.
 */
export function maxQueued(batchSize: number, { slackMs, holdMs }: QueueTimes): number {
  return Math.round((batchSize * QUEUED_PART * slackMs) / Math.max(1, slackMs, holdMs));
}

/** Requests of the group that end within `ms`, where each holds its place for `holdMs` on average. */
export function departuresIn(
  { running, batchSize }: Pick<GroupCapacity, 'running' | 'batchSize'>,
  ms: number,
  holdMs: number,
): number {
  return (Math.min(running, batchSize) * ms) / Math.max(ms, holdMs);
}

/** Requests that the group can take without holding up those that it has. */
export function freeCapacityOf(group: GroupCapacity): number {
  const places = group.batchSize + group.queued - group.running + group.departing;
  const prompts =
    (group.maxPendingPrefill - group.pendingPrefill) / group.meanPromptTokens +
    group.prefillsUntilUpdate;
  return Math.max(0, Math.min(places, Math.ceil(prompts)));
}

/** What is asked for of a model: requests that wait, and new ones a second. */
export interface OfferedLoad {
  readonly waiting: number;
  readonly perSecond: number;
}

const MS_PER_S = 1_000;

/** Requests that want a place, those that wait and those that come until loads are heard of again. */
export interface ExpectedLoad {
  readonly onTime: number;
  readonly late: number;
}

/** Of those that wait, only the arrivals of the last `slackMs` can still be on time. */
export function expectLoad(
  { waiting, perSecond }: OfferedLoad,
  { agedMs, slackMs }: { readonly agedMs: number; readonly slackMs: number },
): ExpectedLoad {
  const onTime = Math.min(waiting, (perSecond * slackMs) / MS_PER_S);
  return { onTime: onTime + (perSecond * agedMs) / MS_PER_S, late: waiting - onTime };
}

/** What a request may use: all room, places that its daemon was granted, or what the others leave. */
export type SlotAccess = 'all' | 'granted' | 'surplus';

export interface Contention {
  /** In all groups of the model, with the departures that are expected. */
  readonly freeCapacity: number;
  readonly local: ExpectedLoad;
  readonly remote: ExpectedLoad;
}

export function slotAccessFor(
  { freeCapacity: room, local: here, remote: elsewhere }: Contention,
  isLate: boolean,
): SlotAccess {
  const onTime = here.onTime + elsewhere.onTime;
  if (onTime + here.late + elsewhere.late <= room) return 'all';
  if (isLate) return 'surplus';
  return onTime <= room ? 'all' : 'granted';
}

/** Late requests that this daemon may send until loads are heard of again; `lot` decides on the fraction. */
export function lateQuota(
  { freeCapacity: room, local: here, remote: elsewhere }: Contention,
  lot: number,
): number {
  const surplus = Math.max(0, room - here.onTime - elsewhere.onTime);
  const late = here.late + elsewhere.late;
  return late === 0 ? 0 : Math.floor((surplus * here.late) / late + lot);
}

/** This daemon's part of the demand that can be on time. */
export function onTimeShare({ local: here, remote: elsewhere }: Contention): number {
  const all = here.onTime + elsewhere.onTime;
  return all === 0 ? 0 : here.onTime / all;
}

/** Free places of a group. */
export interface FreeSlots {
  readonly head: InstanceId;
  readonly places: number;
}

/**
 * Grants the daemon its share of each group's free places. Fractions are carried from group to group and begin
 * with a lot, so that all daemons together are granted as many as there are.
 */
export function grantSlots(
  groups: readonly FreeSlots[],
  share: number,
  lot: number,
): readonly (readonly [InstanceId, number])[] {
  let sum = lot;
  return groups.flatMap(({ head, places }) => {
    const before = Math.floor(sum);
    sum += share * places;
    const granted = Math.floor(sum) - before;
    return granted === 0 ? [] : [[head, granted] as const];
  });
}

/**
 * The chance that a place which a stream gave back is used again. In a group that has more requests than it may
 * have, as many of the departures as it has too many are not replaced.
 */
export function reuseProbability({
  running,
  batchSize,
  queued,
  departing,
}: Pick<GroupCapacity, 'running' | 'batchSize' | 'queued' | 'departing'>): number {
  const surplus = running - batchSize - queued;
  if (surplus <= 0) return 1;
  return departing === 0 ? 0 : Math.max(0, 1 - surplus / departing);
}

/**
 * Computes the free capacity of a model's groups that one daemon may use until the next load update. A slot
 * is one request in a group's batch.
 *
 * Load pattern: groups are lost or a burst arrives, and many daemons have requests waiting. All of them see
 * the same free slots at the same moment, from loads that are some tenths of a second old. If each used them
 * all, the surplus would queue in the groups' engines in order of arrival, beyond the control of our own
 * queue order, and nearly every request would become late although there are slots for most.
 *
 * So while the offered load exceeds the free capacity, each free slot is granted to one daemon, in proportion
 * to need. A slot released by one of a daemon's own streams may be reused by that daemon, in the same group,
 * since it knows of the slot before all others. Requests that are already late use only what those that can
 * be on time leave over: each slot that a late one takes makes another request late.
 *
 * Requests of one model may differ in priority. The slots that the requests of all daemons need which go
 * first are taken off the free capacity: for a request that can be on time the more urgent ones that can be
 * as well, for a late one all that can be on time and the more urgent late ones. So a less urgent request at
 * one daemon takes no slot from a more urgent one at another, and a late one takes none that makes another
 * request late: its answer is worth about a quarter of one on time to its caller.
 */

import type { InstanceId } from '../ids';

/** A group's load and limits, as this daemon knows them. */
export interface GroupCapacity {
  readonly running: number;
  readonly batchSize: number;
  /** Requests that may queue in its engine, beyond its slots. */
  readonly queued: number;
  /** Requests expected to end before the next load update. */
  readonly departing: number;
  /** Prompt tokens in it that wait for prefill, and how many may. */
  readonly pendingPrefill: number;
  readonly maxPendingPrefill: number;
  /** Mean number of tokens in a prompt. */
  readonly meanPromptTokens: number;
  /** Prompts of mean length that are prefilled before the next load update. */
  readonly prefillsUntilUpdate: number;
}

/** Part of a request's slack that it may spend in a group's own queue. */
const QUEUED_PART = 0.5;

/** Waiting and holding times of a model's requests. */
export interface QueueTimes {
  /** Time that a request may wait for a slot and still be on time, milliseconds. */
  readonly slackMs: number;
  /** Mean time that a request holds a slot, milliseconds. */
  readonly holdMs: number;
}

/**
 * Number of requests that may queue in a group beyond its slots, so that a slot is reused as soon as it is
 * released: as many as get a slot within a part of their slack.
 */
export function maxQueued(batchSize: number, { slackMs, holdMs }: QueueTimes): number {
  return Math.round((batchSize * QUEUED_PART * slackMs) / Math.max(1, slackMs, holdMs));
}

/** Expected number of the group's requests that end within `ms`, if each holds its slot for `holdMs` on average. */
export function departuresIn(
  { running, batchSize }: Pick<GroupCapacity, 'running' | 'batchSize'>,
  ms: number,
  holdMs: number,
): number {
  return (Math.min(running, batchSize) * ms) / Math.max(ms, holdMs);
}

/** Number of requests that the group can take without delaying those that it has. */
export function freeCapacityOf(group: GroupCapacity): number {
  const slots = group.batchSize + group.queued - group.running + group.departing;
  const prefills =
    (group.maxPendingPrefill - group.pendingPrefill) / group.meanPromptTokens +
    group.prefillsUntilUpdate;
  return Math.max(0, Math.min(slots, Math.ceil(prefills)));
}

/** Load offered to a model. */
export interface OfferedLoad {
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** Arrival rate, requests per second. */
  readonly perSecond: number;
}

const MS_PER_S = 1_000;

/** Requests that need a slot before the next load update: those waiting and those expected to arrive. */
export interface ExpectedLoad {
  /** Requests that can still be on time. */
  readonly onTime: number;
  readonly late: number;
}

/** Of the waiting requests, only those that arrived in the last `slackMs` can still be on time. */
export function expectLoad(
  { waiting, perSecond }: OfferedLoad,
  { agedMs, slackMs }: { readonly agedMs: number; readonly slackMs: number },
): ExpectedLoad {
  const onTime = Math.min(waiting, (perSecond * slackMs) / MS_PER_S);
  return { onTime: onTime + (perSecond * agedMs) / MS_PER_S, late: waiting - onTime };
}

/**
 * Slots that a request may use.
 *
 * - `all`: any free slot.
 * - `granted`: only slots that were granted to its daemon.
 * - `surplus`: only slots that requests which can be on time leave over.
 * - `none`: more urgent requests that can be on time need all slots.
 */
export type SlotAccess = 'all' | 'granted' | 'surplus' | 'none';

/** Free capacity of a model's groups, and the expected load of this daemon and of its peers. */
export interface Contention {
  /** In all groups of the model, expected departures included. */
  readonly freeCapacity: number;
  readonly local: ExpectedLoad;
  readonly remote: ExpectedLoad;
  /** Load of more urgent classes, on all daemons; none if absent. */
  readonly urgent?: ExpectedLoad;
  /** Load of less urgent classes, on all daemons; none if absent. */
  readonly lessUrgent?: ExpectedLoad;
}

export const NOTHING_EXPECTED: ExpectedLoad = { onTime: 0, late: 0 };

/** The part of the free capacity that more urgent requests which can be on time leave over, 0 to 1. */
export function shareLeft({ freeCapacity, urgent = NOTHING_EXPECTED }: Contention): number {
  if (urgent.onTime === 0) return 1;
  return freeCapacity <= urgent.onTime ? 0 : 1 - urgent.onTime / freeCapacity;
}

/** Slots that the requests which can be on time and the more urgent late ones leave over; negative if too few. */
function surplusOf({
  freeCapacity,
  local,
  remote,
  urgent = NOTHING_EXPECTED,
  lessUrgent = NOTHING_EXPECTED,
}: Contention): number {
  const onTime = urgent.onTime + local.onTime + remote.onTime + lessUrgent.onTime;
  return freeCapacity - onTime - urgent.late;
}

/** The slots that a request may use; `isLate` if it can no longer be on time. */
export function slotAccessFor(contention: Contention, isLate: boolean): SlotAccess {
  const { local, remote } = contention;
  if (isLate) return local.late + remote.late <= surplusOf(contention) ? 'all' : 'surplus';
  const share = shareLeft(contention);
  if (share === 0) return 'none';
  return local.onTime + remote.onTime <= share * contention.freeCapacity ? 'all' : 'granted';
}

/** Late requests that this daemon may send before the next load update, rounded at random by `chance` in [0, 1). */
export function lateQuota(contention: Contention, chance: number): number {
  const { local, remote } = contention;
  const surplus = Math.max(0, surplusOf(contention));
  const late = local.late + remote.late;
  return late === 0 ? 0 : Math.floor((surplus * local.late) / late + chance);
}

/** This daemon's share of the expected load that can be on time. */
export function onTimeShare({ local, remote }: Contention): number {
  const all = local.onTime + remote.onTime;
  return all === 0 ? 0 : local.onTime / all;
}

/** Free slots of a group. */
export interface FreeSlots {
  readonly head: InstanceId;
  readonly slots: number;
}

/**
 * Grants the daemon its share of each group's free slots. Fractions are carried over from group to group,
 * starting from `chance` in [0, 1): with random values the grants of all daemons add up to the free slots on
 * average.
 */
export function grantSlots(
  groups: readonly FreeSlots[],
  share: number,
  chance: number,
): readonly (readonly [InstanceId, number])[] {
  let sum = chance;
  return groups.flatMap(({ head, slots }) => {
    const before = Math.floor(sum);
    sum += share * slots;
    const granted = Math.floor(sum) - before;
    return granted === 0 ? [] : [[head, granted] as const];
  });
}

/**
 * Probability with which a slot released by a stream is reused. In an overfull group, as many departures as
 * there are excess requests are not replaced.
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

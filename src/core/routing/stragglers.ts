/**
 * Stragglers: groups whose latencies lie far above those of their model's other groups. They are
 * ejected for a while and return step by step. A floor keeps most groups in: when many are slow,
 * slowness is the load's fault, not theirs.
 */

import type { MonoTime } from '../ids';
import { later } from '../ids';
import type { Random } from '../random';
import type { Average, GroupState, RoutingOptions } from './types';

/** Weight of the newest sample in a moving average. */
const NEWEST_WEIGHT = 0.2;
/** Part of its normal work that a returning group gets at first. */
const RAMP_START = 0.1;

export function createAverage(): Average {
  return { value: 0, samples: 0 };
}

/** Takes in one sample. The first ones count alike, later ones fade. */
export function addSample(average: Average, sample: number): void {
  average.samples += 1;
  const weight = Math.max(NEWEST_WEIGHT, 1 / average.samples);
  average.value += weight * (sample - average.value);
}

/** Part of its normal work that a group should get now: 0 while ejected, 1 in good standing. */
export function standing(group: GroupState, now: MonoTime, opts: RoutingOptions): number {
  if (group.ejectedUntil === undefined) return 1;
  if (now < group.ejectedUntil) return 0;
  const ramp = (now - group.ejectedUntil) / opts.rampMs;
  return Math.min(1, RAMP_START + (1 - RAMP_START) * ramp);
}

/** Groups that may be chosen: ejected ones are left out, returning ones take their chance. */
export function inStanding(
  groups: readonly GroupState[],
  now: MonoTime,
  opts: RoutingOptions,
  random: Random,
): readonly GroupState[] {
  if (groups.every((group) => group.ejectedUntil === undefined)) return groups;
  const kept = groups.filter((group) => {
    const part = standing(group, now, opts);
    return part === 1 || random.next() < part;
  });
  // A slow group is better than none.
  return kept.length > 0 ? kept : groups;
}

/** A latency to judge by: what was measured, or a longer wait that still goes on. */
interface Signal {
  readonly name: string;
  read(group: GroupState, now: MonoTime, opts: RoutingOptions): number | undefined;
}

const SIGNALS: readonly Signal[] = [
  {
    name: 'first-token',
    read: (group, now, opts) => {
      const waitMs = oldestWait(group, now);
      const measured = settled(group.firstTokenMs, opts);
      if (measured === undefined) return undefined;
      return Math.max(measured, waitMs);
    },
  },
  { name: 'inter-token', read: (group, _now, opts) => settled(group.interTokenMs, opts) },
];

function settled(average: Average, opts: RoutingOptions): number | undefined {
  return average.samples >= opts.outlierSamples ? average.value : undefined;
}

function oldestWait(group: GroupState, now: MonoTime): number {
  const oldest = group.waiting.values().next();
  return oldest.done === true ? 0 : now - oldest.value;
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** How far a group lies above the median, in multiples; 0 where it is no outlier. */
function excess(value: number, middle: number, opts: RoutingOptions): number {
  const isOutlier = value > middle * opts.outlierFactor && value > middle + opts.outlierGapMs;
  return isOutlier ? value / Math.max(middle, 1) : 0;
}

/** Judges the groups of one model; ejects the worst outliers within the floor. */
export function judge(groups: readonly GroupState[], now: MonoTime, opts: RoutingOptions): void {
  for (const group of groups) forgive(group, now, opts);
  const worst = new Map<GroupState, number>();
  for (const signal of SIGNALS) {
    const inGame = groups.filter((group) => standing(group, now, opts) > 0);
    const read = inGame.map((group) => ({ group, value: signal.read(group, now, opts) }));
    const middle = median(read.flatMap(({ value }) => (value === undefined ? [] : [value])));
    for (const { group, value } of read) {
      const by = value === undefined ? 0 : excess(value, middle, opts);
      if (by > 0) worst.set(group, Math.max(by, worst.get(group) ?? 0));
    }
  }
  const out = groups.filter((group) => standing(group, now, opts) === 0).length;
  const room = Math.floor(groups.length * opts.maxEjectedShare) - out;
  const outliers = [...worst].toSorted((a, b) => b[1] - a[1]);
  for (const [group] of outliers.slice(0, Math.max(0, room))) eject(group, now, opts);
}

function eject(group: GroupState, now: MonoTime, opts: RoutingOptions): void {
  const lengthMs = Math.min(opts.maxEjectionMs, opts.ejectionMs * 2 ** group.ejections);
  group.ejectedUntil = later(now, lengthMs);
  group.ejections += 1;
  // Judged afresh when it returns.
  Object.assign(group.firstTokenMs, createAverage());
  Object.assign(group.interTokenMs, createAverage());
}

/** A group that came through its whole return without a new ejection is in good standing again. */
function forgive(group: GroupState, now: MonoTime, opts: RoutingOptions): void {
  if (group.ejectedUntil === undefined || now < later(group.ejectedUntil, opts.rampMs)) return;
  group.ejectedUntil = undefined;
  group.ejections = Math.max(0, group.ejections - 1);
}

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
/** Below this multiple of the median, differences in speed are taken for chance. */
const SLOW_FROM = 1.5;
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
export function trafficFraction(group: GroupState, now: MonoTime, opts: RoutingOptions): number {
  if (group.ejectedUntil === undefined) return 1;
  if (now < group.ejectedUntil) return 0;
  const ramp = (now - group.ejectedUntil) / opts.rampMs;
  return Math.min(1, RAMP_START + (1 - RAMP_START) * ramp);
}

/** Groups that may be chosen: ejected ones are left out, returning ones take their chance. */
export function eligibleGroups(
  groups: readonly GroupState[],
  now: MonoTime,
  opts: RoutingOptions,
  random: Random,
): readonly GroupState[] {
  if (groups.every((group) => group.ejectedUntil === undefined)) return groups;
  const kept = groups.filter((group) => {
    const part = trafficFraction(group, now, opts);
    return part === 1 || random.next() < part;
  });
  // A slow group is better than none.
  return kept.length > 0 ? kept : groups;
}

/** A latency to judge by. */
interface Signal {
  readonly factor: (opts: RoutingOptions) => number;
  readonly gapMs: (opts: RoutingOptions) => number;
  /** What was measured; the median is taken over these. */
  measured(group: GroupState, opts: RoutingOptions): number | undefined;
  /** A wait that still goes on; it counts when it is longer, even before any answer. */
  pending(group: GroupState, now: MonoTime): number;
}

const SIGNALS: readonly Signal[] = [
  {
    factor: (opts) => opts.firstTokenFactor,
    gapMs: (opts) => opts.firstTokenGapMs,
    measured: (group, opts) => settled(group.firstTokenMs, opts.firstTokenSamples),
    pending: oldestWait,
  },
  {
    factor: (opts) => opts.interTokenFactor,
    gapMs: (opts) => opts.interTokenGapMs,
    measured: (group, opts) => settled(group.interTokenMs, opts.interTokenSamples),
    pending: () => 0,
  },
];

function settled(average: Average, samples: number): number | undefined {
  return average.samples >= samples ? average.value : undefined;
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
function excess(signal: Signal, value: number, middle: number, opts: RoutingOptions): number {
  const isFar = value > middle * signal.factor(opts);
  const isOutlier = isFar && value > middle + signal.gapMs(opts);
  return isOutlier ? value / Math.max(middle, 1) : 0;
}

/** Groups that are out now. */
export function countEjected(
  groups: Iterable<GroupState>,
  now: MonoTime,
  opts: RoutingOptions,
): number {
  let out = 0;
  for (const group of groups) if (trafficFraction(group, now, opts) === 0) out += 1;
  return out;
}

/**
 * Judges the groups of one model; ejects the worst outliers within the floor. `alreadyOut` counts
 * those of the model that are out, whether or not they are among `groups`.
 */
export function updateEjections(
  groups: readonly GroupState[],
  alreadyOut: number,
  now: MonoTime,
  opts: RoutingOptions,
): void {
  for (const group of groups) forgive(group, now, opts);
  const worst = new Map<GroupState, number>();
  const inGame = groups.filter((group) => trafficFraction(group, now, opts) > 0);
  for (const signal of SIGNALS) {
    const measured = inGame.map((group) => signal.measured(group, opts));
    const middle = median(measured.filter((value) => value !== undefined));
    if (middle === 0) continue;
    for (const [i, group] of inGame.entries()) {
      const value = Math.max(measured[i] ?? 0, signal.pending(group, now));
      const by = excess(signal, value, middle, opts);
      if (by > 0) worst.set(group, Math.max(by, worst.get(group) ?? 0));
    }
  }
  rateSpeed(groups, opts);
  const room = Math.floor(groups.length * opts.maxEjectedShare) - alreadyOut;
  const outliers = [...worst].toSorted((a, b) => b[1] - a[1]);
  for (const [group] of outliers.slice(0, Math.max(0, room))) eject(group, now, opts);
}

/** Notes how slow each group is against the median, for the choice among those that are in. */
function rateSpeed(groups: readonly GroupState[], opts: RoutingOptions): void {
  const read = groups.map((group) => settled(group.interTokenMs, opts.interTokenSamples));
  const middle = median(read.filter((value) => value !== undefined));
  for (const [i, group] of groups.entries()) {
    const value = read[i];
    if (value === undefined || middle === 0) continue;
    const ratio = value / middle;
    group.slowness = ratio > SLOW_FROM ? ratio : 1;
  }
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

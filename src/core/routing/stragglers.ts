/**
 * Detects stragglers: groups whose latencies are far above those of the other groups of their
 * model. They are ejected for a time and then readmitted gradually. The ejected share is limited,
 * because when many groups are slow the cause is load and not the groups.
 */

import type { MonoTime } from '../ids';
import { later } from '../ids';
import type { Random } from '../random';
import type { Average, GroupState, RoutingOptions } from './types';

/** Weight of the newest sample in a moving average. */
const NEWEST_WEIGHT = 0.2;
/** Below this multiple of the median, differences in speed are treated as noise. */
const MIN_SLOWNESS = 1.5;
/** Fraction of its normal traffic that a readmitted group gets at first. */
const RAMP_START = 0.1;

/** An average without samples. */
export function createAverage(): Average {
  return { value: 0, samples: 0 };
}

/** Adds a sample. The first few are weighted equally; after that the average is exponential. */
export function addSample(average: Average, sample: number): void {
  average.samples += 1;
  const weight = Math.max(NEWEST_WEIGHT, 1 / average.samples);
  average.value += weight * (sample - average.value);
}

/**
 * Fraction of its normal traffic that a group gets now: 0 while ejected, 1 once fully readmitted.
 */
export function trafficFraction(group: GroupState, now: MonoTime, opts: RoutingOptions): number {
  if (group.ejectedUntil === undefined) return 1;
  if (now < group.ejectedUntil) return 0;
  const ramp = (now - group.ejectedUntil) / opts.rampMs;
  return Math.min(1, RAMP_START + (1 - RAMP_START) * ramp);
}

/** Removes ejected groups; a group that is being readmitted is kept with its traffic fraction. */
export function eligibleGroups(
  groups: readonly GroupState[],
  now: MonoTime,
  opts: RoutingOptions,
  random: Random,
): readonly GroupState[] {
  if (groups.every((group) => group.ejectedUntil === undefined)) return groups;
  const kept = groups.filter((group) => {
    const fraction = trafficFraction(group, now, opts);
    return fraction === 1 || random.next() < fraction;
  });
  // A slow group is better than none.
  return kept.length > 0 ? kept : groups;
}

/** A latency by which outliers are detected. */
interface Signal {
  readonly factor: (opts: RoutingOptions) => number;
  readonly gapMs: (opts: RoutingOptions) => number;
  /** Measured average; the median is taken over these. `undefined` with too few samples. */
  measured(group: GroupState, opts: RoutingOptions): number | undefined;
  /** A wait still in progress; counts if it exceeds the average, even before any answer. */
  pending(group: GroupState, now: MonoTime): number;
}

const SIGNALS: readonly Signal[] = [
  {
    factor: (opts) => opts.firstTokenFactor,
    gapMs: (opts) => opts.firstTokenGapMs,
    measured: (group, opts) => averageOf(group.firstTokenMs, opts.firstTokenSamples),
    pending: oldestWait,
  },
  {
    factor: (opts) => opts.interTokenFactor,
    gapMs: (opts) => opts.interTokenGapMs,
    measured: (group, opts) => averageOf(group.interTokenMs, opts.interTokenSamples),
    pending: () => 0,
  },
];

function averageOf(average: Average, samples: number): number | undefined {
  return average.samples >= samples ? average.value : undefined;
}

function oldestWait(group: GroupState, now: MonoTime): number {
  const oldest = group.waiting.values().next();
  return oldest.done === true ? 0 : now - oldest.value;
}

function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** The value as a multiple of the median; 0 if it is no outlier. */
function outlierRatio(signal: Signal, value: number, median: number, opts: RoutingOptions): number {
  const isBeyondFactor = value > median * signal.factor(opts);
  const isOutlier = isBeyondFactor && value > median + signal.gapMs(opts);
  return isOutlier ? value / Math.max(median, 1) : 0;
}

/** Number of groups that are ejected now. */
export function countEjected(
  groups: Iterable<GroupState>,
  now: MonoTime,
  opts: RoutingOptions,
): number {
  let count = 0;
  for (const group of groups) if (trafficFraction(group, now, opts) === 0) count += 1;
  return count;
}

/**
 * Evaluates the groups of one model and ejects the worst outliers, up to the allowed share.
 * `alreadyEjected` counts the ejected groups of the model, including those not in `groups`.
 */
export function updateEjections(
  groups: readonly GroupState[],
  alreadyEjected: number,
  now: MonoTime,
  opts: RoutingOptions,
): void {
  for (const group of groups) endReadmission(group, now, opts);
  const worst = new Map<GroupState, number>();
  const active = groups.filter((group) => trafficFraction(group, now, opts) > 0);
  for (const signal of SIGNALS) {
    const measured = active.map((group) => signal.measured(group, opts));
    const median = medianOf(measured.filter((value) => value !== undefined));
    if (median === 0) continue;
    for (const [i, group] of active.entries()) {
      const value = Math.max(measured[i] ?? 0, signal.pending(group, now));
      const ratio = outlierRatio(signal, value, median, opts);
      if (ratio > 0) worst.set(group, Math.max(ratio, worst.get(group) ?? 0));
    }
  }
  updateSlowness(groups, opts);
  const allowance = Math.floor(groups.length * opts.maxEjectedShare) - alreadyEjected;
  const outliers = [...worst].toSorted((a, b) => b[1] - a[1]);
  for (const [group] of outliers.slice(0, Math.max(0, allowance))) eject(group, now, opts);
}

/** Updates the relative slowness of each group, which the policies use to scale its load. */
function updateSlowness(groups: readonly GroupState[], opts: RoutingOptions): void {
  const averages = groups.map((group) => averageOf(group.interTokenMs, opts.interTokenSamples));
  const median = medianOf(averages.filter((value) => value !== undefined));
  for (const [i, group] of groups.entries()) {
    const value = averages[i];
    if (value === undefined || median === 0) continue;
    const ratio = value / median;
    group.slowness = ratio > MIN_SLOWNESS ? ratio : 1;
  }
}

function eject(group: GroupState, now: MonoTime, opts: RoutingOptions): void {
  const lengthMs = Math.min(opts.maxEjectionMs, opts.ejectionMs * 2 ** group.ejections);
  group.ejectedUntil = later(now, lengthMs);
  group.ejections += 1;
  // Measured from scratch once it is readmitted.
  Object.assign(group.firstTokenMs, createAverage());
  Object.assign(group.interTokenMs, createAverage());
}

/** Ends the readmission of a group that completed it without another ejection. */
function endReadmission(group: GroupState, now: MonoTime, opts: RoutingOptions): void {
  if (group.ejectedUntil === undefined || now < later(group.ejectedUntil, opts.rampMs)) return;
  group.ejectedUntil = undefined;
  group.ejections = Math.max(0, group.ejections - 1);
}

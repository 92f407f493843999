/**
 * Estimates the demand for a model from samples of its load.
 *
 * Load pattern: waves of half the mean, with a period of some ten seconds. The mean over 30 s spans more than two
 * of them and varies by a tenth of the swing with their phase.
 */

import { later } from '../../ids';
import type { MonoTime } from '../../ids';
import type { ModelDemand } from './worth';

/** Load of a model at one time, over all daemons; requests unless noted. */
export interface LoadSample {
  readonly running: number;
  readonly waiting: number;
  /** Arrivals, requests per second. */
  readonly perSecond: number;
  /** Slots of its open groups. */
  readonly slots: number;
  readonly batchSize: number;
  /** Mean time that this daemon's requests held a slot, milliseconds, if any has ended. */
  readonly holdMs?: number;
  /** Lowest priority number among the waiting requests that this daemon knows of. */
  readonly urgency?: number;
}

/** Window over which demand is measured. */
const WINDOW_MS = 30_000;
/** Demand is unknown until samples span this long: nearly one wave. */
const MIN_SPAN_MS = 12_000;
/**
 * Shortages that together lasted for less than this in the window count as none: a change of servers
 * interrupts their groups for about four seconds, so that a short burst is over before that gains anything.
 */
const MIN_SHORTAGE_MS = 5_000;
/** Weight of a sample in the mean time that requests hold their slots. */
const HOLD_WEIGHT = 0.05;
/** Share of slots taken above which the number of running requests no longer shows the load. */
const ROOM_SHARE = 0.9;
/**
 * Load that arrivals may show, as a factor on the most slots within the window. Refused callers who return
 * are counted at each arrival, so that no more than the peak of a wave of 55% is assumed.
 */
const MAX_ARRIVALS_FACTOR = 1.6;

/** A sample in full batches. */
interface Measured {
  readonly at: MonoTime;
  readonly load: number;
  readonly unserved: number;
  readonly slots: number;
  readonly urgency?: number;
}

/** Recent samples of a model, the oldest first. */
export interface DemandHistory {
  readonly samples: readonly Measured[];
  /** Mean time that a request holds a slot, milliseconds. */
  readonly holdMs?: number;
}

/**
 * Mean time that requests of all daemons hold a slot, by Little's law; only while there are free slots. The
 * daemon's own mean is the start value: it rests on few requests.
 */
function updateHold(before: number | undefined, sample: LoadSample): number | undefined {
  const { running, waiting, perSecond, slots, holdMs } = sample;
  const mean = before ?? holdMs;
  if (perSecond <= 0 || running === 0 || waiting + running > ROOM_SHARE * slots) return mean;
  const measured = (running / perSecond) * 1_000;
  return mean === undefined ? measured : mean + HOLD_WEIGHT * (measured - mean);
}

/** The history with one more sample. */
export function addSample(
  history: DemandHistory | undefined,
  sample: LoadSample,
  now: MonoTime,
): DemandHistory {
  const holdMs = updateHold(history?.holdMs, sample);
  const { running, waiting, perSecond, slots, batchSize, urgency } = sample;
  const recent = (history?.samples ?? []).filter(({ at }) => now < later(at, WINDOW_MS));
  const maxSlots = Math.max(slots, ...recent.map((each) => each.slots));
  const byArrivals = holdMs === undefined ? 0 : (perSecond * holdMs) / 1_000;
  const offered = Math.max(running + waiting, Math.min(byArrivals, MAX_ARRIVALS_FACTOR * maxSlots));
  const measured: Measured = {
    at: now,
    load: offered / batchSize,
    unserved: Math.max(0, offered - slots) / batchSize,
    slots,
    ...(urgency !== undefined && { urgency }),
  };
  return { samples: [...recent, measured], ...(holdMs !== undefined && { holdMs }) };
}

/** The demand that the samples show; undefined while they span too short a time. */
export function estimateDemand({ samples }: DemandHistory): ModelDemand | undefined {
  const [first, last] = [samples[0], samples.at(-1)];
  if (!first || !last || last.at - first.at < MIN_SPAN_MS) return undefined;
  const mean = (of: (sample: Measured) => number): number =>
    samples.reduce((sum, sample) => sum + of(sample), 0) / samples.length;
  const load = mean((sample) => sample.load);
  const variance = mean((sample) => (sample.load - load) ** 2);
  const urgencies = samples.flatMap(({ urgency }) => urgency ?? []);
  const shortageMs = (last.at - first.at) * mean(({ unserved }) => Number(unserved > 0));
  return {
    load,
    peakLoad: load + Math.sqrt(2 * variance),
    unserved: shortageMs < MIN_SHORTAGE_MS ? 0 : mean((sample) => sample.unserved),
    ...(urgencies.length > 0 && { urgency: Math.min(...urgencies) }),
  };
}

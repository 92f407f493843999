/** Callers of each model of a simulated fleet, and the demand that the group planner measures of them. */

import { addSample, estimateDemand } from '../../src/core/gateway/forming/demand';
import type { DemandHistory } from '../../src/core/gateway/forming/demand';
import type { EngineSpec } from '../../src/core/gateway/types';
import type { ModelId, MonoTime } from '../../src/core/ids';
import type { EngineFleet } from '../../stand-ins/users-platform/engines';

const SAMPLE_MS = 500;
const HOLD_MS = 2_000;
/** Refused requests wait this long before they are refused. */
const WAIT_MS = 1_300;
/** Weight of a sample in the mean over about five seconds. */
const SMOOTHING = 0.1;

/** Load of a model by time in seconds, as a factor on the groups that it has at first. */
export type LoadCurve = (second: number) => number;

/** A load that swings by `swing` of its mean with a period of 13 s. */
export function wave(mean: number, swing = 0.55): LoadCurve {
  return (second) => mean * (1 + swing * Math.sin((2 * Math.PI * second) / 13));
}

export function createCallers(
  fleet: EngineFleet,
  { batchSize, models }: EngineSpec,
  curves: ReadonlyMap<ModelId, LoadCurve>,
) {
  const histories = new Map<ModelId, DemandHistory>();
  const offeredLoad = new Map<ModelId, number>();
  const offered = new Map<ModelId, number>();
  const served = new Map<ModelId, number>();
  const initial = new Map<ModelId, number>();
  let sampledAt = -Infinity;

  const add = (sums: Map<ModelId, number>, model: ModelId, by: number): void => {
    sums.set(model, (sums.get(model) ?? 0) + by);
  };

  const sample = (now: MonoTime): void => {
    for (const { name } of models) {
      const groups = fleet.serving(name);
      if (!initial.has(name)) initial.set(name, groups);
      const load = (curves.get(name)?.(now / 1_000) ?? 0) * (initial.get(name) ?? 0);
      const running = Math.min(load, groups) * batchSize;
      const waiting = (Math.max(0, load - groups) * batchSize * WAIT_MS) / HOLD_MS;
      const perSecond = (load * batchSize * 1_000) / HOLD_MS;
      const slots = groups * batchSize;
      const facts = { running, waiting, perSecond, slots, batchSize, holdMs: HOLD_MS };
      histories.set(name, addSample(histories.get(name), facts, now));
      const work = (running + waiting) / batchSize;
      const before = offeredLoad.get(name) ?? work;
      offeredLoad.set(name, before + SMOOTHING * (work - before));
      add(offered, name, load);
      add(served, name, Math.min(load, groups));
    }
  };

  return {
    measure: (now: MonoTime) => {
      if (now >= sampledAt + SAMPLE_MS) {
        sampledAt = now;
        sample(now);
      }
      const demand = new Map(
        [...histories].flatMap(([name, history]) => {
          const estimate = estimateDemand(history);
          return estimate ? [[name, estimate] as const] : [];
        }),
      );
      return { offeredLoad, demand };
    },
    /** Begins to count anew. */
    reset: (): void => {
      offered.clear();
      served.clear();
    },
    /** Share of the model's load that was served. */
    share: (model: ModelId): number => (served.get(model) ?? 0) / (offered.get(model) ?? 1),
  };
}

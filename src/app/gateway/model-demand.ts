/** Demand for each model, measured by the leader from the loads of all daemons. */

import { addSample, estimateDemand } from '../../core/gateway/forming/demand';
import type { DemandHistory, LoadSample } from '../../core/gateway/forming/demand';
import type { ModelDemand } from '../../core/gateway/forming/worth';
import type { ModelId, MonoTime } from '../../core/ids';
import type { Clock } from '../../ports/runtime';

export interface ModelDemands {
  /** To be called at a regular interval while this daemon leads. */
  sample(loads: ReadonlyMap<ModelId, LoadSample>): void;
  /** Empty until every model was sampled for long enough. */
  demand(): ReadonlyMap<ModelId, ModelDemand>;
  /** Time since the last sample, milliseconds. */
  ageMs(): number;
}

export function createModelDemand(clock: Pick<Clock, 'now'>): ModelDemands {
  let histories = new Map<ModelId, DemandHistory>();
  let demand = new Map<ModelId, ModelDemand>();
  let sampledAt: MonoTime = clock.now();

  return {
    sample: (loads) => {
      const now = clock.now();
      sampledAt = now;
      histories = new Map(
        [...loads].map(([model, load]) => [model, addSample(histories.get(model), load, now)]),
      );
      demand = new Map(
        [...histories].flatMap(([model, history]) => {
          const estimate = estimateDemand(history);
          return estimate ? [[model, estimate] as const] : [];
        }),
      );
    },
    demand: () => demand,
    ageMs: () => clock.now() - sampledAt,
  };
}

/** Adds the most urgent priority that waits for each model at this daemon. */
export function withUrgency(
  loads: ReadonlyMap<ModelId, LoadSample>,
  urgencyOf: (model: ModelId) => number | undefined,
): ReadonlyMap<ModelId, LoadSample> {
  return new Map(
    [...loads].map(([model, load]) => {
      const urgency = urgencyOf(model);
      return [model, urgency === undefined ? load : { ...load, urgency }];
    }),
  );
}

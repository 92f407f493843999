/** Samples the load of each model over all daemons, for the demand that the group planner measures. */

import type { OfferedLoad } from '../../core/gateway/capacity';
import type { LoadSample } from '../../core/gateway/forming/demand';
import type { ServiceSpec } from '../../core/gateway/types';
import type { InstanceId, ModelId, ServiceId } from '../../core/ids';

/** Where the figures of a sample come from. */
export interface LoadFigures {
  /** Heads of the model's groups that take requests. */
  readonly headsOf: (service: ServiceId, model: ModelId) => readonly InstanceId[];
  /** Requests of all daemons in a group. */
  readonly running: (head: InstanceId) => number;
  /** Waiting requests and arrivals, of this daemon and of the others. */
  readonly waiting: (model: ModelId) => readonly OfferedLoad[];
  readonly holdMs: (model: ModelId) => number | undefined;
}

export function sampleLoads(
  services: readonly ServiceSpec[],
  { headsOf, running, waiting, holdMs: holdMsOf }: LoadFigures,
): ReadonlyMap<ModelId, LoadSample> {
  const samples = new Map<ModelId, LoadSample>();
  for (const { name: service, engine } of services) {
    if (!engine) continue;
    const { batchSize } = engine;
    for (const { name } of engine.models) {
      const heads = headsOf(service, name);
      const offered = waiting(name);
      const holdMs = holdMsOf(name);
      samples.set(name, {
        running: heads.reduce((sum, head) => sum + running(head), 0),
        waiting: offered.reduce((sum, each) => sum + each.waiting, 0),
        perSecond: offered.reduce((sum, each) => sum + each.perSecond, 0),
        slots: heads.length * batchSize,
        batchSize,
        ...(holdMs !== undefined && { holdMs }),
      });
    }
  }
  return samples;
}

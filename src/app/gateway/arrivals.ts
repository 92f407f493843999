/** Recent arrival rates of requests for each model and priority at this daemon. */

import type { ModelId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

export interface Arrivals {
  note(model: ModelId, priority?: number): void;
  /** Requests a second, of one priority or of all. */
  rate(model: ModelId, priority?: number): number;
  /** Requests a second by model and priority. */
  rates(): readonly (readonly [model: ModelId, perSecond: number, priority: number])[];
}

interface DecayingSum {
  readonly sum: number;
  readonly at: MonoTime;
}

/** Time constant of the exponential decay, milliseconds: as long as a wave of callers. */
const DECAY_MS = 1_000;
/** Models with a lower rate are left out, requests a second. */
const MIN_RATE = 0.05;

export function createArrivals({ clock }: GatewayContext): Arrivals {
  const sums = new Map<ModelId, Map<number, DecayingSum>>();

  const decayedSum = ({ sum, at }: DecayingSum, now: MonoTime): number =>
    sum * Math.exp((at - now) / DECAY_MS);

  const rate = (model: ModelId, priority?: number): number => {
    const now = clock.now();
    const entries = [...(sums.get(model) ?? [])].filter(
      ([other]) => priority === undefined || other === priority,
    );
    const sum = entries.reduce((total, [, entry]) => total + decayedSum(entry, now), 0);
    return (sum * 1_000) / DECAY_MS;
  };

  return {
    note: (model, priority = 0) => {
      const now = clock.now();
      const classes = sums.get(model) ?? new Map<number, DecayingSum>();
      sums.set(model, classes);
      const entry = classes.get(priority);
      classes.set(priority, { sum: (entry ? decayedSum(entry, now) : 0) + 1, at: now });
    },
    rate,
    rates: () =>
      [...sums].flatMap(([model, classes]) =>
        [...classes.keys()].flatMap((priority) => {
          const current = rate(model, priority);
          return current < MIN_RATE ? [] : [[model, Number(current.toFixed(1)), priority] as const];
        }),
      ),
  };
}

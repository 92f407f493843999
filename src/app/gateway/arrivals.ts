/** Recent arrival rates of requests for each model at this daemon. */

import type { ModelId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

export interface Arrivals {
  note(model: ModelId): void;
  /** Requests a second. */
  rate(model: ModelId): number;
  rates(): readonly (readonly [ModelId, number])[];
}

interface DecayingSum {
  readonly sum: number;
  readonly at: MonoTime;
}

/** Time constant of the exponential decay, milliseconds: as long as a wave of callers. */
const DECAY_MS = 1_000;
/** Models with a lower rate are left out, requests a second. */
const MIN_RATE = 0.05;
/** Callers name the models: more, or longer names, are not counted. */
const MAX_MODELS = 64;
const MAX_NAME_LENGTH = 200;

export function createArrivals({ clock }: GatewayContext): Arrivals {
  const sums = new Map<ModelId, DecayingSum>();

  const decayedSum = ({ sum, at }: DecayingSum, now: MonoTime): number =>
    sum * Math.exp((at - now) / DECAY_MS);

  const rate = (model: ModelId): number => {
    const entry = sums.get(model);
    return entry ? (decayedSum(entry, clock.now()) * 1_000) / DECAY_MS : 0;
  };

  /** Forgets models that are hardly requested any more. */
  const prune = (): void => {
    for (const model of sums.keys()) if (rate(model) < MIN_RATE) sums.delete(model);
  };

  return {
    note: (model) => {
      const now = clock.now();
      if (!sums.has(model)) {
        if (sums.size >= MAX_MODELS) prune();
        if (sums.size >= MAX_MODELS || model.length > MAX_NAME_LENGTH) return;
      }
      const entry = sums.get(model);
      sums.set(model, { sum: (entry ? decayedSum(entry, now) : 0) + 1, at: now });
    },
    rate,
    rates: () =>
      [...sums.keys()].flatMap((model) => {
        const current = rate(model);
        return current < MIN_RATE ? [] : [[model, Number(current.toFixed(1))] as const];
      }),
  };
}

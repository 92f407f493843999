/** How many requests for each model came to this daemon of late. */

import type { ModelId, MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

export interface Arrivals {
  note(model: ModelId): void;
  /** Requests a second. */
  rate(model: ModelId): number;
  rates(): readonly (readonly [ModelId, number])[];
}

interface Decaying {
  readonly sum: number;
  readonly at: MonoTime;
}

/** Weight of an arrival falls by e in this time: as long as a wave of callers, milliseconds. */
const MEMORY_MS = 1_000;
/** A model that is asked for less often than this is left out, requests a second. */
const LEAST_RATE = 0.05;

export function createArrivals({ clock }: GatewayContext): Arrivals {
  const seen = new Map<ModelId, Decaying>();

  const sumNow = ({ sum, at }: Decaying, now: MonoTime): number =>
    sum * Math.exp((at - now) / MEMORY_MS);

  const rate = (model: ModelId): number => {
    const known = seen.get(model);
    return known ? (sumNow(known, clock.now()) * 1_000) / MEMORY_MS : 0;
  };

  return {
    note: (model) => {
      const now = clock.now();
      const known = seen.get(model);
      seen.set(model, { sum: (known ? sumNow(known, now) : 0) + 1, at: now });
    },
    rate,
    rates: () =>
      [...seen.keys()].flatMap((model) => {
        const found = rate(model);
        return found < LEAST_RATE ? [] : [[model, Number(found.toFixed(1))] as const];
      }),
  };
}

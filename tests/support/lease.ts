/** Drives the reducer of a lease in tests. */

import type { MonoTime } from '../../src/core/ids';
import { reduceLease } from '../../src/core/lease/lease';
import type { LeaseEffect, LeaseEvent, LeaseState } from '../../src/core/lease/types';

export interface Driven {
  readonly state: LeaseState;
  readonly effects: readonly LeaseEffect[];
}

/** Takes in events at one instant, with all their effects. */
export function drive(state: LeaseState, now: number, ...events: readonly LeaseEvent[]): Driven {
  const effects: LeaseEffect[] = [];
  let after = state;
  for (const event of events) {
    const step = reduceLease(after, event, { now: now as MonoTime });
    after = step.state;
    effects.push(...step.effects);
  }
  return { state: after, effects };
}

/** Drives the lease reducer in tests. */

import type { MonoTime } from '../../src/core/ids';
import { reduceLease } from '../../src/core/lease/lease';
import type { LeaseEffect, LeaseEvent, LeaseState } from '../../src/core/lease/types';

/** The state after the last event, and the effects of all events. */
export interface Driven {
  readonly state: LeaseState;
  readonly effects: readonly LeaseEffect[];
}

/** Applies events at one instant, `now`, and collects their effects. */
export function drive(state: LeaseState, now: number, ...events: readonly LeaseEvent[]): Driven {
  const effects: LeaseEffect[] = [];
  let current = state;
  for (const event of events) {
    const step = reduceLease(current, event, { now: now as MonoTime });
    current = step.state;
    effects.push(...step.effects);
  }
  return { state: current, effects };
}

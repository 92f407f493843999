/** Recent times of the requests of each route: until the first event, and holding a slot. */

import { noteFirstEvent, slackMs } from '../../core/gateway/first-event';
import type { FirstEventStats } from '../../core/gateway/first-event';
import type { Route } from '../../core/gateway/types';
import { smoothHoldMs } from '../../core/gateway/waiting-order';

export interface RouteTimes {
  /** Notes the time from the arrival of a request at a group to its first event, milliseconds. */
  noteFirstEvent(route: Route, ms: number): void;
  /** Notes how long a served request held its slot, milliseconds. */
  noteHold(route: Route, ms: number): void;
  /** Mean time that requests hold a slot; 0 before any was served. */
  holdMs(route: Route): number;
  /** Time that a request may wait for a slot and still be on time, milliseconds. */
  slackMs(route: Route): number;
}

export function createRouteTimes(): RouteTimes {
  const firstEvents = new Map<string, FirstEventStats>();
  const holds = new Map<string, number>();
  return {
    noteFirstEvent: ({ name }, ms) => {
      firstEvents.set(name, noteFirstEvent(firstEvents.get(name), ms));
    },
    noteHold: ({ name }, ms) => {
      holds.set(name, smoothHoldMs(holds.get(name), ms));
    },
    holdMs: ({ name }) => holds.get(name) ?? 0,
    slackMs: ({ name, targetMs }) => slackMs(firstEvents.get(name), targetMs),
  };
}

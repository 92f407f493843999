/** Places and waiting requests by second, as the leader logged them. */

import { numberOf, textOf } from './events';
import type { Event } from './events';
import type { WorkSecond } from './types';

export function listWork(events: readonly Event[]): WorkSecond[] {
  return events
    .filter(({ message }) => message === 'work of a model')
    .map((event) => ({
      at: event.at,
      model: textOf(event, 'model'),
      groups: numberOf(event, 'groups') ?? 0,
      places: numberOf(event, 'places') ?? 0,
      running: numberOf(event, 'running') ?? 0,
      queued: numberOf(event, 'queued') ?? 0,
      free: numberOf(event, 'free') ?? 0,
      waiting: numberOf(event, 'waiting') ?? 0,
    }));
}

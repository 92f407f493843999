/** Slots and waiting requests of each model over time, from the leader's log. */

import { numberField, textField } from './events';
import type { LogEvent } from './events';
import type { WorkSample } from './types';

/** One sample for each `work of a model` line. */
export function listWork(events: readonly LogEvent[]): WorkSample[] {
  return events
    .filter(({ message }) => message === 'work of a model')
    .map((event) => ({
      at: event.at,
      model: textField(event, 'model'),
      groups: numberField(event, 'groups') ?? 0,
      places: numberField(event, 'places') ?? 0,
      running: numberField(event, 'running') ?? 0,
      queued: numberField(event, 'queued') ?? 0,
      free: numberField(event, 'free') ?? 0,
      waiting: numberField(event, 'waiting') ?? 0,
    }));
}

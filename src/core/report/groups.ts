/** Measures how long a model had no group, and which step of forming the next one took the time. */

import { quantile } from '../explain/quantile';
import { groupBy, textField } from './events';
import type { LogEvent } from './events';
import type { ModelSummary } from './types';

/** Lifetime of one group; instants are `undefined` if they are not in the logs. */
interface GroupLifetime {
  readonly model: string;
  readonly formingAt: number | undefined;
  readonly servesAt: number | undefined;
  readonly endsAt: number | undefined;
}

function firstAt(events: readonly LogEvent[], message: string): number | undefined {
  return events.find((event) => event.message === message)?.at;
}

/** A group starts and stops serving when the first daemon logs it. */
function lifetimesOf(events: readonly LogEvent[]): GroupLifetime[] {
  const byGroup = groupBy(
    events.filter((event) => textField(event, 'group') !== ''),
    (event) => textField(event, 'group'),
  );
  return [...byGroup.values()].map((own) => ({
    model: own.map((event) => textField(event, 'model')).find((model) => model !== '') ?? '',
    formingAt: firstAt(own, 'forming group'),
    servesAt: firstAt(own, 'group serves'),
    endsAt: firstAt(own, 'group serves no more') ?? firstAt(own, 'ending group'),
  }));
}

/** Milliseconds without a serving group, from the first group's start to the report's end. */
function unservedMs(lifetimes: readonly GroupLifetime[], lastsMs: number): number {
  const spans = lifetimes
    .flatMap(({ servesAt, endsAt = lastsMs }) =>
      servesAt === undefined ? [] : [[servesAt, endsAt] as const],
    )
    .sort(([a], [b]) => a - b);
  let unserved = 0;
  let coveredTo = spans[0]?.[0] ?? lastsMs;
  for (const [from, to] of spans) {
    unserved += Math.max(0, from - coveredTo);
    coveredTo = Math.max(coveredTo, to);
  }
  return unserved + Math.max(0, lastsMs - coveredTo);
}

/** For each lost group, the time until the next group of the model was ordered, milliseconds. */
function undecidedMs(lifetimes: readonly GroupLifetime[]): number[] {
  const orders = lifetimes.flatMap(({ formingAt }) => formingAt ?? []).sort((a, b) => a - b);
  return lifetimes.flatMap(({ endsAt }) => {
    if (endsAt === undefined) return [];
    const next = orders.find((at) => at >= endsAt);
    return next === undefined ? [] : [next - endsAt];
  });
}

/** One summary for each model that had a serving group. */
export function summarizeModels(events: readonly LogEvent[], lastsMs: number): ModelSummary[] {
  const byModel = groupBy(
    lifetimesOf(events).filter(({ model, servesAt }) => model !== '' && servesAt !== undefined),
    ({ model }) => model,
  );
  return [...byModel].map(([model, lifetimes]) => {
    const forming = lifetimes.flatMap(({ formingAt, servesAt }) =>
      formingAt === undefined || servesAt === undefined ? [] : [servesAt - formingAt],
    );
    return {
      model,
      formed: forming.length,
      lost: lifetimes.filter(({ endsAt }) => endsAt !== undefined).length,
      medianFormingMs: quantile(forming, 0.5),
      longestFormingMs: Math.max(0, ...forming),
      medianUndecidedMs: quantile(undecidedMs(lifetimes), 0.5),
      unservedMs: unservedMs(lifetimes, lastsMs),
    };
  });
}

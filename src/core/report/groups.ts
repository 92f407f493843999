/** How long groups were missing, and which step took that time. */

import { quantile } from '../explain/quantile';
import { groupBy, textField } from './events';
import type { LogEvent } from './events';
import type { ModelSummary } from './types';

/** One group as the daemons saw it; instants are undefined where the logs do not hold them. */
interface GroupLife {
  readonly model: string;
  readonly formingAt: number | undefined;
  readonly servesAt: number | undefined;
  readonly endsAt: number | undefined;
}

function firstAt(events: readonly LogEvent[], message: string): number | undefined {
  return events.find((event) => event.message === message)?.at;
}

/** Groups serve from the first daemon that sees it, and no more from the first that sees that. */
function livesOf(events: readonly LogEvent[]): GroupLife[] {
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

/** Time between the first group and the end in which none served. */
function unservedMs(lives: readonly GroupLife[], lastsMs: number): number {
  const spans = lives
    .flatMap(({ servesAt, endsAt = lastsMs }) =>
      servesAt === undefined ? [] : [[servesAt, endsAt] as const],
    )
    .sort(([a], [b]) => a - b);
  let missing = 0;
  let coveredTo = spans[0]?.[0] ?? lastsMs;
  for (const [from, to] of spans) {
    missing += Math.max(0, from - coveredTo);
    coveredTo = Math.max(coveredTo, to);
  }
  return missing + Math.max(0, lastsMs - coveredTo);
}

/** For each loss, the time until the next group of the model was ordered. */
function undecided(lives: readonly GroupLife[]): number[] {
  const orders = lives.flatMap(({ formingAt }) => formingAt ?? []).sort((a, b) => a - b);
  return lives.flatMap(({ endsAt }) => {
    if (endsAt === undefined) return [];
    const next = orders.find((at) => at >= endsAt);
    return next === undefined ? [] : [next - endsAt];
  });
}

export function summarizeModels(events: readonly LogEvent[], lastsMs: number): ModelSummary[] {
  const byModel = groupBy(
    livesOf(events).filter(({ model, servesAt }) => model !== '' && servesAt !== undefined),
    ({ model }) => model,
  );
  return [...byModel].map(([model, lives]) => {
    const forming = lives.flatMap(({ formingAt, servesAt }) =>
      formingAt === undefined || servesAt === undefined ? [] : [servesAt - formingAt],
    );
    return {
      model,
      formed: forming.length,
      lost: lives.filter(({ endsAt }) => endsAt !== undefined).length,
      medianFormingMs: quantile(forming, 0.5),
      longestFormingMs: Math.max(0, ...forming),
      medianUndecidedMs: quantile(undecided(lives), 0.5),
      unservedMs: unservedMs(lives, lastsMs),
    };
  });
}

/** What became of requests, by kind, reason and second. */

import { quantile } from '../explain/quantile';
import { groupBy, numberOf, textOf } from './events';
import type { Event } from './events';
import type { ReasonSummary, RequestSummary, Second } from './types';

const MS_PER_S = 1_000;

/** Ends of requests that had a route, and refusals of those that had none. */
const ENDS: ReadonlySet<string> = new Set(['request ended', 'request refused']);

export function isEnd({ message }: Event): boolean {
  return ENDS.has(message);
}

function outcomeOf(end: Event): string {
  if (end.message === 'request refused') {
    return textOf(end, 'status') === '503' ? 'refused' : 'denied';
  }
  return textOf(end, 'outcome');
}

function nameOf(end: Event): string {
  return textOf(end, 'model') || textOf(end, 'route') || 'no route';
}

/** Served streams whose first event came after their objective. */
function isLate(end: Event): boolean {
  const [first, target] = [numberOf(end, 'firstEventMs'), numberOf(end, 'targetMs')];
  return first !== undefined && target !== undefined && first > target;
}

function waitedMs(end: Event): number {
  return numberOf(end, 'waitedMs') ?? 0;
}

export function summarizeRequests(ends: readonly Event[]): RequestSummary[] {
  return [...groupBy(ends, nameOf)]
    .map(([name, own]) => {
      const served = own.filter((end) => outcomeOf(end) === 'served');
      const times = served.flatMap((end) => numberOf(end, 'ms') ?? []);
      const late = served.filter(isLate);
      const firstMs = late.map((end) => (numberOf(end, 'firstEventMs') ?? 0) - waitedMs(end));
      return {
        name,
        ended: own.length,
        served: served.length,
        medianMs: quantile(times, 0.5),
        p99Ms: quantile(times, 0.99),
        late: late.length,
        medianLateWaitMs: quantile(late.map(waitedMs), 0.5),
        medianLateFirstMs: quantile(firstMs, 0.5),
      };
    })
    .sort((a, b) => b.ended - a.ended);
}

/** The commonest first. */
export function summarizeReasons(ends: readonly Event[]): ReasonSummary[] {
  const lost = ends.filter((end) => outcomeOf(end) !== 'served');
  return [...groupBy(lost, (end) => `${outcomeOf(end)}\0${textOf(end, 'reason')}`)]
    .map(([key, own]) => {
      const [outcome = '', reason = ''] = key.split('\0');
      return {
        outcome,
        reason,
        count: own.length,
        firstAt: own[0]?.at ?? 0,
        lastAt: own.at(-1)?.at ?? 0,
      };
    })
    .sort((a, b) => b.count - a.count);
}

export function countSeconds(ends: readonly Event[]): Second[] {
  const bySecond = groupBy(ends, ({ at }) => String(Math.floor(at / MS_PER_S)));
  return [...bySecond]
    .map(([second, own]) => ({
      at: Number(second) * MS_PER_S,
      outcomes: Object.fromEntries(
        [...groupBy(own, outcomeOf)].map(([outcome, { length }]) => [outcome, length]),
      ),
    }))
    .sort((a, b) => a.at - b.at);
}

/** Counts the outcomes of requests by name, reason and second. */

import { quantile } from '../explain/quantile';
import { groupBy, numberField, textField } from './events';
import type { LogEvent } from './events';
import type { ReasonSummary, RequestSummary, OutcomeSecond } from './types';

const MS_PER_S = 1_000;

/** `request ended` is logged for requests with a route, `request refused` for those without one. */
const END_MESSAGES: ReadonlySet<string> = new Set(['request ended', 'request refused']);

/** Whether the event is the end of a request. */
export function isRequestEnd({ message }: LogEvent): boolean {
  return END_MESSAGES.has(message);
}

function outcomeOf(end: LogEvent): string {
  if (end.message === 'request refused') {
    return textField(end, 'status') === '503' ? 'refused' : 'denied';
  }
  return textField(end, 'outcome');
}

function nameOf(end: LogEvent): string {
  return textField(end, 'model') || textField(end, 'route') || 'no route';
}

/** Whether a stream's first event came after its latency objective. */
function isLate(end: LogEvent): boolean {
  const [first, target] = [numberField(end, 'firstEventMs'), numberField(end, 'targetMs')];
  return first !== undefined && target !== undefined && first > target;
}

function waitedMs(end: LogEvent): number {
  return numberField(end, 'waitedMs') ?? 0;
}

/** One summary for each model or route, the most frequent first. */
export function summarizeRequests(ends: readonly LogEvent[]): RequestSummary[] {
  return [...groupBy(ends, nameOf)]
    .map(([name, own]) => {
      const served = own.filter((end) => outcomeOf(end) === 'served');
      const times = served.flatMap((end) => numberField(end, 'ms') ?? []);
      const late = served.filter(isLate);
      const firstMs = late.map((end) => (numberField(end, 'firstEventMs') ?? 0) - waitedMs(end));
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

/** Requests that were not served by outcome and reason, the most frequent first. */
export function summarizeReasons(ends: readonly LogEvent[]): ReasonSummary[] {
  const failed = ends.filter((end) => outcomeOf(end) !== 'served');
  return [...groupBy(failed, (end) => `${outcomeOf(end)}\0${textField(end, 'reason')}`)]
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

/** Outcomes in each second that has any. */
export function countBySecond(ends: readonly LogEvent[]): OutcomeSecond[] {
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

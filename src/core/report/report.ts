/**
 * Summarises the logs of all daemons: which requests were served, which were not and why, how long
 * models had no group, when the store was unavailable, and how fast configurations came into force.
 */

import type { LogLine } from '../explain/log-line';
import { createTimeline, groupBy, numberField, textField } from './events';
import type { LogEvent } from './events';
import { summarizeModels } from './groups';
import { countBySecond, isRequestEnd, summarizeReasons, summarizeRequests } from './requests';
import type { Outage, Report, StoreReturn, VersionSummary } from './types';
import { listWork } from './work';

function findOutages(events: readonly LogEvent[]): Outage[] {
  const open = new Map<string, LogEvent>();
  const outages: Outage[] = [];
  const toOutage = (lost: LogEvent, ms: number | undefined): Outage => ({
    daemon: lost.daemon,
    collection: textField(lost, 'collection'),
    at: lost.at,
    ms,
  });
  for (const event of events) {
    const key = `${event.daemon} ${textField(event, 'collection')}`;
    const lost = open.get(key);
    if (event.message === 'store lost') {
      if (lost) outages.push(toOutage(lost, undefined));
      open.set(key, event);
    } else if (event.message === 'store regained' && lost) {
      outages.push(toOutage(lost, numberField(event, 'awayMs') ?? event.at - lost.at));
      open.delete(key);
    }
  }
  return [...outages, ...[...open.values()].map((lost) => toOutage(lost, undefined))].sort(
    (a, b) => a.at - b.at,
  );
}

/** Eras of the store after a return; the first era that a process sees (`before` 0) is not one. */
function summarizeReturns(events: readonly LogEvent[]): StoreReturn[] {
  const returns = events.filter(
    (event) => event.message === 'era of the store' && numberField(event, 'before') !== 0,
  );
  return [...groupBy(returns, (event) => textField(event, 'era'))].map(([era, own]) => {
    const times = own.map(({ at }) => at);
    const at = Math.min(...times);
    return { era: Number(era), at, spreadMs: Math.max(...times) - at, daemons: own.length };
  });
}

function summarizeVersions(events: readonly LogEvent[]): VersionSummary[] {
  const inForce = events.filter(({ message }) => message === 'configuration in force');
  return [...groupBy(inForce, (event) => textField(event, 'version'))].map(([version, own]) => {
    // Only each daemon's first line: a restarted process logs versions that were in force before.
    const first = new Map<string, number>();
    for (const { daemon, at } of own) if (!first.has(daemon)) first.set(daemon, at);
    const times = [...first.values()];
    const at = Math.min(...times);
    return {
      version: Number(version),
      at,
      spreadMs: Math.max(...times) - at,
      daemons: times.length,
    };
  });
}

/** Builds the report of these lines, in any order. */
export function createReport(lines: readonly LogLine[]): Report {
  const { startedAt, events } = createTimeline(lines);
  const lastsMs = events.at(-1)?.at ?? 0;
  const ends = events.filter(isRequestEnd);
  return {
    startedAt,
    lastsMs,
    daemons: [...new Set(events.map(({ daemon }) => daemon))].sort(),
    requests: summarizeRequests(ends),
    reasons: summarizeReasons(ends),
    seconds: countBySecond(ends),
    models: summarizeModels(events, lastsMs),
    work: listWork(events),
    outages: findOutages(events),
    returns: summarizeReturns(events),
    versions: summarizeVersions(events),
    leaders: events
      .filter(({ message }) => message === 'lease taken')
      .map(({ daemon, at }) => ({ daemon, at })),
  };
}

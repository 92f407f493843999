/** Renders a report as text for a terminal. */

import type { Report, OutcomeSecond, WorkSample } from '../core/report/types';

const MS_PER_S = 1_000;
const MAX_ROWS = 10;

function seconds(ms: number): string {
  return `${(ms / MS_PER_S).toFixed(1)} s`;
}

function table(title: string, rows: readonly (readonly string[])[]): string {
  if (rows.length < 2) return `${title}\n  none`;
  const widths = (rows[0] ?? []).map((_, i) =>
    Math.max(...rows.map((row) => (row[i] ?? '').length)),
  );
  const lines = rows.map((row) =>
    `  ${row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ')}`.trimEnd(),
  );
  return [title, ...lines].join('\n');
}

/** Fraction of the requests ended in this second that were not served. */
function unservedRatio({ outcomes }: OutcomeSecond): number {
  const all = Object.values(outcomes).reduce((sum, count) => sum + count, 0);
  return 1 - (outcomes.served ?? 0) / all;
}

/** The seconds with the highest ratio of requests not served, worst first. */
function worstSeconds({ seconds: all }: Report): OutcomeSecond[] {
  return all
    .filter((second) => unservedRatio(second) > 0)
    .sort((a, b) => unservedRatio(b) - unservedRatio(a))
    .slice(0, MAX_ROWS);
}

/** The samples with most requests queued, in daemons or engines, longest queue first. */
function longestQueues({ work }: Report): readonly WorkSample[] {
  const queueLength = ({ queued, waiting }: WorkSample): number => queued + waiting;
  return work
    .filter((second) => queueLength(second) > 0)
    .sort((a, b) => queueLength(b) - queueLength(a))
    .slice(0, MAX_ROWS);
}

/** A headline and one table per section. */
export function renderText(report: Report): string {
  const { startedAt, lastsMs, daemons, leaders } = report;
  const head = `${daemons.length} daemons, ${seconds(lastsMs)} from ${new Date(startedAt).toISOString()}`;
  return [
    head,
    table('Requests', [
      ['kind', 'ended', 'served', 'median', 'p99', 'late', 'waited', 'until first event'],
      ...report.requests.map((kind) => [
        kind.name,
        String(kind.ended),
        String(kind.served),
        `${kind.medianMs} ms`,
        `${kind.p99Ms} ms`,
        String(kind.late),
        `${kind.medianLateWaitMs} ms`,
        `${kind.medianLateFirstMs} ms`,
      ]),
    ]),
    table('Not served', [
      ['outcome', 'count', 'from', 'to', 'reason'],
      ...report.reasons
        .slice(0, MAX_ROWS)
        .map(({ outcome, reason, count, firstAt, lastAt }) => [
          outcome,
          String(count),
          seconds(firstAt),
          seconds(lastAt),
          reason,
        ]),
    ]),
    table('Worst seconds', [
      ['at', 'not served', 'outcomes'],
      ...worstSeconds(report).map((second) => [
        seconds(second.at),
        `${Math.round(100 * unservedRatio(second))}%`,
        Object.entries(second.outcomes)
          .map(([outcome, count]) => `${outcome} ${count}`)
          .join(', '),
      ]),
    ]),
    table('Groups', [
      ['model', 'formed', 'lost', 'until decided', 'forming', 'longest', 'without any'],
      ...report.models.map((model) => [
        model.model,
        String(model.formed),
        String(model.lost),
        seconds(model.medianUndecidedMs),
        seconds(model.medianFormingMs),
        seconds(model.longestFormingMs),
        seconds(model.unservedMs),
      ]),
    ]),
    table('Most requests without a place', [
      ['at', 'model', 'groups', 'places', 'running', 'free', 'waiting', 'queued in engines'],
      ...longestQueues(report).map((second) => [
        seconds(second.at),
        second.model,
        String(second.groups),
        String(second.places),
        String(second.running),
        String(second.free),
        String(second.waiting),
        String(second.queued),
      ]),
    ]),
    table('Store without an answer', [
      ['at', 'for', 'daemon', 'collection'],
      ...report.outages
        .slice(0, MAX_ROWS)
        .map(({ at, ms, daemon, collection }) => [
          seconds(at),
          ms === undefined ? 'not seen back' : seconds(ms),
          daemon,
          collection,
        ]),
    ]),
    table('Returns of the store from an older copy', [
      ['era', 'seen at', 'until last', 'daemons'],
      ...report.returns.map(({ era, at, spreadMs, daemons: count }) => [
        String(era),
        seconds(at),
        seconds(spreadMs),
        String(count),
      ]),
    ]),
    table('Configurations that came slowest', [
      ['version', 'first at', 'until last', 'daemons'],
      ...[...report.versions]
        .sort((a, b) => b.spreadMs - a.spreadMs)
        .slice(0, MAX_ROWS)
        .map(({ version, at, spreadMs, daemons: count }) => [
          String(version),
          seconds(at),
          seconds(spreadMs),
          String(count),
        ]),
    ]),
    table('Leaders', [['at', 'daemon'], ...leaders.map(({ at, daemon }) => [seconds(at), daemon])]),
  ].join('\n\n');
}

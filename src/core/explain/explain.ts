/**
 * Collects from the logs of several daemons what happened to one request, and what the daemons
 * observed and decided about the groups and servers involved, ordered on one clock.
 */

import { estimateClockOffsets } from './clocks';
import type { LogLine } from './log-line';

/** A log line on the common clock. */
export interface ExplainedLine extends LogLine {
  /** `at` converted to the clock of the daemon that logged the request's last line. */
  readonly commonAt: number;
  /** Whether the line is of the request itself. */
  readonly isOwn: boolean;
}

/** Options of {@link explain}. */
export interface ExplainOptions {
  /** How long before the request's start context lines are included, milliseconds. */
  readonly beforeMs?: number;
}

/** Covers a group's replacement, which takes one load of weights, and a typical store outage. */
const DEFAULT_BEFORE_MS = 20_000;
/** Context lines that are included from every daemon. */
const FROM_ANY_DAEMON: ReadonlySet<string> = new Set([
  'lease taken',
  'lease given up',
  'started',
  'stopping',
  'stopped',
  'settings taken',
]);
/**
 * Context lines about a daemon's own dependencies; included from daemons that handled the request.
 */
const FROM_HANDLING_DAEMON: ReadonlySet<string> = new Set([
  'store lost',
  'store regained',
  'servers taken from a peer',
  'configuration in force',
  'era of the store',
  'loading anew from an older copy',
  'retry budget spent',
  'log lines left out',
]);
/** Fields that relate a context line to the request. */
const RELATING_FIELDS = ['group', 'server', 'head', 'model'] as const;

/** Parses a line; `undefined` if no daemon wrote it. */
export function parseLogLine(text: string): LogLine | undefined {
  // Log collectors add a prefix to the line.
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const { at, message, daemon, ...fields } = JSON.parse(text.slice(start)) as Record<
      string,
      unknown
    >;
    const time = typeof at === 'string' ? Date.parse(at) : NaN;
    if (typeof message !== 'string' || Number.isNaN(time)) return undefined;
    return { at: time, message, daemon: typeof daemon === 'string' ? daemon : '', fields };
  } catch {
    return undefined;
  }
}

function valuesOf({ fields }: LogLine, names: readonly string[]): string[] {
  return names.flatMap((name) => {
    const value = fields[name];
    return typeof value === 'string' ? [value] : [];
  });
}

function serversIn(line: LogLine): string[] {
  return valuesOf(line, ['members', 'lost']).flatMap((list) => list.split(' '));
}

/**
 * Servers and groups that handled the request, and the groups headed by these servers. If none did,
 * the groups of its model.
 */
function collectSubjects(own: readonly LogLine[], all: readonly LogLine[]): ReadonlySet<string> {
  const subjects = new Set(own.flatMap((line) => valuesOf(line, ['server', 'group', 'head'])));
  const hasSubjects = subjects.size > 0;
  const models = new Set(hasSubjects ? [] : own.flatMap((line) => valuesOf(line, ['model'])));
  for (const line of all) {
    const { head, group, model } = line.fields;
    const isHeadedBySubject = typeof head === 'string' && subjects.has(head);
    const isOfModel = typeof model === 'string' && models.has(model);
    if ((isHeadedBySubject || isOfModel) && typeof group === 'string') subjects.add(group);
  }
  return subjects;
}

/** The request's own lines and its context, in time order; empty if no line names the request. */
export function explain(
  lines: readonly LogLine[],
  requestId: string,
  { beforeMs = DEFAULT_BEFORE_MS }: ExplainOptions = {},
): readonly ExplainedLine[] {
  const own = lines.filter(({ fields }) => fields.requestId === requestId);
  const last = own.at(-1);
  if (!last) return [];
  const offsets = estimateClockOffsets(lines, last.daemon);
  const commonAt = (line: LogLine): number => line.at - (offsets.get(line.daemon) ?? 0);
  const handled = new Set(own.map(({ daemon }) => daemon));
  const subjects = collectSubjects(own, lines);
  const durationMs = typeof last.fields.ms === 'number' ? last.fields.ms : 0;
  const until = Math.max(...own.map(commonAt));
  const from = until - durationMs - beforeMs;
  const isShown = (line: LogLine): boolean => {
    if (line.fields.requestId !== undefined) return false;
    if (FROM_ANY_DAEMON.has(line.message)) return true;
    if (FROM_HANDLING_DAEMON.has(line.message)) return handled.has(line.daemon);
    const named = [...valuesOf(line, RELATING_FIELDS), ...serversIn(line)];
    return named.some((name) => subjects.has(name));
  };
  const context = lines.filter((line) => {
    const at = commonAt(line);
    return at >= from && at <= until && isShown(line);
  });
  return [...own, ...context]
    .map((line) => ({
      ...line,
      commonAt: commonAt(line),
      isOwn: line.fields.requestId === requestId,
    }))
    .sort((a, b) => a.commonAt - b.commonAt);
}

/**
 * Finds in the logs of several daemons what happened to one request, and what the daemons believed and
 * did about the groups and servers that it met, in one order of time.
 */

import { estimateClockOffsets } from './clocks';
import type { LogLine } from './log-line';

/** A line in the common order of time. */
export interface ExplainedLine extends LogLine {
  /** `at` by the clock of the daemon that ended the request. */
  readonly commonAt: number;
  /** Whether the line names the request itself. */
  readonly isOwn: boolean;
}

export interface ExplainOptions {
  /** Beliefs and decisions are shown from so long before the request on, milliseconds. */
  readonly beforeMs?: number;
}

/** A group is replaced within a load of weights, and the store's outages last about as long. */
const BEFORE_MS = 20_000;
/** Lines without a request that are shown wherever they come from. */
const OF_ALL: ReadonlySet<string> = new Set([
  'lease taken',
  'lease given up',
  'started',
  'stopping',
  'stopped',
  'settings taken',
]);
/** Lines that speak of the daemon's own dependencies: shown for daemons that handled the request. */
const OF_ONE: ReadonlySet<string> = new Set([
  'store lost',
  'store regained',
  'servers taken from a peer',
  'configuration in force',
  'era of the store',
  'loading anew from an older copy',
  'retry budget spent',
  'log lines left out',
]);
/** Fields that tie lines together. */
const LINKS = ['group', 'server', 'head', 'model'] as const;

/** Reads a line; undefined where it is none of a daemon's. */
export function parseLogLine(text: string): LogLine | undefined {
  // Log collectors put a prefix before the line.
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

/** Servers and groups that the request met, and the groups whose heads these servers are. */
function collectSubjects(own: readonly LogLine[], all: readonly LogLine[]): ReadonlySet<string> {
  const subjects = new Set(own.flatMap((line) => valuesOf(line, ['server', 'group', 'head'])));
  const isServed = subjects.size > 0;
  const models = new Set(isServed ? [] : own.flatMap((line) => valuesOf(line, ['model'])));
  for (const line of all) {
    const { head, group, model } = line.fields;
    const isMet = typeof head === 'string' && subjects.has(head);
    const isOfModel = typeof model === 'string' && models.has(model);
    if ((isMet || isOfModel) && typeof group === 'string') subjects.add(group);
  }
  return subjects;
}

/** The request's own lines and those of what it rested on, in order. */
export function explain(
  lines: readonly LogLine[],
  requestId: string,
  { beforeMs = BEFORE_MS }: ExplainOptions = {},
): readonly ExplainedLine[] {
  const own = lines.filter(({ fields }) => fields.requestId === requestId);
  const last = own.at(-1);
  if (!last) return [];
  const offsets = estimateClockOffsets(lines, last.daemon);
  const commonAt = (line: LogLine): number => line.at - (offsets.get(line.daemon) ?? 0);
  const handled = new Set(own.map(({ daemon }) => daemon));
  const subjects = collectSubjects(own, lines);
  const took = typeof last.fields.ms === 'number' ? last.fields.ms : 0;
  const until = Math.max(...own.map(commonAt));
  const from = until - took - beforeMs;
  const isShown = (line: LogLine): boolean => {
    if (line.fields.requestId !== undefined) return false;
    if (OF_ALL.has(line.message)) return true;
    if (OF_ONE.has(line.message)) return handled.has(line.daemon);
    const named = [...valuesOf(line, LINKS), ...serversIn(line)];
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

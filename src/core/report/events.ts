/** Orders the log lines of several daemons on one clock. */

import { estimateClockOffsets } from '../explain/clocks';
import type { LogLine } from '../explain/log-line';

/** A log line; `at` is milliseconds since the start of the report. */
export interface LogEvent {
  readonly at: number;
  readonly daemon: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** All events in time order. */
export interface Timeline {
  /** Time of the first line, milliseconds since the epoch. */
  readonly startedAt: number;
  readonly events: readonly LogEvent[];
}

/** Orders the lines by the clock of the daemon with the most lines. */
export function createTimeline(lines: readonly LogLine[]): Timeline {
  const offsets = estimateClockOffsets(lines, daemonWithMostLines(lines));
  const sorted = lines
    .map((line) => ({ ...line, at: line.at - (offsets.get(line.daemon) ?? 0) }))
    .sort((a, b) => a.at - b.at);
  const startedAt = sorted[0]?.at ?? 0;
  return { startedAt, events: sorted.map((line) => ({ ...line, at: line.at - startedAt })) };
}

function daemonWithMostLines(lines: readonly LogLine[]): string {
  const [first] = [...groupBy(lines, ({ daemon }) => daemon)].sort(
    ([, a], [, b]) => b.length - a.length,
  );
  return first?.[0] ?? '';
}

/** Items by key, in order of first occurrence. */
export function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group) group.push(item);
    else groups.set(keyOf(item), [item]);
  }
  return groups;
}

/** A string or number field as text; empty if it is missing. */
export function textField({ fields }: LogEvent, name: string): string {
  const value = fields[name];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

/** A number field; `undefined` if it is missing. */
export function numberField({ fields }: LogEvent, name: string): number | undefined {
  const value = fields[name];
  return typeof value === 'number' ? value : undefined;
}

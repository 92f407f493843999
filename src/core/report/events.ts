/** The lines of several daemons' logs on one clock. */

import { estimateClockOffsets } from '../explain/clocks';
import type { LogLine } from '../explain/log-line';

/** A line with the time since the report's start. */
export interface LogEvent {
  readonly at: number;
  readonly daemon: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

export interface Timeline {
  readonly startedAt: number;
  readonly events: readonly LogEvent[];
}

/** Orders the lines by the clock of the daemon that logged most. */
export function createTimeline(lines: readonly LogLine[]): Timeline {
  const offsets = estimateClockOffsets(lines, busiest(lines));
  const sorted = lines
    .map((line) => ({ ...line, at: line.at - (offsets.get(line.daemon) ?? 0) }))
    .sort((a, b) => a.at - b.at);
  const startedAt = sorted[0]?.at ?? 0;
  return { startedAt, events: sorted.map((line) => ({ ...line, at: line.at - startedAt })) };
}

function busiest(lines: readonly LogLine[]): string {
  const [first] = [...groupBy(lines, ({ daemon }) => daemon)].sort(
    ([, a], [, b]) => b.length - a.length,
  );
  return first?.[0] ?? '';
}

export function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group) group.push(item);
    else groups.set(keyOf(item), [item]);
  }
  return groups;
}

/** A field as text; empty where it is missing. */
export function textField({ fields }: LogEvent, name: string): string {
  const value = fields[name];
  return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

export function numberField({ fields }: LogEvent, name: string): number | undefined {
  const value = fields[name];
  return typeof value === 'number' ? value : undefined;
}

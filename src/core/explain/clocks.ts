/** How far the wall clocks of daemons lie apart, by what several of them logged of the same event. */

import type { LogLine } from './log-line';
import { quantile } from './quantile';

/** All daemons log these within milliseconds of each other: the store or the leader tells them together. */
const SHARED: ReadonlySet<string> = new Set(['group serves', 'group serves no more']);

/** When a daemon first logged each shared event. */
function firstTimes(lines: readonly LogLine[]): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const byDaemon = new Map<string, Map<string, number>>();
  for (const { message, daemon, at, fields } of lines) {
    if (!SHARED.has(message)) continue;
    const times = byDaemon.get(daemon) ?? new Map<string, number>();
    const event = `${message} ${String(fields.group)}`;
    if (!times.has(event)) times.set(event, at);
    byDaemon.set(daemon, times);
  }
  return byDaemon;
}

/** Milliseconds that each daemon's clock is ahead of that of `reference`; 0 where nothing is known. */
export function estimateClockOffsets(
  lines: readonly LogLine[],
  reference: string,
): ReadonlyMap<string, number> {
  const byDaemon = firstTimes(lines);
  const own = byDaemon.get(reference);
  const offsets = new Map<string, number>();
  for (const [daemon, times] of byDaemon) {
    const differences = [...times].flatMap(([event, at]) => {
      const other = own?.get(event);
      return other === undefined ? [] : [at - other];
    });
    offsets.set(daemon, quantile(differences, 0.5));
  }
  return offsets;
}

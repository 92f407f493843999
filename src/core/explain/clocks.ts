/** Estimates clock offsets between daemons from events that several of them logged. */

import type { LogLine } from './log-line';
import { quantile } from './quantile';

/**
 * All daemons log these within milliseconds, since the store or the leader notifies them together.
 */
const SHARED_EVENTS: ReadonlySet<string> = new Set(['group serves', 'group serves no more']);

/** When each daemon first logged each shared event. */
function firstTimes(lines: readonly LogLine[]): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const byDaemon = new Map<string, Map<string, number>>();
  for (const { message, daemon, at, fields } of lines) {
    if (!SHARED_EVENTS.has(message)) continue;
    const times = byDaemon.get(daemon) ?? new Map<string, number>();
    const event = `${message} ${String(fields.group)}`;
    if (!times.has(event)) times.set(event, at);
    byDaemon.set(daemon, times);
  }
  return byDaemon;
}

/**
 * How far each daemon's clock is ahead of that of `reference`, milliseconds: the median difference
 * over the events that both logged, 0 without any.
 */
export function estimateClockOffsets(
  lines: readonly LogLine[],
  reference: string,
): ReadonlyMap<string, number> {
  const byDaemon = firstTimes(lines);
  const own = byDaemon.get(reference);
  const offsets = new Map<string, number>();
  for (const [daemon, times] of byDaemon) {
    const differences = [...times].flatMap(([event, at]) => {
      const referenceAt = own?.get(event);
      return referenceAt === undefined ? [] : [at - referenceAt];
    });
    offsets.set(daemon, quantile(differences, 0.5));
  }
  return offsets;
}

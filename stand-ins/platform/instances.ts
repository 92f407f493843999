/** History of the instance list, so that it can be served with a lag. */

import type { InstanceEntry } from '../../src/ports/platform';

/** Longest lag that can be served; older changes are dropped. */
const MAX_LAG_MS = 600_000;

interface Change {
  readonly at: number;
  /** Absent: the instance left the list. */
  readonly entry?: InstanceEntry;
}

/** Every change of each instance, oldest first. */
export type InstanceHistory = Map<string, Change[]>;

/** Records a change of an instance; `entry` undefined removes it. */
export function enterInstance(
  history: InstanceHistory,
  id: string,
  entry: InstanceEntry | undefined,
  now: number,
): void {
  const changes = history.get(id) ?? [];
  changes.push(entry === undefined ? { at: now } : { at: now, entry });
  const kept = changes.findLastIndex(({ at }) => at <= now - MAX_LAG_MS);
  history.set(id, kept > 0 ? changes.slice(kept) : changes);
}

/** The list as it was at `instant`. */
export function listInstances(history: InstanceHistory, instant: number): readonly InstanceEntry[] {
  return [...history.values()].flatMap((changes) => {
    const entry = changes.findLast(({ at }) => at <= instant)?.entry;
    return entry === undefined ? [] : [entry];
  });
}

/**
 * Tells by a server's entry whether it still runs as the process that is known, or has started anew.
 *
 * Load pattern: entries are written by other parties as well, in part. An entry of a sound head without its start
 * time once counted as a restart, so that the members of its open group were given to another one.
 */

import type { BackendServer } from './types';

/**
 * What an entry tells of the process that is known under its name.
 *
 * - `same`: it still runs, or none is known.
 * - `later`: the server has started another process.
 * - `earlier`: the entry is that of a process before the known one.
 * - `unknown`: the entry lacks the start time that the server's own entries have, so it tells nothing.
 */
export type Incarnation = 'same' | 'later' | 'earlier' | 'unknown';

/** Whether both report the same group and epoch, which a process that starts is not in. */
function areInSameGroup({ membership: a }: BackendServer, { membership: b }: BackendServer) {
  return a !== undefined && a.group === b?.group && a.epoch === b.epoch;
}

export function compareIncarnation(
  entry: BackendServer,
  known: BackendServer | undefined,
): Incarnation {
  if (!known || known.id === entry.id) return 'same';
  const { startedAt } = entry;
  if (known.startedAt === undefined) return areInSameGroup(entry, known) ? 'same' : 'later';
  if (startedAt === undefined) return 'unknown';
  return startedAt < known.startedAt ? 'earlier' : 'later';
}

/**
 * Updates of a store collection that daemons send to each other: the changes between two revisions.
 *
 * Load pattern: hundreds of servers start, join groups and open within seconds, each reporting several
 * states. Every message about them goes to the whole fleet, so changes made within a short time are sent
 * together, and of each server only the last.
 */

import { isLater } from '../store-era';
import type { StorePosition } from '../store-era';

/** Changes after position `since` up to `upTo`; a change without a value is a removal. */
export interface CollectionUpdate<T> {
  readonly since: StorePosition;
  readonly upTo: StorePosition;
  readonly changes: readonly { readonly key: string; readonly value?: T }[];
}

/**
 * Merges an update into an earlier one. If there is a gap between them only the later one is kept, since a
 * merged one would claim to hold all changes since the earlier.
 */
export function mergeUpdates<T>(
  earlier: CollectionUpdate<T> | undefined,
  update: CollectionUpdate<T>,
): CollectionUpdate<T> {
  if (!earlier || !canContinueFrom(earlier.upTo, update.since)) return update;
  const last = new Map(
    [...earlier.changes, ...update.changes].map((change) => [change.key, change]),
  );
  return { since: earlier.since, upTo: update.upTo, changes: [...last.values()] };
}

/** Whether an update from `since` can be applied to a copy that is current up to `known`. */
export function canContinueFrom(known: StorePosition, since: StorePosition): boolean {
  return known.era === since.era && !isLater(since, known);
}

/**
 * Changes of a collection that are told to peers, from one revision of the store to a later one.
 *
 * Load pattern: hundreds of servers start, join groups and open within seconds, each reporting several
 * states. Every message about them goes to the whole fleet, so changes of a short time go together, and
 * of one server only the last.
 */

import { isLater } from '../store-era';
import type { StorePosition } from '../store-era';

export interface CollectionUpdate<T> {
  readonly since: StorePosition;
  readonly upTo: StorePosition;
  readonly changes: readonly { readonly key: string; readonly value?: T }[];
}

/**
 * Earlier news with later ones. Where something is missing between them only the later ones are left:
 * nobody may take them for all that happened since the earlier ones.
 */
export function mergeUpdates<T>(
  earlier: CollectionUpdate<T> | undefined,
  news: CollectionUpdate<T>,
): CollectionUpdate<T> {
  if (!earlier || !canContinueFrom(earlier.upTo, news.since)) return news;
  const last = new Map([...earlier.changes, ...news.changes].map((change) => [change.key, change]));
  return { since: earlier.since, upTo: news.upTo, changes: [...last.values()] };
}

/** Whether whoever knows the collection up to `known` can go on from `since`. */
export function canContinueFrom(known: StorePosition, since: StorePosition): boolean {
  return known.era === since.era && !isLater(since, known);
}

/**
 * The backend servers as this daemon believes them: the store's entries, or a peer's while the store
 * cannot be reached.
 *
 * Entries lapse while the store is away, whether or not their servers live. A server whose entry went
 * then is kept for a short time after the store's return, and is gone only if its entry has not come back.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { BackendServer } from '../../core/gateway/types';
import { brandAs, later } from '../../core/ids';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { Change, Feed } from '../../ports/gateway';
import type { GatewayContext } from './context';
import { wasAway, watchFeed } from './watch';
import type { Watch } from './watch';

/** Servers that live enter themselves again within two seconds of the store's return; a little more for the way here. */
const RETURN_MS = 2_300;

export interface Roster {
  readonly servers: ReadonlyMap<InstanceId, BackendServer>;
  /** After each change. */
  readonly changes: Observable<void>;
  readonly watch: Watch;
  /** Takes a peer's view, where it is newer and the store cannot be reached from here. */
  takeFromPeer(revision: number, servers: readonly BackendServer[]): void;
  /** Revision of the view, from the store or a peer. */
  revision(): number;
  tick(): void;
}

export function createRoster(ctx: GatewayContext, feed: Feed<BackendServer>): Roster {
  const servers = new Map<InstanceId, BackendServer>();
  const changes = new Subject<void>();
  /** Lapsed while the store was away: gone at this instant unless they come back. */
  const lapsed = new Map<InstanceId, MonoTime>();
  let peerRevision = 0;

  const set = (id: InstanceId, server: BackendServer): void => {
    lapsed.delete(id);
    servers.set(id, server);
  };

  const remove = (id: InstanceId): void => {
    if (!servers.has(id)) return;
    const now = ctx.clock.now();
    if (wasAway(watch, now, RETURN_MS)) {
      if (!lapsed.has(id)) lapsed.set(id, later(watch.returnedAt() ?? now, RETURN_MS));
      return;
    }
    drop(id, 'entry gone');
  };

  const drop = (id: InstanceId, reason: string): void => {
    lapsed.delete(id);
    if (servers.delete(id)) ctx.logger.info('server gone', { step: 'roster', server: id, reason });
  };

  const take = (list: readonly Change<BackendServer>[], isWhole: boolean): void => {
    const seen = new Set<string>();
    for (const { key, value } of list) {
      seen.add(key);
      if (value) set(value.id, value);
      else remove(brandAs<InstanceId>(key));
    }
    if (isWhole) for (const id of [...servers.keys()]) if (!seen.has(id)) remove(id);
    changes.next();
  };

  const watch = watchFeed(ctx, { feed, take });

  const dropLapsed = (): void => {
    if (lapsed.size === 0 || watch.isFailing()) return;
    const now = ctx.clock.now();
    const due = [...lapsed].filter(([, at]) => now >= at);
    for (const [id] of due) drop(id, 'entry not back after the store was');
    if (due.length > 0) changes.next();
  };

  return {
    servers,
    changes,
    watch,
    revision: () => Math.max(watch.revision(), peerRevision),
    takeFromPeer: (revision, list) => {
      if (!watch.isFailing() || revision <= Math.max(watch.revision(), peerRevision)) return;
      peerRevision = revision;
      take(
        list.map((value) => ({ key: value.id, value })),
        true,
      );
      ctx.logger.info('servers taken from a peer', { step: 'roster', revision });
    },
    tick: dropLapsed,
  };
}

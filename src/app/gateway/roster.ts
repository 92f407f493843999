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
/** Entries of servers that are gone are remembered for this long: as long as a cut from the store is likely to last. */
const LAPSED_MS = 60_000;

/** Changes from one revision of the store to a later one. */
export interface RosterNews {
  readonly since: number;
  readonly revision: number;
  readonly changes: readonly Change<BackendServer>[];
}

export interface Roster {
  /** Last known entries of servers whose entries are gone. Some of them live and serve on. */
  readonly lapsed: ReadonlyMap<InstanceId, BackendServer>;
  readonly servers: ReadonlyMap<InstanceId, BackendServer>;
  /** After each change. */
  readonly changes: Observable<void>;
  /** What the store reported, for peers that look less often. */
  readonly news: Observable<RosterNews>;
  readonly watch: Watch;
  /** Takes a peer's view, where it is newer and the store cannot be reached from here. */
  takeFromPeer(revision: number, servers: readonly BackendServer[]): void;
  /** Takes what a peer heard from the store, where it goes on from what is known here. */
  takeNews(news: RosterNews): void;
  /** Revision of the view, from the store or a peer. */
  revision(): number;
  tick(): void;
}

export interface RosterOptions {
  readonly feed: Feed<BackendServer>;
  /** Whether this daemon forms groups, and so needs each change at once. */
  readonly isLeading: () => boolean;
}

/** Changes that come together are fetched together; a fraction of the shortest step of forming a group. */
const LEADER_REST_MS = 25;
/**
 * Others hear of changes from the leader, and still look for themselves in this part of the time that a
 * leaving server allows: a leader that the store no longer answers keeps its lease, and its peers' trust, for a while.
 */
const FOLLOWER_REST_SHARE = 0.6;

export function createRoster(ctx: GatewayContext, { feed, isLeading }: RosterOptions): Roster {
  const servers = new Map<InstanceId, BackendServer>();
  const changes = new Subject<void>();
  const news = new Subject<RosterNews>();
  let told = 0;
  /** Lapsed while the store was away: gone at this instant unless they come back. */
  const held = new Map<InstanceId, MonoTime>();
  /** Gone from `servers`, and until when they are remembered. */
  const forgetAt = new Map<InstanceId, MonoTime>();
  const gone = new Map<InstanceId, BackendServer>();
  let peerRevision = 0;

  const set = (id: InstanceId, server: BackendServer): void => {
    held.delete(id);
    gone.delete(id);
    servers.set(id, server);
  };

  const remove = (id: InstanceId): void => {
    if (!servers.has(id)) return;
    const now = ctx.clock.now();
    if (wasAway(watch, now, RETURN_MS)) {
      if (!held.has(id)) held.set(id, later(watch.returnedAt() ?? now, RETURN_MS));
      return;
    }
    drop(id, 'entry gone');
  };

  const drop = (id: InstanceId, reason: string): void => {
    held.delete(id);
    const server = servers.get(id);
    if (server) gone.set(id, server);
    forgetAt.set(id, later(ctx.clock.now(), LAPSED_MS));
    if (servers.delete(id)) ctx.logger.info('server gone', { step: 'roster', server: id, reason });
  };

  const takeFromStore = (list: readonly Change<BackendServer>[], isWhole: boolean): void => {
    take(list, isWhole);
    const revision = watch.revision();
    if (!isWhole) news.next({ since: told, revision, changes: list });
    told = revision;
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

  const restMs = (): number =>
    isLeading() ? LEADER_REST_MS : ctx.tunables.value.leavingMs * FOLLOWER_REST_SHARE;

  const watch = watchFeed(ctx, {
    feed,
    take: takeFromStore,
    restMs,
  });

  const forgetGone = (): void => {
    const now = ctx.clock.now();
    for (const [id, until] of forgetAt) {
      if (now < until) continue;
      forgetAt.delete(id);
      gone.delete(id);
    }
  };

  const dropHeld = (): void => {
    if (held.size === 0 || watch.isFailing()) return;
    const now = ctx.clock.now();
    const due = [...held].filter(([, at]) => now >= at);
    for (const [id] of due) drop(id, 'entry not back after the store was');
    if (due.length > 0) changes.next();
  };

  return {
    servers,
    lapsed: gone,
    changes,
    news,
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
    takeNews: ({ since, revision, changes: list }) => {
      const known = watch.revision();
      if (known === 0 || since > known || revision <= known) return;
      watch.skipTo(revision);
      told = revision;
      take(list, false);
    },
    tick: () => {
      dropHeld();
      forgetGone();
    },
  };
}

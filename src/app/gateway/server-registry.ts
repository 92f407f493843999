/**
 * The backend servers as this daemon believes them: the store's entries, or a peer's while the store
 * cannot be reached.
 *
 * Entries lapse while the store is away, whether or not their servers live. A server whose entry went
 * then is kept for a short time after the store's return, and is gone only if its entry has not come back.
 *
 * A store that comes back from an older copy shows servers as they were. What a server wrote later is
 * believed until it has written again, also that it leaves or has gone.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { canContinueFrom } from '../../core/gateway/collection-updates';
import type { CollectionUpdate } from '../../core/gateway/collection-updates';
import type { BackendServer } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { InstanceId, MonoTime } from '../../core/ids';
import { isLater, latest, ORIGIN_POSITION } from '../../core/store-era';
import type { StorePosition } from '../../core/store-era';
import type { Change, Feed } from '../../ports/gateway';
import type { GatewayContext } from './context';
import type { Leader } from './peer-view';
import { hasFailedWithin, watchFeed } from './watch';
import type { ChangeKind, Watch } from './watch';

/** Servers that live enter themselves again within two seconds of the store's return; a little more for the way here. */
const RETURN_MS = 2_300;
/** Entries of servers that are gone are remembered for this long: as long as a cut from the store is likely to last. */
const LAPSED_MS = 60_000;

export type ServerUpdates = CollectionUpdate<BackendServer>;

export interface ServerRegistry {
  /** Last known entries of servers whose entries are gone. Some of them live and serve on. */
  readonly lapsed: ReadonlyMap<InstanceId, BackendServer>;
  readonly servers: ReadonlyMap<InstanceId, BackendServer>;
  /** Last known entries of lives that have surely ended, remembered for as long as lapsed ones. */
  readonly ended: ReadonlyMap<InstanceId, BackendServer>;
  /** After each change. */
  readonly changes: Observable<void>;
  /** What the store reported, for peers that look less often. */
  readonly news: Observable<ServerUpdates>;
  readonly watch: Watch;
  /** Takes a peer's view, where it is newer and the store cannot be reached from here. */
  adoptFromPeer(at: StorePosition, servers: readonly BackendServer[]): void;
  /** Takes what a peer heard from the store, where it goes on from what is known here. */
  applyUpdates(news: ServerUpdates): void;
  /** The server itself said that it leaves, and holds to it for this life. False where that is known. */
  noteLeaving(id: InstanceId): boolean;
  /** Point in the store's history at which the view last changed. */
  changedAt(): StorePosition;
  tick(): void;
}

export interface ServerRegistryOptions {
  readonly feed: Feed<BackendServer>;
  /** Whether this daemon forms groups, and so needs each change at once. */
  readonly isLeading: () => boolean;
  /** What the leader said last, and lately; it tells all of what the store reports. */
  readonly leader: () => Pick<Leader, 'at' | 'progress'> | undefined;
}

/** Changes that come together are fetched together; a fraction of the shortest step of forming a group. */
const LEADER_REST_MS = 25;
/**
 * What is known of the servers is no older than this part of the time that a leaving server allows:
 * the rest is for messages on their way. Others than the leader look for themselves only once the
 * leader's own view is that old, as when the store no longer answers it.
 */
const LONGEST_AGE_SHARE = 0.6;
/** Polls wait for this part of that time, so that the view is seen to be young. */
const WAIT_SHARE = 0.5;

/** Whether the entry is of a life before the one that is known. */
function isEarlier({ startedAt }: BackendServer, known: BackendServer): boolean {
  return startedAt !== undefined && known.startedAt !== undefined && startedAt < known.startedAt;
}

export function createServerRegistry(
  ctx: GatewayContext,
  { feed, isLeading, leader }: ServerRegistryOptions,
): ServerRegistry {
  const servers = new Map<InstanceId, BackendServer>();
  const changes = new Subject<void>();
  const news = new Subject<ServerUpdates>();
  let told = ORIGIN_POSITION;
  /** Lapsed while the store was away: gone at this instant unless they come back. */
  const held = new Map<InstanceId, MonoTime>();
  /** The last known life of each server, by the name of its entry. */
  const lives = new Map<string, BackendServer>();
  /** Lives that are known to have ended, since the server has begun another. */
  const ended = new Map<InstanceId, BackendServer>();
  /** Gone from `servers`, and until when they are remembered. */
  const forgetAt = new Map<InstanceId, MonoTime>();
  const gone = new Map<InstanceId, BackendServer>();
  /** Servers that said that they leave, whatever their entries say, and when that was heard. */
  const leaving = new Map<InstanceId, MonoTime>();
  let changedAt = ORIGIN_POSITION;

  const asSaid = (server: BackendServer): BackendServer =>
    leaving.has(server.id) ? { ...server, isDraining: true } : server;

  const endLife = (before: BackendServer): void => {
    const { id } = before;
    held.delete(id);
    gone.delete(id);
    servers.delete(id);
    ended.set(id, before);
    forgetAt.set(id, later(ctx.clock.now(), LAPSED_MS));
    ctx.logger.info('server gone', { step: 'roster', server: id, reason: 'it has started again' });
  };

  const set = (server: BackendServer): void => {
    const { id, name } = server;
    const before = lives.get(name);
    if (ended.has(id) || (before && isEarlier(server, before))) {
      ctx.logger.debug('entry of an earlier life ignored', { step: 'roster', server: id });
      return;
    }
    if (before && before.id !== id) endLife(before);
    lives.set(name, server);
    held.delete(id);
    gone.delete(id);
    servers.set(id, asSaid(server));
  };

  const remove = (name: string): void => {
    const id = lives.get(name)?.id;
    if (id === undefined || !servers.has(id)) return;
    const now = ctx.clock.now();
    if (hasFailedWithin(watch, now, RETURN_MS)) {
      if (!held.has(id)) held.set(id, later(watch.recoveredAt() ?? now, RETURN_MS));
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

  /** Whether the entry shows less of this life than is known: an older copy of what the server wrote. */
  const isOutdated = ({ id, name, reportNumber }: BackendServer): boolean => {
    const before = lives.get(name);
    if (before?.id !== id || reportNumber === undefined) return false;
    const known = before.reportNumber ?? 0;
    return reportNumber < known || (reportNumber === known && !servers.has(id));
  };

  /** Entries of an older copy that still hold. */
  const withoutOutdated = (
    list: readonly Change<BackendServer>[],
  ): readonly Change<BackendServer>[] => {
    const outdated = new Set(list.filter(({ value }) => value && isOutdated(value)));
    if (outdated.size > 0) {
      const fields = { step: 'roster', servers: outdated.size, of: list.length };
      ctx.logger.info('entries of an older copy passed over', fields);
    }
    return list.flatMap((change) => {
      if (!outdated.has(change)) return [change];
      const known = lives.get(change.key);
      return known && servers.has(known.id) ? [{ key: change.key, value: known }] : [];
    });
  };

  const takeFromStore = (list: readonly Change<BackendServer>[], kind: ChangeKind): void => {
    take(kind === 'copy' ? withoutOutdated(list) : list, kind !== 'changes');
    const position = watch.position();
    changedAt = latest(changedAt, position);
    if (kind === 'changes') news.next({ since: told, upTo: position, changes: list });
    told = position;
  };

  const take = (list: readonly Change<BackendServer>[], isWhole: boolean): void => {
    const seen = new Set<string>();
    for (const { key, value } of list) {
      seen.add(key);
      if (value) set(value);
      else remove(key);
    }
    if (isWhole) for (const name of lives.keys()) if (!seen.has(name)) remove(name);
    changes.next();
  };

  const longestAgeMs = (): number => ctx.tunables.value.leavingMs * LONGEST_AGE_SHARE;

  /** Until when the leader's view, as far as it is known here, is young enough. */
  const trustUntil = (since: MonoTime): MonoTime => {
    const told = leader();
    if (!told || told.progress.isStoreLost || isLater(told.progress.serversAt, watch.position())) {
      return since;
    }
    return later(told.at, longestAgeMs() - told.progress.storeAgeMs);
  };

  const restUntil = (since: MonoTime): MonoTime => {
    if (isLeading()) return later(since, LEADER_REST_MS);
    const own = later(since, longestAgeMs());
    const trusted = trustUntil(since);
    return trusted > own ? trusted : own;
  };

  const watch = watchFeed(ctx, {
    feed,
    apply: takeFromStore,
    freshUntil: trustUntil,
    nextPollAt: restUntil,
    pausesWhenUnchanged: true,
    waitMs: () => longestAgeMs() * WAIT_SHARE,
  });

  const forgetGone = (): void => {
    const now = ctx.clock.now();
    for (const [id, until] of forgetAt) {
      if (now < until) continue;
      forgetAt.delete(id);
      gone.delete(id);
      ended.delete(id);
    }
    for (const [id, at] of leaving) {
      if (now >= later(at, LAPSED_MS) && !servers.has(id)) leaving.delete(id);
    }
    for (const [name, { id }] of lives) {
      if (!servers.has(id) && !forgetAt.has(id)) lives.delete(name);
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
    ended,
    changes,
    news,
    watch,
    noteLeaving: (id) => {
      if (leaving.has(id)) return false;
      leaving.set(id, ctx.clock.now());
      const server = servers.get(id);
      if (server && !server.isDraining) {
        servers.set(id, asSaid(server));
        changes.next();
      }
      return true;
    },
    changedAt: () => changedAt,
    adoptFromPeer: (at, list) => {
      if (!watch.isFailing() || !isLater(at, latest(watch.position(), changedAt))) return;
      changedAt = at;
      take(
        list.map((value) => ({ key: value.name, value })),
        true,
      );
      ctx.logger.info('servers taken from a peer', { step: 'roster', ...at });
    },
    applyUpdates: ({ since, upTo, changes: list }) => {
      const known = watch.position();
      if (
        !isLater(known, ORIGIN_POSITION) ||
        !canContinueFrom(known, since) ||
        !isLater(upTo, known)
      )
        return;
      watch.skipTo(upTo);
      changedAt = latest(changedAt, upTo);
      told = upTo;
      take(list, false);
    },
    tick: () => {
      dropHeld();
      forgetGone();
    },
  };
}

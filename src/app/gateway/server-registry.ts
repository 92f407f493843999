/**
 * Registry of the backend servers: the store's entries, or those of a peer while the store is
 * unreachable.
 *
 * Entries expire while the store is down, whether or not their servers are alive. A server whose
 * entry expired in that time is kept for a short while after the store's return, and removed only
 * if its entry does not come back.
 *
 * A store restored from an older copy shows servers as they were. Later writes of a server,
 * including that it is leaving or was removed, remain in force until it has written again.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { canContinueFrom } from '../../core/gateway/collection-updates';
import type { CollectionUpdate } from '../../core/gateway/collection-updates';
import { compareIncarnation } from '../../core/gateway/incarnations';
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

/**
 * Servers that are alive register again within two seconds of the store's return; the rest is for
 * the update to arrive.
 */
const REREGISTRATION_MS = 2_300;
/**
 * Removed servers are remembered for this long: as long as a disconnection from the store is likely
 * to last.
 */
const REMOVED_RETENTION_MS = 60_000;

export type ServerUpdates = CollectionUpdate<BackendServer>;

export interface ServerRegistry {
  /**
   * Last known entries of servers whose entries expired. Some of these servers are still alive and
   * serving.
   */
  readonly lapsed: ReadonlyMap<InstanceId, BackendServer>;
  readonly servers: ReadonlyMap<InstanceId, BackendServer>;
  /**
   * Last known entries of incarnations that have certainly ended, kept for as long as expired ones.
   */
  readonly ended: ReadonlyMap<InstanceId, BackendServer>;
  /** Emits after each change. */
  readonly changes: Observable<void>;
  /** Updates received from the store, for peers that poll less often. */
  readonly news: Observable<ServerUpdates>;
  readonly watch: Watch;
  /** Adopts a peer's view if it is newer and this daemon cannot reach the store. */
  adoptFromPeer(at: StorePosition, servers: readonly BackendServer[]): void;
  /**
   * Applies updates that a peer received from the store, if they continue from the known position.
   */
  applyUpdates(updates: ServerUpdates): void;
  /**
   * Notes that the server itself announced that it leaves, which holds for this incarnation.
   * Returns false if that was known.
   */
  noteLeaving(id: InstanceId): boolean;
  /** Position in the store's history at which the registry last changed. */
  changedAt(): StorePosition;
  tick(): void;
}

export interface ServerRegistryOptions {
  readonly feed: Feed<BackendServer>;
  /** Whether this daemon forms groups and therefore needs each change at once. */
  readonly isLeading: () => boolean;
  /** The leader's latest statement, if recent; it forwards everything that the store reports. */
  readonly leader: () => Pick<Leader, 'at' | 'progress'> | undefined;
}

/**
 * Collects changes that arrive close together into one poll; a fraction of the shortest step of
 * forming a group.
 */
const LEADER_POLL_DELAY_MS = 25;
/**
 * Maximum age of the registry, as a fraction of the time allowed for a leaving server; the rest is
 * for messages in transit. Daemons other than the leader poll the store only once the leader's own
 * view is that old, for example because the store no longer answers it.
 */
const MAX_AGE_SHARE = 0.6;
/** Polls wait for this fraction of that time, so that the view is known to be fresh. */
const POLL_WAIT_SHARE = 0.5;

export function createServerRegistry(
  ctx: GatewayContext,
  { feed, isLeading, leader }: ServerRegistryOptions,
): ServerRegistry {
  const servers = new Map<InstanceId, BackendServer>();
  const changes = new Subject<void>();
  const updates = new Subject<ServerUpdates>();
  let publishedUpTo = ORIGIN_POSITION;
  /**
   * Servers whose entries expired while the store was down, and when they are removed unless their
   * entries return.
   */
  const pendingRemoval = new Map<InstanceId, MonoTime>();
  /** The last known incarnation of each server, by the name of its entry. */
  const incarnations = new Map<string, BackendServer>();
  /** Incarnations known to have ended because the server started another. */
  const ended = new Map<InstanceId, BackendServer>();
  /** When removed servers are forgotten. */
  const forgetAt = new Map<InstanceId, MonoTime>();
  const lapsed = new Map<InstanceId, BackendServer>();
  /**
   * Servers that announced that they leave, whatever their entries say, and when this was received.
   */
  const leaving = new Map<InstanceId, MonoTime>();
  let changedAt = ORIGIN_POSITION;

  const withDraining = (server: BackendServer): BackendServer =>
    leaving.has(server.id) ? { ...server, isDraining: true } : server;

  const drop = (id: InstanceId): void => {
    pendingRemoval.delete(id);
    lapsed.delete(id);
    servers.delete(id);
  };

  const endIncarnation = (before: BackendServer): void => {
    const { id } = before;
    drop(id);
    ended.set(id, before);
    forgetAt.set(id, later(ctx.clock.now(), REMOVED_RETENTION_MS));
    ctx.logger.info('server gone', { step: 'roster', server: id, reason: 'server restarted' });
  };

  /** That a server leaves holds for the process that is known, whoever wrote it. */
  const noteDraining = (before: BackendServer): void => {
    const known = servers.get(before.id);
    if (known) servers.set(before.id, { ...known, isDraining: true });
  };

  const upsert = (server: BackendServer): void => {
    const { id, name } = server;
    const before = incarnations.get(name);
    const incarnation = ended.has(id) ? 'earlier' : compareIncarnation(server, before);
    if (incarnation === 'earlier' || incarnation === 'unknown') {
      const details = { step: 'roster', server: id, incarnation };
      ctx.logger.debug('entry of another incarnation ignored', details);
      if (before && incarnation === 'unknown' && server.isDraining) noteDraining(before);
      return;
    }
    if (before && incarnation === 'later') endIncarnation(before);
    else if (before && before.id !== id) drop(before.id);
    incarnations.set(name, server);
    pendingRemoval.delete(id);
    lapsed.delete(id);
    servers.set(id, withDraining(server));
  };

  const removeByName = (name: string): void => {
    const id = incarnations.get(name)?.id;
    if (id === undefined || !servers.has(id)) return;
    const now = ctx.clock.now();
    if (hasFailedWithin(watch, now, REREGISTRATION_MS)) {
      if (!pendingRemoval.has(id))
        pendingRemoval.set(id, later(watch.recoveredAt() ?? now, REREGISTRATION_MS));
      return;
    }
    removeById(id, 'entry removed from the store');
  };

  const removeById = (id: InstanceId, reason: string): void => {
    pendingRemoval.delete(id);
    const server = servers.get(id);
    if (server) lapsed.set(id, server);
    forgetAt.set(id, later(ctx.clock.now(), REMOVED_RETENTION_MS));
    if (servers.delete(id)) ctx.logger.info('server gone', { step: 'roster', server: id, reason });
  };

  /**
   * Whether the entry is older than the known state of this incarnation, as in an older copy of the
   * store.
   */
  const isOutdated = ({ id, name, reportNumber }: BackendServer): boolean => {
    const before = incarnations.get(name);
    if (before?.id !== id || reportNumber === undefined) return false;
    const known = before.reportNumber ?? 0;
    return reportNumber < known || (reportNumber === known && !servers.has(id));
  };

  /**
   * Replaces the outdated entries of an older copy by the known ones, and drops those of removed
   * servers.
   */
  const replaceOutdated = (
    list: readonly Change<BackendServer>[],
  ): readonly Change<BackendServer>[] => {
    const outdated = new Set(list.filter(({ value }) => value && isOutdated(value)));
    if (outdated.size > 0) {
      const fields = { step: 'roster', servers: outdated.size, of: list.length };
      ctx.logger.info('entries of an older copy passed over', fields);
    }
    return list.flatMap((change) => {
      if (!outdated.has(change)) return [change];
      const known = incarnations.get(change.key);
      return known && servers.has(known.id) ? [{ key: change.key, value: known }] : [];
    });
  };

  const applyFromStore = (list: readonly Change<BackendServer>[], kind: ChangeKind): void => {
    applyChanges(kind === 'copy' ? replaceOutdated(list) : list, kind !== 'changes');
    const position = watch.position();
    changedAt = latest(changedAt, position);
    if (kind === 'changes') updates.next({ since: publishedUpTo, upTo: position, changes: list });
    publishedUpTo = position;
  };

  const applyChanges = (list: readonly Change<BackendServer>[], isComplete: boolean): void => {
    const seen = new Set<string>();
    for (const { key, value } of list) {
      seen.add(key);
      if (value) upsert(value);
      else removeByName(key);
    }
    if (isComplete) for (const name of incarnations.keys()) if (!seen.has(name)) removeByName(name);
    changes.next();
  };

  const maxAgeMs = (): number => ctx.tunables.value.leavingMs * MAX_AGE_SHARE;

  /** Until when the leader's view, as received here, is fresh enough. */
  const freshUntil = (since: MonoTime): MonoTime => {
    const leaderView = leader();
    if (
      !leaderView ||
      leaderView.progress.isStoreLost ||
      isLater(leaderView.progress.serversAt, watch.position())
    ) {
      return since;
    }
    return later(leaderView.at, maxAgeMs() - leaderView.progress.storeAgeMs);
  };

  const nextPollAt = (since: MonoTime): MonoTime => {
    if (isLeading()) return later(since, LEADER_POLL_DELAY_MS);
    const own = later(since, maxAgeMs());
    const leaderFresh = freshUntil(since);
    return leaderFresh > own ? leaderFresh : own;
  };

  const watch = watchFeed(ctx, {
    feed,
    apply: applyFromStore,
    freshUntil,
    nextPollAt,
    pausesWhenUnchanged: true,
    waitMs: () => maxAgeMs() * POLL_WAIT_SHARE,
  });

  const pruneRemoved = (): void => {
    const now = ctx.clock.now();
    for (const [id, until] of forgetAt) {
      if (now < until) continue;
      forgetAt.delete(id);
      lapsed.delete(id);
      ended.delete(id);
    }
    for (const [id, at] of leaving) {
      if (now >= later(at, REMOVED_RETENTION_MS) && !servers.has(id)) leaving.delete(id);
    }
    for (const [name, { id }] of incarnations) {
      if (!servers.has(id) && !forgetAt.has(id)) incarnations.delete(name);
    }
  };

  const removeDue = (): void => {
    if (pendingRemoval.size === 0 || watch.isFailing()) return;
    const now = ctx.clock.now();
    const due = [...pendingRemoval].filter(([, at]) => now >= at);
    for (const [id] of due) removeById(id, "entry did not return after the store's recovery");
    if (due.length > 0) changes.next();
  };

  return {
    servers,
    lapsed,
    ended,
    changes,
    news: updates,
    watch,
    noteLeaving: (id) => {
      if (leaving.has(id)) return false;
      leaving.set(id, ctx.clock.now());
      const server = servers.get(id);
      if (server && !server.isDraining) {
        servers.set(id, withDraining(server));
        changes.next();
      }
      return true;
    },
    changedAt: () => changedAt,
    adoptFromPeer: (at, list) => {
      if (!watch.isFailing() || !isLater(at, latest(watch.position(), changedAt))) return;
      changedAt = at;
      applyChanges(
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
      publishedUpTo = upTo;
      applyChanges(list, false);
    },
    tick: () => {
      removeDue();
      pruneRemoved();
    },
  };
}

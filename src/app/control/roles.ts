/**
 * Decides which instances this daemon probes: all of the domains it holds, and the members of the
 * groups it observes.
 */

import { hashCandidates, rankOf } from '../../core/groups/rank';
import type { Candidates } from '../../core/groups/rank';
import type { DaemonId, GroupId, InstanceId } from '../../core/ids';
import type { PeerInfo } from '../parts';
import type { ControlContext } from './context';
import type { Directory } from './directory';
import type { Leases } from './leases';
import { peersSignature } from './peers';
import type { Watches } from './watches';

/** The probing duties of this daemon. */
export interface Roles {
  /** Instances to probe, with their addresses. */
  targets(): ReadonlyMap<InstanceId, string>;
  /** Whether this daemon holds the group's domain or is one of the group's observers. */
  observes(group: GroupId): boolean;
  /** Whether this daemon is one of the few that read the instance list often, for all. */
  isLister(): boolean;
}

/** Number of daemons that read the instance list at the shortest interval. */
const MAX_LISTERS = 2;

interface CachedRank {
  readonly peers: string;
  readonly holder: DaemonId | undefined;
  readonly observes: boolean;
}

export function createRoles(
  ctx: ControlContext,
  directory: Directory,
  leases: Leases,
  watches: Watches,
): Roles {
  // Ranking all peers for all groups is expensive: cached until the peers or the holder change.
  const ranked = new Map<GroupId, CachedRank>();

  const isObserver = (group: GroupId, all: Candidates<PeerInfo>, peers: string): boolean => {
    const watch = watches.get(group);
    if (!watch) return false;
    const holder = leases.holderOf(watch.row.domain);
    const cached = ranked.get(group);
    if (cached?.peers === peers && cached.holder === holder) return cached.observes;
    const others = all.filter(
      ({ candidate }) => candidate.id !== holder && candidate.state !== 'leaving',
    );
    const zone = directory.domains().get(watch.row.domain);
    const isChosen = rankOf(`watch/${group}`, ctx.self, others, zone) < ctx.settings.observers;
    ranked.set(group, { peers, holder, observes: isChosen });
    return isChosen;
  };

  const isObserverNow = (group: GroupId): boolean => {
    const peers = ctx.membership.peers();
    return isObserver(group, hashCandidates(peers), peersSignature(peers));
  };

  return {
    targets: () => {
      const targets = new Map<InstanceId, string>();
      const peers = ctx.membership.peers();
      const signature = peersSignature(peers);
      const hashed = hashCandidates(peers);
      for (const domain of leases.domains()) {
        if (leases.holderOf(domain) !== ctx.self) continue;
        for (const { id, address } of directory.inDomain(domain)) targets.set(id, address);
      }
      for (const { id, row } of watches.all()) {
        const isOwn = leases.holderOf(row.domain) === ctx.self;
        if (!isOwn && !isObserver(id, hashed, signature)) continue;
        for (const { instance, address } of row.members) targets.set(instance, address);
      }
      for (const id of ranked.keys()) {
        if (!watches.get(id)) ranked.delete(id);
      }
      return targets;
    },
    observes: (group) => {
      const domain = watches.get(group)?.row.domain;
      const isOwn = domain !== undefined && leases.holderOf(domain) === ctx.self;
      return isOwn || isObserverNow(group);
    },
    isLister: () =>
      rankOf('instance-list', ctx.self, hashCandidates(ctx.membership.peers())) < MAX_LISTERS,
  };
}

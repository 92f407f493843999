/**
 * Links of this daemon to the backend servers: which servers it reaches only through a peer, and whether that
 * holds for all servers of a service.
 *
 * A connection that fails does not tell whether the server or this daemon's own link has failed. A peer that
 * reaches the server at the same time does: the server is then `blocked` for this daemon. A daemon is cut off
 * from a service once several of its servers are blocked and a sample shows none that it reaches directly.
 */

import { later } from '../ids';
import type { DaemonId, MonoTime, ServiceId, ZoneId } from '../ids';
import { rankByRendezvous } from '../membership/rendezvous';

/** A server by its address. */
export interface LinkedServer {
  readonly address: string;
  readonly service: ServiceId;
}

/** A server that a peer reaches and this daemon does not. */
interface Blocked extends LinkedServer {
  /** When a peer last reached it. */
  readonly confirmedAt: MonoTime;
  /** When a direct connection is tried again. */
  readonly recheckAt: MonoTime;
  /** When a request last needed it. */
  readonly usedAt: MonoTime;
}

export interface ServerLinks {
  /** By address. */
  readonly blocked: ReadonlyMap<string, Blocked>;
  /** Services none of whose servers is reached directly, and when a direct connection is tried again. */
  readonly cutOff: ReadonlyMap<ServiceId, MonoTime>;
  /** When a server of the service was last reached directly. */
  readonly reachedAt: ReadonlyMap<ServiceId, MonoTime>;
}

export const HEALTHY_LINKS: ServerLinks = {
  blocked: new Map(),
  cutOff: new Map(),
  reachedAt: new Map(),
};

/** Blocked servers by which a daemon knows that it is cut off; all of a service if it has fewer. */
const CUT_OFF_SERVERS = 3;
/** Confirmations of different servers within this time concern the same failure. */
const EVIDENCE_WINDOW_MS = 2_000;
/** Interval at which a direct connection is tried again. */
const RECHECK_INTERVAL_MS = 500;
/** A blocked server that no request needs is forgotten after this. */
const UNUSED_RETENTION_MS = 10_000;

/** Records that a peer reached the server while this daemon did not. */
export function noteBlocked(links: ServerLinks, server: LinkedServer, now: MonoTime): ServerLinks {
  const usedAt = links.blocked.get(server.address)?.usedAt ?? now;
  const recheckAt = later(now, RECHECK_INTERVAL_MS);
  const known: Blocked = { ...server, confirmedAt: now, recheckAt, usedAt };
  return { ...links, blocked: new Map(links.blocked).set(server.address, known) };
}

/** Servers of a service that were checked. */
export interface ServerSample {
  readonly service: ServiceId;
  readonly startedAt: MonoTime;
  /** Number of servers that the service has. */
  readonly servers: number;
}

/** Decides after the check of a sample whether the daemon is cut off from the service. */
export function noteSampled(
  links: ServerLinks,
  { service, startedAt, servers }: ServerSample,
  now: MonoTime,
): ServerLinks {
  const reachedAt = links.reachedAt.get(service) ?? -Infinity;
  if (reachedAt >= startedAt) return links;
  const evidence = [...links.blocked.values()].filter(
    ({ confirmedAt, ...server }) =>
      server.service === service &&
      confirmedAt > reachedAt &&
      now < later(confirmedAt, EVIDENCE_WINDOW_MS),
  );
  if (evidence.length < Math.min(CUT_OFF_SERVERS, servers)) return links;
  const cutOff = new Map(links.cutOff).set(service, later(now, RECHECK_INTERVAL_MS));
  return { ...links, cutOff };
}

/**
 * Records that a direct connection to the server succeeded. If the daemon was cut off from its service, the
 * other servers are tried again at once.
 */
export function noteReached(
  links: ServerLinks,
  { address, service }: LinkedServer,
  now: MonoTime,
): ServerLinks {
  const reachedAt = new Map(links.reachedAt).set(service, now);
  if (!links.cutOff.has(service) && !links.blocked.has(address)) return { ...links, reachedAt };
  const blocked = new Map(links.blocked);
  blocked.delete(address);
  if (links.cutOff.has(service)) {
    for (const [other, known] of blocked)
      if (known.service === service) blocked.set(other, { ...known, recheckAt: now });
  }
  const cutOff = new Map(links.cutOff);
  cutOff.delete(service);
  return { blocked, cutOff, reachedAt };
}

/** Records that no peer reaches the server either: it is not this daemon's link that failed. */
export function noteLost(links: ServerLinks, address: string): ServerLinks {
  if (!links.blocked.has(address)) return links;
  const blocked = new Map(links.blocked);
  blocked.delete(address);
  return { ...links, blocked };
}

/** Records that a request needs the server. */
export function noteUsed(links: ServerLinks, address: string, now: MonoTime): ServerLinks {
  const known = links.blocked.get(address);
  if (!known) return links;
  return { ...links, blocked: new Map(links.blocked).set(address, { ...known, usedAt: now }) };
}

/** Whether requests for the server go through a peer. */
export function isBlocked(
  { blocked, cutOff }: ServerLinks,
  { address, service }: LinkedServer,
): boolean {
  return cutOff.has(service) || blocked.has(address);
}

/** Whether this daemon is known not to reach some servers of the service. */
export function hasFailuresIn({ blocked, cutOff }: ServerLinks, service: ServiceId): boolean {
  if (cutOff.has(service)) return true;
  return [...blocked.values()].some((known) => known.service === service);
}

/** What a direct connection is to be tried to now. */
export interface Rechecks {
  readonly links: ServerLinks;
  readonly servers: readonly LinkedServer[];
  /** Any server of these services. */
  readonly services: readonly ServiceId[];
}

/**
 * Takes the servers to try again, `max` at most, and forgets those that no request needs. Of a service that the
 * daemon is cut off from, one server is tried at a time: all of them come back together.
 */
export function takeRechecks(links: ServerLinks, now: MonoTime, max: number): Rechecks {
  const services = [...links.cutOff].flatMap(([service, at]) => (now >= at ? service : []));
  const kept = [...links.blocked.values()].filter(
    ({ service, usedAt }) => links.cutOff.has(service) || now < later(usedAt, UNUSED_RETENTION_MS),
  );
  const servers = kept
    .filter(({ service, recheckAt }) => !links.cutOff.has(service) && now >= recheckAt)
    .slice(0, max);
  if (services.length === 0 && servers.length === 0 && kept.length === links.blocked.size)
    return { links, servers, services };
  const recheckAt = later(now, RECHECK_INTERVAL_MS);
  const blocked = new Map(kept.map((known) => [known.address, known]));
  for (const known of servers) {
    // At the end, so that each gets its turn.
    blocked.delete(known.address);
    blocked.set(known.address, { ...known, recheckAt });
  }
  const cutOff = new Map(links.cutOff);
  for (const service of services) cutOff.set(service, recheckAt);
  return { links: { ...links, blocked, cutOff }, servers, services };
}

/** Forgets a service that has no servers any more. */
export function forgetService(links: ServerLinks, service: ServiceId): ServerLinks {
  const cutOff = new Map(links.cutOff);
  cutOff.delete(service);
  return { ...links, cutOff };
}

/** A daemon that may forward requests. */
export interface ForwardPeer {
  readonly id: DaemonId;
  readonly zone: ZoneId | undefined;
  /** `host:port` at which it takes requests to forward; undefined if it takes none. */
  readonly forwardAddress: string | undefined;
  /** Services that it does not reach itself. */
  readonly cutOff: ReadonlySet<ServiceId>;
  readonly isStopping: boolean;
}

export interface ForwardPeerOptions {
  readonly self: DaemonId;
  readonly zone: ZoneId;
  /** Service of the server that is to be reached. */
  readonly service: ServiceId;
  readonly isFailing: (peer: DaemonId) => boolean;
}

/** Peers among which one daemon spreads its requests; few, so that their connections are reused. */
const MAX_FORWARD_PEERS = 6;

function listUsable(
  peers: readonly ForwardPeer[],
  { service, isFailing }: Pick<ForwardPeerOptions, 'service' | 'isFailing'>,
): readonly ForwardPeer[] {
  return peers.filter(
    ({ id, forwardAddress, cutOff, isStopping }) =>
      forwardAddress !== undefined && !cutOff.has(service) && !isStopping && !isFailing(id),
  );
}

/**
 * Peers to ask whether they reach a server, the first ones first: by turns from other zones and the own one, as
 * links often fail for a whole zone. `shuffle` returns the peers in random order.
 */
export function chooseObservers(
  peers: readonly ForwardPeer[],
  options: ForwardPeerOptions,
  shuffle: (all: readonly ForwardPeer[]) => readonly ForwardPeer[],
): readonly ForwardPeer[] {
  const usable = shuffle(listUsable(peers, options));
  const far = usable.filter(({ zone }) => zone !== options.zone);
  const near = usable.filter(({ zone }) => zone === options.zone);
  const longest = Math.max(far.length, near.length);
  return Array.from({ length: longest }, (_, n) => [
    ...far.slice(n, n + 1),
    ...near.slice(n, n + 1),
  ]).flat();
}

/**
 * The peers that one daemon forwards through. Those of its own zone come first, unless most of the zone is cut
 * off: the rest of it would get too much. Different daemons choose different peers.
 */
export function chooseForwardPeers(
  peers: readonly ForwardPeer[],
  options: ForwardPeerOptions,
): readonly ForwardPeer[] {
  const { self, zone } = options;
  const usable = listUsable(peers, options);
  const inZone = usable.filter((peer) => peer.zone === zone);
  const zoneSize = 1 + peers.filter((peer) => peer.zone === zone).length;
  const from = 2 * inZone.length >= zoneSize ? inZone : usable;
  const byId = new Map(from.map((peer) => [peer.id, peer]));
  return rankByRendezvous(self, [...byId.keys()])
    .slice(0, MAX_FORWARD_PEERS)
    .flatMap((id) => byId.get(id) ?? []);
}

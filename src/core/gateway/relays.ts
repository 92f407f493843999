/**
 * Chooses the daemons that relay a leader's messages, and the peers that each relays to.
 *
 * Load pattern: the leader sends hundreds of daemons the loads of all and the changes of servers, several times
 * a second. Sent to each directly, its bytes and writes grow with the fleet and saturate its link and
 * processor long before those of the others: it is then late in planning groups and renewing its lease. With
 * relays each daemon sends to about the square root of the fleet.
 *
 * A relay is a daemon from which a report was received very recently; one that becomes silent is replaced with
 * the next message. Daemons without a recent report are sent to directly, so that only the failure of a relay
 * can separate the leader from a live daemon.
 */

import type { DaemonId, MonoTime, ZoneId } from '../ids';
import { later } from '../ids';
import { rankByRendezvous } from '../membership/rendezvous';

/** A peer of the leader. */
export interface RelayPeer {
  readonly id: DaemonId;
  readonly address: string;
  readonly zone: ZoneId;
  /** Processor cores that the daemon may use. */
  readonly cores: number;
  readonly isStopping: boolean;
  /** Whether it receives the leader's messages. */
  readonly hearsLeader: boolean;
  /** When its last report was received. */
  readonly at: MonoTime;
}

/** Times after which peers are no longer used as relays or reached through one. */
export interface RelayOptions {
  /** A relay must have reported within this time, milliseconds: three reports of a daemon to its leader. */
  readonly relayFreshMs: number;
  /** A peer without a report for this long may be unreachable for its relay and is sent to directly; milliseconds. */
  readonly peerFreshMs: number;
}

export const RELAY_DEFAULTS: RelayOptions = { relayFreshMs: 700, peerFreshMs: 1_200 };

/** Addresses to send a message to, each with the addresses that it relays the message to. */
export type FanOut = ReadonlyMap<string, readonly string[]>;

/** Relays of a zone: the daemons with the most cores, ties by their rendezvous rank for the zone. */
function pickRelays(zone: ZoneId, peers: readonly RelayPeer[], count: number): RelayPeer[] {
  const order = rankByRendezvous(
    zone,
    peers.map(({ id }) => id),
  );
  const rank = new Map(order.map((id, index) => [id, index]));
  const rankOf = ({ id }: RelayPeer): number => rank.get(id) ?? 0;
  return [...peers].sort((a, b) => b.cores - a.cores || rankOf(a) - rankOf(b)).slice(0, count);
}

function byZone(peers: readonly RelayPeer[]): ReadonlyMap<ZoneId, RelayPeer[]> {
  const zones = new Map<ZoneId, RelayPeer[]>();
  for (const peer of peers) {
    const members = zones.get(peer.zone);
    if (members) members.push(peer);
    else zones.set(peer.zone, [peer]);
  }
  return zones;
}

/** Assigns a leader's peers to relays in their own zones. */
export function planFanOut(
  peers: readonly RelayPeer[],
  now: MonoTime,
  { relayFreshMs, peerFreshMs }: RelayOptions = RELAY_DEFAULTS,
): FanOut {
  const fanOut = new Map<string, string[]>();
  const isReachable = ({ at, hearsLeader }: RelayPeer): boolean =>
    hearsLeader && now < later(at, peerFreshMs);
  const reachable = peers.filter(isReachable);
  for (const peer of peers) if (!isReachable(peer)) fanOut.set(peer.address, []);
  for (const [zone, members] of byZone(reachable)) {
    const eligible = members.filter(
      ({ at, isStopping }) => !isStopping && now < later(at, relayFreshMs),
    );
    // All zones together get about the square root of the number of peers.
    const count = Math.max(1, Math.round(members.length / Math.sqrt(reachable.length)));
    assign(fanOut, members, pickRelays(zone, eligible, count));
  }
  return fanOut;
}

/** Adds a zone's relays, each with its part of the other members; without a relay all are sent to directly. */
function assign(
  fanOut: Map<string, string[]>,
  members: readonly RelayPeer[],
  relays: readonly RelayPeer[],
): void {
  const chosen = new Set(relays.map(({ address }) => address));
  for (const address of chosen) fanOut.set(address, []);
  const others = members.filter(({ address }) => !chosen.has(address));
  others.forEach(({ address }, i) => {
    const relay = relays[i % Math.max(1, relays.length)];
    if (relay) fanOut.get(relay.address)?.push(address);
    else fanOut.set(address, []);
  });
}

/**
 * Which daemons pass a leader's messages on, and to whom.
 *
 * Load pattern: one daemon tells hundreds of others several times a second what all have running and
 * what changed among the servers. Sent to each, its bytes and writes grow with the fleet, and its own
 * link and processor are full long before those of the others: it is then late with groups and with its
 * lease. Through relays each daemon sends to about the square root of the fleet.
 *
 * A relay is a daemon that was heard of within the last moments; one that falls silent is replaced with
 * the next message. Daemons that were not heard of lately are told directly, so that nothing but a
 * failed relay stands between the leader and a daemon that lives.
 */

import type { DaemonId, MonoTime, ZoneId } from '../ids';
import { later } from '../ids';
import { rankByRendezvous } from '../membership/rendezvous';

export interface RelayPeer {
  readonly id: DaemonId;
  readonly address: string;
  readonly zone: ZoneId;
  /** Processor cores that the daemon may use. */
  readonly cores: number;
  readonly isStopping: boolean;
  /** Whether what the leader says reaches it. */
  readonly hearsLeader: boolean;
  /** When it was last heard of. */
  readonly at: MonoTime;
}

export interface RelayOptions {
  /** A relay was heard of within this time, milliseconds: three statements of a daemon to its leader. */
  readonly relayFreshMs: number;
  /** A peer that was not heard of for so long may be out of its relay's reach: it is told directly. */
  readonly peerFreshMs: number;
}

export const RELAY_DEFAULTS: RelayOptions = { relayFreshMs: 700, peerFreshMs: 1_200 };

/** Whom to send a message to, and to whom each of them passes it on. */
export type FanOut = ReadonlyMap<string, readonly string[]>;

/** Relays of a zone: the strongest daemons first, among equals by their rank for the zone. */
function pickRelays(zone: ZoneId, peers: readonly RelayPeer[], count: number): RelayPeer[] {
  const order = rankByRendezvous(
    zone,
    peers.map(({ id }) => id),
  );
  const rank = new Map(order.map((id, place) => [id, place]));
  const rankOf = ({ id }: RelayPeer): number => rank.get(id) ?? 0;
  return [...peers].sort((a, b) => b.cores - a.cores || rankOf(a) - rankOf(b)).slice(0, count);
}

function byZone(peers: readonly RelayPeer[]): ReadonlyMap<ZoneId, RelayPeer[]> {
  const zones = new Map<ZoneId, RelayPeer[]>();
  for (const peer of peers) {
    const found = zones.get(peer.zone);
    if (found) found.push(peer);
    else zones.set(peer.zone, [peer]);
  }
  return zones;
}

/** Divides a leader's peers among relays of their own zones. */
export function planFanOut(
  peers: readonly RelayPeer[],
  now: MonoTime,
  { relayFreshMs, peerFreshMs }: RelayOptions = RELAY_DEFAULTS,
): FanOut {
  const fanOut = new Map<string, string[]>();
  const isNear = ({ at, hearsLeader }: RelayPeer): boolean =>
    hearsLeader && now < later(at, peerFreshMs);
  const near = peers.filter(isNear);
  for (const peer of peers) if (!isNear(peer)) fanOut.set(peer.address, []);
  for (const [zone, members] of byZone(near)) {
    const able = members.filter(
      ({ at, isStopping }) => !isStopping && now < later(at, relayFreshMs),
    );
    // All zones together have the square root of the fleet.
    const count = Math.max(1, Math.round(members.length / Math.sqrt(near.length)));
    divide(fanOut, members, pickRelays(zone, able, count));
  }
  return fanOut;
}

/** Enters the relays of a zone, each with its part of the other members; without a relay all are told directly. */
function divide(
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

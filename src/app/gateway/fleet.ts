/**
 * The other daemons of the fleet: their addresses, the last state received from each, and messages
 * to them.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { createPeers } from '../../adapters/peers/peers';
import type { Prepared } from '../../adapters/peers/peers';
import { listUnresponsive } from '../../core/gateway/limits/share';
import { isLinkUnresponsive, noteLinkSend } from '../../core/gateway/link-health';
import type { LinkActivity } from '../../core/gateway/link-health';
import { brandAs, later } from '../../core/ids';
import type { DaemonId, MonoTime } from '../../core/ids';
import { rankSuccessors } from '../../core/gateway/succession';
import type { CoreCounts } from '../../core/gateway/succession';
import type { Change, DaemonEntry, Feed } from '../../ports/gateway';
import { sample } from '../../utils/common';
import type { GatewayContext } from './context';
import { parseGatewayMessage } from './messages';
import type { GatewayMessage, LeaderMessage, PeerState, PlainMessage } from './messages';
import { createPeerReach } from './peer-reach';
import type { PeerReach } from './peer-reach';
import type { ReceivedMessage, Leader, PeerView } from './peer-view';
import { createRelaying } from './relaying';
import { watchFeed } from './watch';

export interface Fleet extends PeerReach {
  /** Peers that were heard from recently. */
  live(): readonly PeerView[];
  /** The peer that most recently claimed the lease, if that was not too long ago. */
  leader(): Leader | undefined;
  /** Running daemons, this one included, as far as known. */
  size(): number;
  /** Whether there are too many daemons for each to exchange state with every other. */
  isLarge(): boolean;
  /**
   * Daemons that may be running: heard from recently or registered in the store, without those that
   * are stopping.
   */
  candidates(): CoreCounts;
  /** Registered daemons that do not respond, as reported by the leader if there is one. */
  silent(): readonly DaemonId[];
  readonly received: Observable<ReceivedMessage>;
  /** Addresses whose links broke or could not be established. */
  readonly unreachable: Observable<string>;
  send(address: string, message: PlainMessage): void;
  /** Encodes a large message that is sent to several daemons, one by one. */
  prepare(message: PlainMessage): Prepared;
  /** Sends to daemons whose addresses are known. */
  sendTo(daemons: readonly DaemonId[], message: PlainMessage): void;
  broadcast(message: PlainMessage): void;
  /**
   * Sends a message of this daemon, the leader, to all daemons; in a large fleet through relays.
   */
  broadcastAsLeader(message: LeaderMessage): void;
  /**
   * Sends this daemon's state to the leader; in a large fleet through the relay that delivered the
   * leader's last message.
   */
  answer(leader: Leader, message: PeerState): void;
  /** Forwards the states collected from peers to the leader. */
  tick(): void;
  /**
   * Sends to the daemons most likely to lead now or soon: a leader sends its updates to every
   * daemon it has heard from.
   */
  sendToLikelyLeaders(message: PlainMessage): void;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Silence after which a peer's last state message is stale: a few of its intervals. */
const PEER_FRESH_MS = 1_500;
/** Added for each known peer: in a large fleet each daemon broadcasts less often. */
const FRESH_PER_PEER_MS = 40;
/** Handshakes time out early: state is sent again anyway. */
const HANDSHAKE_TIMEOUT_MS = 1_000;
const MAX_BACKOFF_MS = 1_000;
/** A fleet with more daemons than this communicates through its leader. */
const MAX_DIRECT_DAEMONS = 13;
/** Silence after which a leader is considered lost: it broadcasts several times in that time. */
const LEADER_FRESH_MS = 1_200;
/**
 * While no leader is heard, state goes to this many of the first candidates for the lease and to as
 * many random ones.
 */
const LIKELY_LEADERS = 3;
/** Name of the lease that the leader holds; daemons rank themselves by it. */
export const LEASE_NAME = 'groups';
/**
 * Daemons register one after the other at startup; entries are read together after this delay.
 * Until then a daemon is known by its own messages.
 */
const ENTRIES_POLL_DELAY_MS = 3_000;
/** Poll delay once a leader is heard, which reports the number of daemons. */
const LED_ENTRIES_POLL_DELAY_MS = 10_000;
/**
 * Entries change seldom, and a poll that is never answered does no harm: daemons are known by their
 * messages too.
 */
const ENTRIES_WAIT_MS = 15_000;
/** A peer that was silent for this long is considered permanently stopped. */
const PEER_RETENTION_MS = 60_000;

export function createFleet(ctx: GatewayContext, entryFeed: Feed<DaemonEntry>): Fleet {
  const { settings, clock } = ctx;
  const peers = createPeers<GatewayMessage>({
    self: { id: settings.id, address: settings.peerListen },
    ...(settings.peerBind !== undefined && { listen: settings.peerBind }),
    secret: settings.peerSecret,
    parse: parseGatewayMessage,
    clock,
    random: ctx.random,
    logger: ctx.logger,
    settings: { handshakeMs: HANDSHAKE_TIMEOUT_MS, longestMs: MAX_BACKOFF_MS },
    onMessage: (way, kind, bytes) => {
      ctx.metrics.count(`nutmegstack_peer_${way}_bytes_total`, { kind }, bytes);
    },
  });
  /** Daemon entries of the store. */
  const entries = new Map<DaemonId, DaemonEntry>();
  const peerViews = new Map<DaemonId, PeerView>();
  const received = new Subject<ReceivedMessage>();
  /** By address: when a peer was last heard from, and what is being sent to it. */
  const lastHeardAt = new Map<string, MonoTime>();
  const linkActivity = new Map<string, LinkActivity>();

  const watch = watchFeed(ctx, {
    feed: entryFeed,
    waitMs: () => ENTRIES_WAIT_MS,
    freshUntil: (now) => later(now, ENTRIES_WAIT_MS),
    nextPollAt: (since) =>
      later(since, leader() ? LED_ENTRIES_POLL_DELAY_MS : ENTRIES_POLL_DELAY_MS),
    apply: (changes: readonly Change<DaemonEntry>[], kind) => {
      // An older copy may lack running daemons; they register again.
      if (kind === 'whole') entries.clear();
      for (const { key, value } of changes) {
        const id = brandAs<DaemonId>(key);
        if (value === undefined) entries.delete(id);
        else entries.set(id, value);
      }
    },
  });

  let lastLeader: Leader | undefined;
  const noteLeader = ({ from: id, address, via, message }: ReceivedMessage): void => {
    const at = clock.now();
    if (message.kind === 'loads') {
      const { daemons, silent, cutOff } = message;
      lastLeader = { id, address, via, at, progress: message, daemons, silent, cutOff };
    } else if (message.kind === 'state' && message.lease) {
      lastLeader = { id, address, via, at, progress: message };
    }
  };

  const receive = (incoming: ReceivedMessage): void => {
    const { from, address, message } = incoming;
    if (message.kind === 'state') {
      peerViews.set(from, { ...message, id: from, address, at: clock.now() });
    }
    noteLeader(incoming);
    received.next(incoming);
  };

  peers.received.subscribe(({ from, address, message }) => {
    lastHeardAt.set(address, clock.now());
    if (message.kind === 'relayed') {
      receive(relaying.forward(message, address));
      return;
    }
    if (message.kind === 'states') {
      for (const entry of message.states) {
        if (entry.id === settings.id) continue;
        receive({ from: entry.id, address: entry.address, via: address, message: entry.state });
      }
      return;
    }
    if (message.kind === 'state' && isLarge()) relaying.collect(from, address, message);
    receive({ from, address, via: address, message });
  });

  const live = (): PeerView[] => {
    const now = clock.now();
    const freshMs = PEER_FRESH_MS + FRESH_PER_PEER_MS * peerViews.size;
    return [...peerViews.values()].filter(({ at }) => now < later(at, freshMs));
  };

  const leader = (): Leader | undefined =>
    lastLeader && clock.now() < later(lastLeader.at, LEADER_FRESH_MS) ? lastLeader : undefined;

  const size = (): number => Math.max(live().length + 1, leader()?.daemons ?? 0);

  const isLarge = (): boolean => Math.max(size(), entries.size) > MAX_DIRECT_DAEMONS;

  const candidates = (): Map<DaemonId, number> => {
    const all = new Map<DaemonId, number>([[settings.id, settings.cores]]);
    for (const [id, { cores }] of entries) all.set(id, cores);
    for (const { id, cores, isStopping } of live()) {
      if (isStopping) all.delete(id);
      else all.set(id, cores);
    }
    return all;
  };

  const silent = (): readonly DaemonId[] => {
    const reported = leader()?.silent;
    if (reported) return reported;
    const responsive = new Set([settings.id, ...live().map(({ id }) => id)]);
    return listUnresponsive([...entries.keys()], responsive);
  };

  const reach = createPeerReach({ self: settings.id, entries, live, leader, silent });

  const addresses = (): Set<string> => {
    const all = new Set<string>(ctx.tunables.value.seeds);
    for (const { address } of entries.values()) all.add(address);
    for (const { address } of peerViews.values()) all.add(address);
    all.delete(settings.peerListen);
    return all;
  };

  const addressOf = (id: DaemonId): string | undefined =>
    entries.get(id)?.address ?? peerViews.get(id)?.address;

  const likelyLeaders = (): Set<string> => {
    const others = rankSuccessors(LEASE_NAME, candidates()).filter((id) => id !== settings.id);
    const first = others.slice(0, LIKELY_LEADERS);
    const sampled = sample(others, LIKELY_LEADERS, () => ctx.random.next());
    const found = [...first, ...sampled].flatMap((id) => addressOf(id) ?? []);
    const all = new Set([...ctx.tunables.value.seeds, ...found]);
    // A leader that is no longer heard may only have lost its link to this daemon.
    if (lastLeader && candidates().has(lastLeader.id)) all.add(lastLeader.address);
    all.delete(settings.peerListen);
    return all;
  };

  /** Forgets peers that are permanently stopped, so that no daemon keeps dialing them. */
  const prunePeers = (): void => {
    const now = clock.now();
    for (const [id, { at }] of peerViews)
      if (now >= later(at, PEER_RETENTION_MS)) peerViews.delete(id);
    for (const [address, at] of lastHeardAt)
      if (now >= later(at, PEER_RETENTION_MS)) lastHeardAt.delete(address);
    for (const [address, { lastSentAt: spokeAt }] of linkActivity) {
      if (now >= later(spokeAt, PEER_RETENTION_MS)) linkActivity.delete(address);
    }
  };

  /** Drops the link to a peer that is expected to reply but has become unresponsive. */
  const resetSilentLink = (address: string, now: MonoTime): void => {
    const { settleMs } = ctx.tunables.value;
    const activity = noteLinkSend(linkActivity.get(address), now, settleMs);
    linkActivity.set(address, activity);
    if (!isLinkUnresponsive(activity, lastHeardAt.get(address), now, settleMs)) return;
    ctx.logger.info('peer unresponsive, reconnecting', { step: 'peer-link', peer: address });
    linkActivity.delete(address);
    peers.drop(address);
  };

  /** Sends a message that peers reply to, reconnecting to those that have become unresponsive. */
  const sendExpectingReply = (addresses: Iterable<string>, message: GatewayMessage): void => {
    const now = clock.now();
    const to = [...addresses];
    for (const address of to) resetSilentLink(address, now);
    peers.sendToAll(to, message);
  };

  const relaying = createRelaying(ctx, {
    sendExpectingReply,
    sendToAll: (addresses, message) => {
      peers.sendToAll(addresses, message);
    },
  });

  const broadcast = (message: PlainMessage): void => {
    prunePeers();
    const isAnswered = message.kind === 'state' || message.kind === 'loads';
    if (isAnswered) sendExpectingReply(addresses(), message);
    else peers.sendToAll(addresses(), message);
  };

  return {
    live,
    leader,
    size,
    isLarge,
    candidates,
    silent,
    ...reach,
    received,
    unreachable: peers.unreachable,
    send: (address, message) => {
      peers.send(address, message);
    },
    prepare: (message) => peers.prepare(message),
    sendTo: (daemons, message) => {
      peers.sendToAll(
        daemons.flatMap((id) => addressOf(id) ?? []),
        message,
      );
    },
    broadcast,
    broadcastAsLeader: (message) => {
      if (!isLarge()) {
        broadcast(message);
        return;
      }
      prunePeers();
      relaying.broadcast(message, live(), addresses());
    },
    answer: ({ via }, message) => {
      peers.send(via, message);
    },
    tick: () => {
      relaying.flush(leader());
    },
    sendToLikelyLeaders: (message) => {
      const likely = likelyLeaders();
      if (lastLeader && likely.delete(lastLeader.address))
        sendExpectingReply([lastLeader.address], message);
      peers.sendToAll(likely, message);
    },
    start: () => peers.start(),
    stop: () => {
      watch.stop();
      return peers.stop();
    },
  };
}

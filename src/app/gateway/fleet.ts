/** The other daemons: who they are, and what each of them said last. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { createPeers } from '../../adapters/peers/peers';
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
import type { ReceivedMessage, Leader, PeerView } from './peer-view';
import { createRelaying } from './relaying';
import { watchFeed } from './watch';

export interface Fleet {
  /** Peers that were heard of lately. */
  live(): readonly PeerView[];
  /** The peer that said last, and lately, that it holds the lease. */
  leader(): Leader | undefined;
  /** Daemons at work, this one included, as far as is known. */
  size(): number;
  /** Whether there are too many daemons for each to tell each what it knows. */
  isLarge(): boolean;
  /** Daemons that may be at work: heard of lately, or entered in the store; without those that stop. */
  candidates(): CoreCounts;
  /** Entered daemons that give no sign, as those say that hear most of them. */
  silent(): readonly DaemonId[];
  readonly received: Observable<ReceivedMessage>;
  /** Addresses whose links broke or could not be made. */
  readonly unreachable: Observable<string>;
  send(address: string, message: PlainMessage): void;
  /** Sends to daemons whose addresses are known. */
  sendTo(daemons: readonly DaemonId[], message: PlainMessage): void;
  broadcast(message: PlainMessage): void;
  /** Tells all daemons what this one, their leader, has to say; in a large fleet through relays. */
  broadcastAsLeader(message: LeaderMessage): void;
  /** Tells the leader what this daemon has to say; in a large fleet through the relay that it was heard by. */
  answer(leader: Leader, message: PeerState): void;
  /** Sends on what peers have for the leader. */
  tick(): void;
  /** Sends to those that are most likely to lead, or soon will: a leader tells everyone it has heard of. */
  sendToLikelyLeaders(message: PlainMessage): void;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Silence after which a peer's last state message is stale: a few of its intervals. */
const PEER_FRESH_MS = 1_500;
/** Added for each peer known: in a large fleet each broadcasts less often. */
const FRESH_PER_PEER_MS = 40;
/** A waiting link is given up soon: state is sent again anyway. */
const HANDSHAKE_MS = 1_000;
const LONGEST_BACKOFF_MS = 1_000;
/** A fleet with more daemons than this speaks by way of its leader. */
const DIRECT_DAEMONS = 13;
/** Silence after which a leader counts as gone: it broadcasts several times in that time. */
const LEADER_FRESH_MS = 1_200;
/** So many of the first in line for the lease, and as many others, are told where no leader is heard of. */
const LIKELY_LEADERS = 3;
/** The lease that the leader holds; daemons rank themselves by its name. */
export const LEASE_NAME = 'groups';
/**
 * Daemons enter themselves one after the other at a start, and are read together after this. Until
 * then a daemon is known by its own messages.
 */
const ENTRIES_REST_MS = 3_000;
/** The same once a leader is heard, which tells how many daemons there are. */
const LED_ENTRIES_REST_MS = 10_000;
/** Entries change seldom, and a poll that fell silent harms nobody: daemons are known by their messages too. */
const ENTRIES_WAIT_MS = 15_000;
/** A peer that has been silent for so long has ended for good. */
const FORGET_MS = 60_000;

export function createFleet(ctx: GatewayContext, entries: Feed<DaemonEntry>): Fleet {
  const { settings, clock } = ctx;
  const peers = createPeers<GatewayMessage>({
    self: { id: settings.id, address: settings.peerListen },
    ...(settings.peerBind !== undefined && { listen: settings.peerBind }),
    secret: settings.peerSecret,
    parse: parseGatewayMessage,
    clock,
    random: ctx.random,
    logger: ctx.logger,
    settings: { handshakeMs: HANDSHAKE_MS, longestMs: LONGEST_BACKOFF_MS },
  });
  /** Entries of the store. */
  const known = new Map<DaemonId, DaemonEntry>();
  const heard = new Map<DaemonId, PeerView>();
  const received = new Subject<ReceivedMessage>();
  /** By address: when a peer was last heard of, and what it is being told. */
  const heardAt = new Map<string, MonoTime>();
  const conversations = new Map<string, LinkActivity>();

  const watch = watchFeed(ctx, {
    feed: entries,
    waitMs: () => ENTRIES_WAIT_MS,
    freshUntil: (now) => later(now, ENTRIES_WAIT_MS),
    nextPollAt: (since) => later(since, leader() ? LED_ENTRIES_REST_MS : ENTRIES_REST_MS),
    apply: (changes: readonly Change<DaemonEntry>[], kind) => {
      // An older copy may lack daemons that live; they enter themselves again.
      if (kind === 'whole') known.clear();
      for (const { key, value } of changes) {
        const id = brandAs<DaemonId>(key);
        if (value === undefined) known.delete(id);
        else known.set(id, value);
      }
    },
  });

  let lastLeader: Leader | undefined;
  const noteLeader = ({ from: id, address, via, message }: ReceivedMessage): void => {
    const at = clock.now();
    if (message.kind === 'loads') {
      const { daemons, silent } = message;
      lastLeader = { id, address, via, at, progress: message, daemons, silent };
    } else if (message.kind === 'state' && message.lease) {
      lastLeader = { id, address, via, at, progress: message };
    }
  };

  const take = (arrived: ReceivedMessage): void => {
    const { from, address, message } = arrived;
    if (message.kind === 'state') {
      heard.set(from, { ...message, id: from, address, at: clock.now() });
    }
    noteLeader(arrived);
    received.next(arrived);
  };

  peers.received.subscribe(({ from, address, message }) => {
    heardAt.set(address, clock.now());
    if (message.kind === 'relayed') {
      take(relaying.forward(message, address));
      return;
    }
    if (message.kind === 'states') {
      for (const entry of message.states) {
        if (entry.id === settings.id) continue;
        take({ from: entry.id, address: entry.address, via: address, message: entry.state });
      }
      return;
    }
    if (message.kind === 'state' && isLarge()) relaying.collect(from, address, message);
    take({ from, address, via: address, message });
  });

  const live = (): PeerView[] => {
    const now = clock.now();
    const freshMs = PEER_FRESH_MS + FRESH_PER_PEER_MS * heard.size;
    return [...heard.values()].filter(({ at }) => now < later(at, freshMs));
  };

  const leader = (): Leader | undefined =>
    lastLeader && clock.now() < later(lastLeader.at, LEADER_FRESH_MS) ? lastLeader : undefined;

  const size = (): number => Math.max(live().length + 1, leader()?.daemons ?? 0);

  const isLarge = (): boolean => Math.max(size(), known.size) > DIRECT_DAEMONS;

  const candidates = (): Map<DaemonId, number> => {
    const all = new Map<DaemonId, number>([[settings.id, settings.cores]]);
    for (const [id, { cores }] of known) all.set(id, cores);
    for (const { id, cores, isStopping } of live()) {
      if (isStopping) all.delete(id);
      else all.set(id, cores);
    }
    return all;
  };

  const silent = (): readonly DaemonId[] => {
    const told = leader()?.silent;
    if (told) return told;
    const heardNow = new Set([settings.id, ...live().map(({ id }) => id)]);
    return listUnresponsive([...known.keys()], heardNow);
  };

  const addresses = (): Set<string> => {
    const all = new Set<string>(ctx.tunables.value.seeds);
    for (const { address } of known.values()) all.add(address);
    for (const { address } of heard.values()) all.add(address);
    all.delete(settings.peerListen);
    return all;
  };

  const addressOf = (id: DaemonId): string | undefined =>
    known.get(id)?.address ?? heard.get(id)?.address;

  const likelyLeaders = (): Set<string> => {
    const others = rankSuccessors(LEASE_NAME, candidates()).filter((id) => id !== settings.id);
    const first = others.slice(0, LIKELY_LEADERS);
    const drawn = sample(others, LIKELY_LEADERS, () => ctx.random.next());
    const found = [...first, ...drawn].flatMap((id) => addressOf(id) ?? []);
    const all = new Set([...ctx.tunables.value.seeds, ...found]);
    // A leader that is no longer heard of may only have lost its link to here.
    if (lastLeader && candidates().has(lastLeader.id)) all.add(lastLeader.address);
    all.delete(settings.peerListen);
    return all;
  };

  /** Peers that ended for good are forgotten, so that nobody dials them for ever. */
  const forgetSilent = (): void => {
    const now = clock.now();
    for (const [id, { at }] of heard) if (now >= later(at, FORGET_MS)) heard.delete(id);
    for (const [address, at] of heardAt) if (now >= later(at, FORGET_MS)) heardAt.delete(address);
    for (const [address, { lastSentAt: spokeAt }] of conversations) {
      if (now >= later(spokeAt, FORGET_MS)) conversations.delete(address);
    }
  };

  /** Breaks the link to a peer that answers what it is told now and has fallen silent. */
  const renewSilent = (address: string, now: MonoTime): void => {
    const { settleMs } = ctx.tunables.value;
    const conversation = noteLinkSend(conversations.get(address), now, settleMs);
    conversations.set(address, conversation);
    if (!isLinkUnresponsive(conversation, heardAt.get(address), now, settleMs)) return;
    ctx.logger.info('peer is silent, link made anew', { step: 'peer-link', peer: address });
    conversations.delete(address);
    peers.drop(address);
  };

  /** Sends what peers answer, over new links to those that have fallen silent. */
  const tell = (addresses: Iterable<string>, message: GatewayMessage): void => {
    const now = clock.now();
    const to = [...addresses];
    for (const address of to) renewSilent(address, now);
    peers.sendToAll(to, message);
  };

  const relaying = createRelaying(ctx, {
    sendExpectingReply: tell,
    sendToAll: (addresses, message) => {
      peers.sendToAll(addresses, message);
    },
  });

  const broadcast = (message: PlainMessage): void => {
    forgetSilent();
    const isAnswered = message.kind === 'state' || message.kind === 'loads';
    if (isAnswered) tell(addresses(), message);
    else peers.sendToAll(addresses(), message);
  };

  return {
    live,
    leader,
    size,
    isLarge,
    candidates,
    silent,
    received,
    unreachable: peers.unreachable,
    send: (address, message) => {
      peers.send(address, message);
    },
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
      forgetSilent();
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
      if (lastLeader && likely.delete(lastLeader.address)) tell([lastLeader.address], message);
      peers.sendToAll(likely, message);
    },
    start: () => peers.start(),
    stop: () => {
      watch.stop();
      return peers.stop();
    },
  };
}

/** The other daemons: who they are, and what each of them said last. */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import { createPeers } from '../../adapters/peers/peers';
import { later } from '../../core/ids';
import type { DaemonId, MonoTime } from '../../core/ids';
import type { Change, Feed } from '../../ports/gateway';
import type { GatewayContext } from './context';
import { parseGatewayMessage } from './messages';
import type { GatewayMessage, PeerState } from './messages';
import { watchFeed } from './watch';

/** A message with its sender. */
export interface FromPeer {
  readonly from: DaemonId;
  readonly address: string;
  readonly message: GatewayMessage;
}

export interface PeerView extends PeerState {
  readonly id: DaemonId;
  readonly address: string;
  readonly at: MonoTime;
}

export interface Fleet {
  /** Peers that were heard of lately. */
  live(): readonly PeerView[];
  /** The peer that says that it holds the lease. */
  leader(): PeerView | undefined;
  readonly received: Observable<FromPeer>;
  /** Addresses whose links broke or could not be made. */
  readonly unreachable: Observable<string>;
  send(address: string, message: GatewayMessage): void;
  broadcast(message: GatewayMessage): void;
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
/** Daemons enter themselves one after the other at a start; who has not been read yet makes itself known. */
const ENTRIES_REST_MS = 3_000;

export function createFleet(ctx: GatewayContext, entries: Feed<string>): Fleet {
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
  const known = new Map<string, string>();
  const heard = new Map<DaemonId, PeerView>();
  const received = new Subject<FromPeer>();

  const watch = watchFeed(ctx, {
    feed: entries,
    waitMs: () => 15_000,
    restMs: () => ENTRIES_REST_MS,
    take: (changes: readonly Change<string>[], isWhole) => {
      if (isWhole) known.clear();
      for (const { key, value } of changes) {
        if (value === undefined) known.delete(key);
        else known.set(key, value);
      }
    },
  });

  peers.received.subscribe(({ from, address, message }) => {
    if (message.kind === 'state') {
      heard.set(from, { ...message, id: from, address, at: clock.now() });
    }
    received.next({ from, address, message });
  });

  const live = (): PeerView[] => {
    const now = clock.now();
    const freshMs = PEER_FRESH_MS + FRESH_PER_PEER_MS * heard.size;
    return [...heard.values()].filter(({ at }) => now < later(at, freshMs));
  };

  const addresses = (): Set<string> => {
    const all = new Set<string>([...ctx.tunables.value.seeds, ...known.values()]);
    for (const { address } of heard.values()) all.add(address);
    all.delete(settings.peerListen);
    return all;
  };

  /** Peers that ended for good are forgotten, so that nobody dials them for ever. */
  const forgetSilent = (): void => {
    const now = clock.now();
    for (const [id, { at }] of heard) if (now >= later(at, 60_000)) heard.delete(id);
  };

  return {
    live,
    leader: () => live().find(({ lease }) => lease !== undefined),
    received,
    unreachable: peers.unreachable,
    send: (address, message) => {
      peers.send(address, message);
    },
    broadcast: (message) => {
      forgetSilent();
      for (const address of addresses()) peers.send(address, message);
    },
    start: () => peers.start(),
    stop: () => {
      watch.stop();
      return peers.stop();
    },
  };
}

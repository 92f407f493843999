/** Tells peers what this daemon knows, and gives those that are behind what they lack. */

import type { ConfigVersion, MonoTime } from '../../core/ids';
import { brandAs, later } from '../../core/ids';
import type { Board } from './board';
import type { ConfigView } from './config-view';
import type { GatewayContext } from './context';
import type { Fleet, FromPeer, PeerView } from './fleet';
import type { Former } from './former';
import type { Leadership } from './lease';
import { sumLoads, withoutOwn } from './loads';
import type { GatewayMessage, PeerState } from './messages';
import type { Roster } from './roster';
import type { WaitingRoom } from './waiting';

export interface GossipDeps {
  readonly ctx: GatewayContext;
  readonly config: ConfigView;
  readonly roster: Roster;
  readonly board: Board;
  readonly fleet: Fleet;
  readonly former: Former;
  readonly leadership: Leadership;
  readonly waiting: WaitingRoom;
  readonly isStopping: () => boolean;
}

export interface Gossip {
  tick(): void;
  /** Callers are being served here. */
  noteTraffic(): void;
}

/** Between two statements of a daemon with few peers: a fraction of the time that a stream takes. */
const LEAST_INTERVAL_MS = 100;
/** A fleet with more peers than this aggregates its loads at the leader. */
const DIRECT_PEERS = 12;
/** Between two statements to all in such a fleet: they only show who lives and which versions it has. */
const LARGE_INTERVAL_MS = 1_200;
/** Between two statements of loads to the leader, and of the leader to all. */
const LOADS_MS = 200;
/** Added for each peer, so that a daemon's messages do not grow with the fleet. */
const INTERVAL_PER_PEER_MS = 9;
/** Words of silent peers are dropped at this interval at the latest. */
const NEWS_MS = 500;
/** The store tells all daemons of a version within milliseconds; who lacks it after this is told by peers. */
const HELP_AFTER_MS = 250;
/** The same peer is not helped again before this. */
const HELP_AGAIN_MS = 500;

export function createGossip(deps: GossipDeps): Gossip {
  const { ctx, config, roster, board, fleet, former, leadership, waiting } = deps;
  const helped = new Map<string, MonoTime>();
  let dueAt = ctx.clock.now();
  let hasTraffic = false;
  let hasNews = false;
  let newsDueAt = ctx.clock.now();
  let loadsDueAt = ctx.clock.now();
  /** The state last sent to the leader. */
  let told: PeerState | undefined;
  let revisionSince = ctx.clock.now();
  let revision = 0;

  const ownState = (lease = leadership.ownLease()): PeerState => ({
    kind: 'state',
    configVersion: config.version(),
    serversRevision: roster.revision(),
    hasTraffic,
    isStopping: deps.isStopping(),
    ...(lease && { lease }),
    running: board.running().map((entry) => [...entry]),
    waiting: waiting.waiting().map(([model, count]) => [model, count]),
  });

  const noteTraffic = (): void => {
    if (hasTraffic) return;
    hasTraffic = true;
    former.noteTraffic();
  };

  const mayHelp = (key: string): boolean => {
    const now = ctx.clock.now();
    const again = helped.get(key);
    if (again !== undefined && now < again) return false;
    helped.set(key, later(now, HELP_AGAIN_MS));
    return true;
  };

  /** A peer behind this daemon is turned away by the store, or has just started. */
  const help = (peer: PeerState, address: string): void => {
    const now = ctx.clock.now();
    const table = config.table.value;
    const isOld = now >= later(config.since(), HELP_AFTER_MS) || peer.configVersion === 0;
    if (table && peer.configVersion < config.version() && isOld && mayHelp(`config ${address}`)) {
      fleet.send(address, { kind: 'config', config: table.config });
    }
    if (roster.revision() !== revision) {
      revision = roster.revision();
      revisionSince = now;
    }
    const isBehind = peer.serversRevision < revision && now >= later(revisionSince, HELP_AFTER_MS);
    if (isBehind && !roster.watch.isFailing() && mayHelp(`servers ${address}`)) {
      fleet.send(address, { kind: 'servers', revision, servers: [...roster.servers.values()] });
    }
  };

  const take: {
    readonly [K in GatewayMessage['kind']]: (
      message: Extract<GatewayMessage, { kind: K }>,
      from: FromPeer,
    ) => void;
  } = {
    state: (state, { address }) => {
      hasNews = true;
      if (state.hasTraffic) noteTraffic();
      if (state.lease) leadership.takeLease(state.lease);
      help(state, address);
    },
    stalled: ({ group, head }, { from }) => {
      if (board.find(head)?.id !== group) return;
      board.suspect(head, `reported by ${from}`);
      former.inspect({ group, head });
    },
    config: ({ config: offered }, { from }) => {
      const version = brandAs<ConfigVersion>(offered.version);
      config.offer({ ...offered, version }, `peer ${from}`);
    },
    servers: ({ revision: theirs, servers }) => {
      roster.takeFromPeer(theirs, servers);
    },
    loads: (sums) => {
      if (sums.lease) leadership.takeLease(sums.lease);
      board.takeLoads(told ? withoutOwn(sums, told) : sums);
    },
    news: ({ since, revision: theirs, changes }) => {
      roster.takeNews({
        since,
        revision: theirs,
        changes: changes.map(({ key, value }) => (value ? { key, value } : { key })),
      });
    },
  };

  fleet.received.subscribe((received) => {
    take[received.message.kind](received.message as never, received);
  });

  const takeDirectLoads = (now: MonoTime, peers: readonly PeerView[]): void => {
    if (!hasNews && now < newsDueAt) return;
    board.takeLoads(sumLoads(peers));
    hasNews = false;
    newsDueAt = later(now, NEWS_MS);
  };

  /** Sends this daemon's loads to the leader, or broadcasts the sum as the leader. */
  const exchangeLoads = (now: MonoTime, peers: readonly PeerView[]): void => {
    if (now < loadsDueAt) return;
    loadsDueAt = later(now, LOADS_MS);
    const state = ownState();
    if (state.lease) {
      board.takeLoads(sumLoads(peers));
      fleet.broadcast({ kind: 'loads', lease: state.lease, ...sumLoads([...peers, state]) });
      return;
    }
    told = state;
    const leader = fleet.leader();
    if (leader) fleet.send(leader.address, state);
    else board.takeLoads(sumLoads(peers));
  };

  roster.news.subscribe((news) => {
    if (leadership.held() === undefined) return;
    fleet.broadcast({ kind: 'news', ...news, changes: [...news.changes] });
  });

  board.stalls.subscribe(({ group, head }) => {
    fleet.broadcast({ kind: 'stalled', group, head });
    former.inspect({ group, head });
  });

  return {
    noteTraffic,
    tick: () => {
      const now = ctx.clock.now();
      const peers = fleet.live();
      const isLarge = peers.length > DIRECT_PEERS;
      if (isLarge) exchangeLoads(now, peers);
      else takeDirectLoads(now, peers);
      if (now < dueAt) return;
      const intervalMs = isLarge ? LARGE_INTERVAL_MS : LEAST_INTERVAL_MS;
      dueAt = later(now, intervalMs + INTERVAL_PER_PEER_MS * peers.length);
      fleet.broadcast(ownState());
    },
  };
}

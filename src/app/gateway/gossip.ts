/** Tells peers what this daemon knows, and gives those that are behind what they lack. */

import { mergeUpdates } from '../../core/gateway/collection-updates';
import type { ConfigVersion, MonoTime } from '../../core/ids';
import { brandAs, later } from '../../core/ids';
import { isLater, ORIGIN_POSITION } from '../../core/store-era';
import type { Arrivals } from './arrivals';
import type { GroupRegistry } from './group-registry';
import type { ConfigView } from './config-view';
import type { GatewayContext } from './context';
import { createStallReporting } from './stall-reporting';
import type { Fleet } from './fleet';
import type { GroupPlanner } from './group-planner';
import type { Leadership } from './lease';
import type { LeavingServers } from './leaving-servers';
import type { RateLimits } from './rate-limits';
import { sumLoads, withoutOwn } from './loads';
import type { PeerState, PlainMessage, PeerProgress } from './messages';
import type { ReceivedMessage, PeerView } from './peer-view';
import type { ServerRegistry, ServerUpdates } from './server-registry';
import type { WaitQueue } from './wait-queue';
import { createWorkLog } from './work-log';

export interface GossipDeps {
  readonly ctx: GatewayContext;
  readonly config: ConfigView;
  readonly roster: ServerRegistry;
  readonly board: GroupRegistry;
  readonly fleet: Fleet;
  readonly planner: GroupPlanner;
  readonly leadership: Leadership;
  readonly waiting: WaitQueue;
  readonly arrivals: Arrivals;
  readonly limits: RateLimits;
  readonly leaving: LeavingServers;
  readonly isStopping: () => boolean;
}

export interface Gossip {
  tick(): void;
  /** Callers are being served here. */
  noteTraffic(): void;
}

/** Between two statements of a daemon with few peers: a fraction of the time that a stream takes. */
const LEAST_INTERVAL_MS = 100;
/** Between two statements to all in a large fleet that hears of no leader. */
const LARGE_INTERVAL_MS = 1_200;
/** Between two statements to the leader of a large fleet, and of the leader to all. */
const LOADS_MS = 200;
/** Loads in a large fleet go to a relay, to the leader and back: each daemon's statement is this old at most. */
const RELAYED_AGE_MS = 2 * LOADS_MS;
/** Added for each peer, so that a daemon's messages do not grow with the fleet. */
const INTERVAL_PER_PEER_MS = 9;
/** Loads of peers that fell silent are dropped at this interval at the latest. */
const NEWS_MS = 500;
/** The store tells all daemons of a version within milliseconds; peers send it to one that lacks it after this. */
const HELP_AFTER_MS = 250;
/** Daemons of a large fleet, beside its leader, that help the same peer at a time. */
const HELPERS = 3;
/** News of servers to a large fleet go together for so long: half of the time between two statements of loads. */
const NEWS_TOGETHER_MS = 100;
/** The same peer is not helped again before this. */
const HELP_AGAIN_MS = 500;

/** Between two statements of a daemon that tells `peers` of them directly. */
function intervalMs(peers: number): number {
  return LEAST_INTERVAL_MS + INTERVAL_PER_PEER_MS * peers;
}

export function createGossip(deps: GossipDeps): Gossip {
  const {
    ctx,
    config,
    roster,
    board,
    fleet,
    planner: former,
    leadership,
    waiting,
    arrivals,
    limits,
    leaving,
  } = deps;
  const helped = new Map<string, MonoTime>();
  let dueAt = ctx.clock.now();
  let hasTraffic = false;
  let hasNews = false;
  let newsDueAt = ctx.clock.now();
  let loadsDueAt = ctx.clock.now();
  /** The state last sent to the leader. */
  let told: PeerState | undefined;
  /** How far the servers are known, and since when. */
  let serversAt = ORIGIN_POSITION;
  let serversSince = ctx.clock.now();
  const workLog = createWorkLog(ctx, board, roster.servers);
  const findings = createStallReporting({ ctx, board, fleet, planner: former, leadership });
  /** News that wait to be told, and from when on they may be. */
  let pendingNews: ServerUpdates | undefined;
  let tellNewsAt = ctx.clock.now();

  /** By model: requests that wait here, and those that come in a second. */
  const asked = (): PeerState['waiting'] => {
    const models = new Set([...waiting.waiting(), ...arrivals.rates()].map(([model]) => model));
    return [...models].map((model) => [model, waiting.count(model), arrivals.rate(model)]);
  };

  const ownState = (lease = leadership.ownLease()): PeerState => ({
    kind: 'state',
    configVersion: config.version(),
    serversAt: roster.changedAt(),
    storeEra: ctx.store.era(),
    isStoreLost: roster.watch.isFailing(),
    storeAgeMs: Math.round(roster.watch.ageMs()),
    configAgeMs: Math.round(config.watch.ageMs()),
    hasTraffic,
    isStopping: deps.isStopping(),
    zone: ctx.settings.zone,
    cores: ctx.settings.cores,
    hearsLeader: lease !== undefined || fleet.leader() !== undefined,
    ...(lease && { lease }),
    running: board.running().map((entry) => [...entry]),
    quiet: board.quiet().map((entry) => [...entry]),
    paces: board.paces().map((entry) => [...entry]),
    waiting: asked(),
    limits: limits.report(),
    leaving: leaving.report(),
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

  /** In a large fleet the leader helps, and of the others only a few: all hear of the same need. */
  const isHelper = (): boolean =>
    !fleet.isLarge() ||
    leadership.ownLease() !== undefined ||
    ctx.random.next() < HELPERS / fleet.size();

  /** A peer behind this daemon is turned away by the store, or has just started. */
  const help = (peer: PeerProgress, address: string): void => {
    if (!isHelper()) return;
    const now = ctx.clock.now();
    const table = config.table.value;
    const isOld = now >= later(config.since(), HELP_AFTER_MS) || peer.configVersion === 0;
    if (table && peer.configVersion < config.version() && isOld && mayHelp(`config ${address}`)) {
      fleet.send(address, { kind: 'config', config: table.config });
    }
    if (isLater(roster.changedAt(), serversAt)) {
      serversAt = roster.changedAt();
      serversSince = now;
    }
    const isLong = now >= later(serversSince, HELP_AFTER_MS);
    const isBehind = isLong && isLater(serversAt, peer.serversAt);
    // One that knows of no server at all is told even what this daemon can't look up any more.
    const isFresh = !roster.watch.isFailing() || !isLater(peer.serversAt, ORIGIN_POSITION);
    const canTell = peer.isStoreLost && isFresh;
    if (isBehind && canTell && mayHelp(`servers ${address}`)) {
      fleet.send(address, {
        kind: 'servers',
        at: serversAt,
        servers: [...roster.servers.values()],
      });
    }
  };

  const take: {
    readonly [K in PlainMessage['kind']]: (
      message: Extract<PlainMessage, { kind: K }>,
      from: ReceivedMessage,
    ) => void;
  } = {
    state: (state, { from, address }) => {
      hasNews = true;
      ctx.store.noteEra(state.storeEra, `peer ${from}`);
      findings.noteIdleTimes(state.quiet);
      limits.applyReport(state.limits, `peer ${from}`);
      leaving.applyReport(state.leaving, `peer ${from}`);
      if (state.hasTraffic) noteTraffic();
      if (state.lease) leadership.notePeerLease(state.lease);
      help(state, address);
    },
    stalled: ({ group, head, finding }, { from }) => {
      if (board.find(head)?.id === group) findings.receive(finding, { group, head }, from);
    },
    limits: (message, { from }) => {
      limits.applyReport(message.limits, `peer ${from}`);
    },
    config: ({ config: offered }, { from }) => {
      const version = brandAs<ConfigVersion>(offered.version);
      config.adoptIfNewer({ ...offered, version }, `peer ${from}`);
    },
    servers: ({ at, servers }) => {
      roster.adoptFromPeer(at, servers);
    },
    loads: (sums, { from, address }) => {
      ctx.store.noteEra(sums.storeEra, `peer ${from}`);
      leadership.notePeerLease(sums.lease);
      if (sums.hasTraffic) noteTraffic();
      limits.applyReport(sums.limits, `peer ${from}`);
      leaving.applyReport(sums.leaving, `peer ${from}`);
      board.applyLoads(told ? withoutOwn(sums, told) : sums, {
        coversMost: isMost(sums.daemons),
        isLeaderless: false,
        ageMs: RELAYED_AGE_MS,
      });
      help(sums, address);
    },
    news: ({ since, upTo, changes }) => {
      roster.applyUpdates({
        since,
        upTo,
        changes: changes.map(({ key, value }) => (value ? { key, value } : { key })),
      });
    },
  };

  fleet.received.subscribe((received) => {
    take[received.message.kind](received.message as never, received);
  });

  /** Whether so many daemons are most of those that may be at work. */
  const isMost = (daemons: number): boolean => 2 * daemons > fleet.candidates().size;

  const takeDirectLoads = (now: MonoTime, peers: readonly PeerView[]): void => {
    if (!hasNews && now < newsDueAt) return;
    board.applyLoads(sumLoads(peers), {
      coversMost: isMost(peers.length + 1),
      isLeaderless: false,
      ageMs: intervalMs(peers.length),
    });
    hasNews = false;
    newsDueAt = later(now, NEWS_MS);
  };

  /** Sends this daemon's state to the leader, or broadcasts the sum of all as the leader. */
  const exchangeLoads = (now: MonoTime, peers: readonly PeerView[]): void => {
    if (now < loadsDueAt) return;
    loadsDueAt = later(now, LOADS_MS);
    const state = ownState();
    const { lease, configVersion, serversAt: at, storeEra } = state;
    const { isStoreLost, storeAgeMs, configAgeMs } = state;
    if (lease) {
      board.applyLoads(sumLoads(peers), {
        coversMost: isMost(peers.length + 1),
        isLeaderless: false,
        ageMs: RELAYED_AGE_MS,
      });
      // Who hears of a revision before the news that lead to it would ask the store for them.
      flushNews();
      fleet.broadcastAsLeader({
        kind: 'loads',
        configVersion,
        serversAt: at,
        storeEra,
        isStoreLost,
        storeAgeMs,
        ...(configAgeMs !== undefined && { configAgeMs }),
        hasTraffic,
        lease,
        daemons: peers.length + 1,
        // One that has just started knows none, and would send as if there were none.
        limits: limits.reportToAll(peers.some(({ hearsLeader }) => !hearsLeader)),
        silent: [...fleet.silent()],
        leaving: leaving.report({ ofAll: true }),
        ...sumLoads([...peers, state]),
      });
      return;
    }
    told = state;
    const leader = fleet.leader();
    if (leader) fleet.answer(leader, told);
    else {
      const facts = { coversMost: false, isLeaderless: true, ageMs: RELAYED_AGE_MS };
      board.applyLoads(sumLoads(peers), facts);
    }
  };

  /** Tells all peers; in a large fleet the leader does, and without one those that may become it are told. */
  const tellAll = (now: MonoTime, peers: readonly PeerView[], isLarge: boolean): void => {
    if (now < dueAt) return;
    findings.expire(now);
    const extraMs = isLarge ? LARGE_INTERVAL_MS - LEAST_INTERVAL_MS : 0;
    dueAt = later(now, intervalMs(peers.length) + extraMs);
    if (!isLarge) fleet.broadcast(ownState());
    else if (!fleet.leader() && !leadership.ownLease()) fleet.sendToLikelyLeaders(ownState());
  };

  /** News of a short time go together: each message is passed on to the whole fleet. */
  const tellNews = (now: MonoTime): void => {
    if (now < tellNewsAt) return;
    tellNewsAt = later(now, fleet.isLarge() ? NEWS_TOGETHER_MS : 0);
    flushNews();
  };

  const flushNews = (): void => {
    if (!pendingNews) return;
    const { since, upTo, changes } = pendingNews;
    pendingNews = undefined;
    fleet.broadcastAsLeader({ kind: 'news', since, upTo, changes: [...changes] });
  };

  roster.news.subscribe((news) => {
    if (leadership.heldFencing() === undefined) {
      pendingNews = undefined;
      return;
    }
    pendingNews = mergeUpdates(pendingNews, news);
    tellNews(ctx.clock.now());
  });

  return {
    noteTraffic,
    tick: () => {
      const now = ctx.clock.now();
      const peers = fleet.live();
      const isLarge = fleet.isLarge();
      if (isLarge) exchangeLoads(now, peers);
      else takeDirectLoads(now, peers);
      tellAll(now, peers, isLarge);
      tellNews(now);
      if (leadership.heldFencing() !== undefined) workLog.tick(now, () => [...peers, ownState()]);
      fleet.tick();
    },
  };
}

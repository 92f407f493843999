/** Exchanges state with peers and sends those that are behind what they are missing. */

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
import { sumLoads, toReport, withoutOwn } from './loads';
import type { PeerState, PlainMessage, PeerProgress } from './messages';
import type { ReceivedMessage, PeerView } from './peer-view';
import type { ServerRegistry, ServerUpdates } from './server-registry';
import type { WaitQueue } from './wait-queue';
import { createWorkLog } from './work-log';

export interface GossipDeps {
  readonly ctx: GatewayContext;
  readonly config: ConfigView;
  readonly serverRegistry: ServerRegistry;
  readonly groupRegistry: GroupRegistry;
  readonly fleet: Fleet;
  readonly planner: GroupPlanner;
  readonly leadership: Leadership;
  readonly waitQueue: WaitQueue;
  readonly arrivals: Arrivals;
  readonly limits: RateLimits;
  readonly leaving: LeavingServers;
  readonly isStopping: () => boolean;
}

export interface Gossip {
  tick(): void;
  /** Notes that this daemon serves callers. */
  noteTraffic(): void;
}

/** Interval of a daemon with few peers: a fraction of the duration of a stream. */
const MIN_INTERVAL_MS = 100;
/** Interval of messages to likely leaders in a large fleet without a leader. */
const LEADERLESS_INTERVAL_MS = 1_200;
/** Interval of messages to the leader of a large fleet, and of the leader to all daemons. */
const LOADS_INTERVAL_MS = 200;
/**
 * Loads in a large fleet travel to a relay, to the leader and back: the state of each daemon is at
 * most this old.
 */
const RELAYED_LOAD_AGE_MS = 2 * LOADS_INTERVAL_MS;
/** Added for each peer, so that a daemon's message rate does not grow with the fleet. */
const INTERVAL_PER_PEER_MS = 9;
/** Loads of peers that fell silent are dropped after this interval at the latest. */
const LOADS_REFRESH_MS = 500;
/**
 * The store informs all daemons of a version within milliseconds; peers send it to a daemon that
 * lacks it after this delay.
 */
const HELP_DELAY_MS = 250;
/** Daemons of a large fleet, other than the leader, that help the same peer at a time. */
const MAX_HELPERS = 3;
/** Server updates to a large fleet are batched for this long: half of the interval of loads. */
const UPDATE_BATCH_MS = 100;
/** Minimum time between two messages that help the same peer. */
const HELP_INTERVAL_MS = 500;

/** Interval of a daemon that sends its state to `peers` other daemons directly. */
function intervalMs(peers: number): number {
  return MIN_INTERVAL_MS + INTERVAL_PER_PEER_MS * peers;
}

export function createGossip(deps: GossipDeps): Gossip {
  const {
    ctx,
    config,
    serverRegistry,
    groupRegistry,
    fleet,
    planner,
    leadership,
    waitQueue,
    arrivals,
    limits: rateLimits,
    leaving: leavingServers,
  } = deps;
  const nextHelpAt = new Map<string, MonoTime>();
  let dueAt = ctx.clock.now();
  let hasTraffic = false;
  let hasNewState = false;
  let directLoadsDueAt = ctx.clock.now();
  let loadsDueAt = ctx.clock.now();
  /** The state last sent to the leader. */
  let lastSentState: PeerState | undefined;
  /** Position up to which the servers are known, and since when. */
  let serversAt = ORIGIN_POSITION;
  let serversSince = ctx.clock.now();
  const workLog = createWorkLog(ctx, groupRegistry, serverRegistry.servers);
  const stallReporting = createStallReporting({
    ctx,
    groupRegistry,
    fleet,
    planner,
    leadership,
  });
  /** Server updates that wait to be published, and the earliest time to do so. */
  let pendingUpdates: ServerUpdates | undefined;
  let publishUpdatesAt = ctx.clock.now();

  /** By model and priority: waiting requests and the arrival rate, requests a second. */
  const offeredLoad = (): PeerState['waiting'] => toReport(waitQueue, arrivals);

  const ownState = (lease = leadership.ownLease()): PeerState => ({
    kind: 'state',
    configVersion: config.version(),
    serversAt: serverRegistry.changedAt(),
    storeEra: ctx.store.era(),
    isStoreLost: serverRegistry.watch.isFailing(),
    storeAgeMs: Math.round(serverRegistry.watch.ageMs()),
    configAgeMs: Math.round(config.watch.ageMs()),
    hasTraffic,
    isStopping: deps.isStopping(),
    zone: ctx.settings.zone,
    cores: ctx.settings.cores,
    hearsLeader: lease !== undefined || fleet.leader() !== undefined,
    ...(lease && { lease }),
    running: groupRegistry.running().map((entry) => [...entry]),
    quiet: groupRegistry.quiet().map((entry) => [...entry]),
    paces: groupRegistry.paces().map((entry) => [...entry]),
    waiting: offeredLoad(),
    limits: rateLimits.report(),
    leaving: leavingServers.report(),
  });

  const noteTraffic = (): void => {
    if (hasTraffic) return;
    hasTraffic = true;
    planner.noteTraffic();
  };

  const mayHelp = (key: string): boolean => {
    const now = ctx.clock.now();
    const nextAt = nextHelpAt.get(key);
    if (nextAt !== undefined && now < nextAt) return false;
    nextHelpAt.set(key, later(now, HELP_INTERVAL_MS));
    return true;
  };

  /**
   * In a large fleet the leader helps, and only a few of the other daemons: all receive the same
   * state.
   */
  const isHelper = (): boolean =>
    !fleet.isLarge() ||
    leadership.ownLease() !== undefined ||
    ctx.random.next() < MAX_HELPERS / fleet.size();

  /**
   * Sends a peer that is behind what it is missing: the store refuses it, or it has just started.
   */
  const sendMissing = (peer: PeerProgress, address: string): void => {
    if (!isHelper()) return;
    const now = ctx.clock.now();
    const table = config.table.value;
    const isOldEnough = now >= later(config.since(), HELP_DELAY_MS) || peer.configVersion === 0;
    if (
      table &&
      peer.configVersion < config.version() &&
      isOldEnough &&
      mayHelp(`config ${address}`)
    ) {
      fleet.send(address, { kind: 'config', config: table.config });
    }
    if (isLater(serverRegistry.changedAt(), serversAt)) {
      serversAt = serverRegistry.changedAt();
      serversSince = now;
    }
    const isSettled = now >= later(serversSince, HELP_DELAY_MS);
    const isBehind = isSettled && isLater(serversAt, peer.serversAt);
    // A peer that knows no servers at all gets them even if this daemon can't confirm them with the
    // store.
    const isFresh = !serverRegistry.watch.isFailing() || !isLater(peer.serversAt, ORIGIN_POSITION);
    const canSendServers = peer.isStoreLost && isFresh;
    if (isBehind && canSendServers && mayHelp(`servers ${address}`)) {
      fleet.send(address, {
        kind: 'servers',
        at: serversAt,
        servers: [...serverRegistry.servers.values()],
      });
    }
  };

  const handlers: {
    readonly [K in PlainMessage['kind']]: (
      message: Extract<PlainMessage, { kind: K }>,
      from: ReceivedMessage,
    ) => void;
  } = {
    state: (state, { from, address }) => {
      hasNewState = true;
      ctx.store.noteEra(state.storeEra, `peer ${from}`);
      stallReporting.noteIdleTimes(state.quiet);
      rateLimits.applyReport(state.limits, `peer ${from}`);
      leavingServers.applyReport(state.leaving, `peer ${from}`);
      if (state.hasTraffic) noteTraffic();
      if (state.lease) leadership.notePeerLease(state.lease);
      sendMissing(state, address);
    },
    stalled: ({ group, head, finding }, { from }) => {
      if (groupRegistry.find(head)?.id === group)
        stallReporting.receive(finding, { group, head }, from);
    },
    limits: (message, { from }) => {
      rateLimits.applyReport(message.limits, `peer ${from}`);
    },
    config: ({ config: received }, { from }) => {
      const version = brandAs<ConfigVersion>(received.version);
      config.adoptIfNewer({ ...received, version }, `peer ${from}`);
    },
    servers: ({ at, servers }) => {
      serverRegistry.adoptFromPeer(at, servers);
    },
    loads: (sums, { from, address }) => {
      ctx.store.noteEra(sums.storeEra, `peer ${from}`);
      leadership.notePeerLease(sums.lease);
      if (sums.hasTraffic) noteTraffic();
      rateLimits.applyReport(sums.limits, `peer ${from}`);
      leavingServers.applyReport(sums.leaving, `peer ${from}`);
      groupRegistry.applyLoads(lastSentState ? withoutOwn(sums, lastSentState) : sums, {
        coversMost: isMajority(sums.daemons),
        isLeaderless: false,
        ageMs: RELAYED_LOAD_AGE_MS,
      });
      sendMissing(sums, address);
    },
    news: ({ since, upTo, changes }) => {
      serverRegistry.applyUpdates({
        since,
        upTo,
        changes: changes.map(({ key, value }) => (value ? { key, value } : { key })),
      });
    },
  };

  fleet.received.subscribe((received) => {
    handlers[received.message.kind](received.message as never, received);
  });

  /** Whether this many daemons are a majority of those that may be running. */
  const isMajority = (daemons: number): boolean => 2 * daemons > fleet.candidates().size;

  const applyDirectLoads = (now: MonoTime, peers: readonly PeerView[]): void => {
    if (!hasNewState && now < directLoadsDueAt) return;
    groupRegistry.applyLoads(sumLoads(peers), {
      coversMost: isMajority(peers.length + 1),
      isLeaderless: false,
      ageMs: intervalMs(peers.length),
    });
    hasNewState = false;
    directLoadsDueAt = later(now, LOADS_REFRESH_MS);
  };

  /**
   * Sends this daemon's state to the leader, or, as the leader, publishes the sum over all daemons.
   */
  const exchangeLoads = (now: MonoTime, peers: readonly PeerView[]): void => {
    if (now < loadsDueAt) return;
    loadsDueAt = later(now, LOADS_INTERVAL_MS);
    const state = ownState();
    const { lease, configVersion, serversAt: at, storeEra } = state;
    const { isStoreLost, storeAgeMs, configAgeMs } = state;
    if (lease) {
      groupRegistry.applyLoads(sumLoads(peers), {
        coversMost: isMajority(peers.length + 1),
        isLeaderless: false,
        ageMs: RELAYED_LOAD_AGE_MS,
      });
      // A daemon that learned of a position before the updates leading to it would fetch them from
      // the store.
      flushUpdates();
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
        // A daemon that has just started knows no limits and would send without any.
        limits: rateLimits.reportToAll(peers.some(({ hearsLeader }) => !hearsLeader)),
        silent: [...fleet.silent()],
        leaving: leavingServers.report({ ofAll: true }),
        ...sumLoads([...peers, state]),
      });
      return;
    }
    lastSentState = state;
    const leader = fleet.leader();
    if (leader) fleet.answer(leader, lastSentState);
    else {
      const source = { coversMost: false, isLeaderless: true, ageMs: RELAYED_LOAD_AGE_MS };
      groupRegistry.applyLoads(sumLoads(peers), source);
    }
  };

  /**
   * Sends this daemon's state to all peers. A large fleet leaves this to its leader; without one,
   * the state goes to likely leaders.
   */
  const publishState = (now: MonoTime, peers: readonly PeerView[], isLarge: boolean): void => {
    if (now < dueAt) return;
    stallReporting.expire(now);
    const extraMs = isLarge ? LEADERLESS_INTERVAL_MS - MIN_INTERVAL_MS : 0;
    dueAt = later(now, intervalMs(peers.length) + extraMs);
    if (!isLarge) fleet.broadcast(ownState());
    else if (!fleet.leader() && !leadership.ownLease()) fleet.sendToLikelyLeaders(ownState());
  };

  /**
   * Publishes server updates in batches: in a large fleet, each message is relayed to every daemon.
   */
  const publishUpdates = (now: MonoTime): void => {
    if (now < publishUpdatesAt) return;
    publishUpdatesAt = later(now, fleet.isLarge() ? UPDATE_BATCH_MS : 0);
    flushUpdates();
  };

  const flushUpdates = (): void => {
    if (!pendingUpdates) return;
    const { since, upTo, changes } = pendingUpdates;
    pendingUpdates = undefined;
    fleet.broadcastAsLeader({ kind: 'news', since, upTo, changes: [...changes] });
  };

  serverRegistry.news.subscribe((updates) => {
    if (leadership.heldFencing() === undefined) {
      pendingUpdates = undefined;
      return;
    }
    pendingUpdates = mergeUpdates(pendingUpdates, updates);
    publishUpdates(ctx.clock.now());
  });

  return {
    noteTraffic,
    tick: () => {
      const now = ctx.clock.now();
      const peers = fleet.live();
      const isLarge = fleet.isLarge();
      if (isLarge) exchangeLoads(now, peers);
      else applyDirectLoads(now, peers);
      publishState(now, peers, isLarge);
      publishUpdates(now);
      if (leadership.heldFencing() !== undefined) workLog.tick(now, () => [...peers, ownState()]);
      fleet.tick();
    },
  };
}

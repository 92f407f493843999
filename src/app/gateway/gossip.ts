/** Exchanges state with peers. */

import { merge } from 'rxjs';

import { mayHoldAnswers, noteUnheard } from '../../core/gateway/unheard-daemons';
import type { UnheardDaemons } from '../../core/gateway/unheard-daemons';
import type { ConfigVersion, MonoTime } from '../../core/ids';
import { brandAs, later } from '../../core/ids';
import type { Arrivals } from './arrivals';
import type { ColdServers } from './cold-servers';
import type { GroupRegistry, LoadSnapshot } from './group-registry';
import type { ConfigView } from './config-view';
import type { GatewayContext } from './context';
import type { Evacuations } from './evacuations';
import { createStallReporting } from './stall-reporting';
import type { Fleet } from './fleet';
import type { GroupPlanner } from './group-planner';
import type { Leadership } from './lease';
import type { LeavingServers } from './leaving-servers';
import type { Quarantine } from './quarantine/quarantine';
import type { RateLimits } from './rate-limits';
import { sumLoads, withoutOwn } from './loads';
import type { PeerState, PlainMessage } from './messages';
import { createOwnState, knowledgeOf } from './own-state';
import { createPeerHelp } from './peer-help';
import type { ReceivedMessage, PeerView } from './peer-view';
import { createUpdatePublisher } from './publish-updates';
import type { ServerLinkWatch } from './server-links';
import type { ServerRegistry } from './server-registry';
import type { WaitQueue } from './wait-queue';
import { createWorkLog } from './work-log';

export interface GossipDeps {
  readonly ctx: GatewayContext;
  readonly config: ConfigView;
  readonly evacuations: Evacuations;
  readonly serverRegistry: ServerRegistry;
  readonly groupRegistry: GroupRegistry;
  readonly fleet: Fleet;
  readonly planner: GroupPlanner;
  readonly leadership: Leadership;
  readonly waitQueue: WaitQueue;
  readonly arrivals: Arrivals;
  readonly limits: RateLimits;
  readonly leaving: LeavingServers;
  readonly cold: ColdServers;
  readonly quarantine: Quarantine;
  readonly serverLinks: ServerLinkWatch;
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

/** Interval of a daemon that sends its state to `peers` other daemons directly. */
function intervalMs(peers: number): number {
  return MIN_INTERVAL_MS + INTERVAL_PER_PEER_MS * peers;
}

export function createGossip(deps: GossipDeps): Gossip {
  const {
    ctx,
    config,
    evacuations,
    serverRegistry,
    groupRegistry,
    fleet,
    planner,
    leadership,
    limits: rateLimits,
    leaving: leavingServers,
    cold: coldServers,
    quarantine,
    serverLinks,
  } = deps;
  let dueAt = ctx.clock.now();
  let hasTraffic = false;
  let hasNewState = false;
  let directLoadsDueAt = ctx.clock.now();
  let loadsDueAt = ctx.clock.now();
  /** The state last sent to the leader. */
  let lastSentState: PeerState | undefined;
  const workLog = createWorkLog(ctx, groupRegistry, serverRegistry.servers);
  const stallReporting = createStallReporting(deps);
  const updates = createUpdatePublisher(deps);
  const help = createPeerHelp(deps);

  const ownState = createOwnState({
    ...deps,
    hasLeader: () => fleet.leader() !== undefined,
    hasTraffic: () => hasTraffic,
  });

  const noteTraffic = (): void => {
    if (hasTraffic) return;
    hasTraffic = true;
    planner.noteTraffic();
    coldServers.noteTraffic();
  };

  const handlers: {
    readonly [K in PlainMessage['kind']]: (
      message: Extract<PlainMessage, { kind: K }>,
      from: ReceivedMessage,
    ) => void;
  } = {
    state: (state, { from, address, via }) => {
      hasNewState = true;
      ctx.store.noteEra(state.storeEra, `peer ${from}`);
      evacuations.applyReport(state.evacuations, `peer ${from}`);
      stallReporting.noteIdleTimes(state.quiet);
      rateLimits.applyReport(state.limits, `peer ${from}`);
      leavingServers.applyReport(state.leaving, `peer ${from}`);
      if (state.cold) coldServers.applyReport(state.cold);
      if (state.crashes) quarantine.applyReport(state.crashes);
      if (state.hasTraffic) noteTraffic();
      if (state.lease) leadership.notePeerLease(state.lease);
      help.sendMissing(state, address, via);
    },
    refused: ({ requests }, { from }) => {
      quarantine.applyRefused(requests, `peer ${from}`);
    },
    stalled: ({ group, head, finding, evidence }, { from }) => {
      if (groupRegistry.find(head)?.id !== group) return;
      stallReporting.receive(finding, { group, head, ...(evidence && { evidence }) }, from);
    },
    limits: (message, { from }) => {
      rateLimits.applyReport(message.limits, `peer ${from}`);
    },
    'cold-senders': (message, { from }) => {
      coldServers.applySenders(message, `peer ${from}`);
    },
    config: ({ config: received, evacuations: evacuated }, { from }) => {
      evacuations.applyReport(evacuated, `peer ${from}`);
      const version = brandAs<ConfigVersion>(received.version);
      config.adoptIfNewer({ ...received, version }, `peer ${from}`);
    },
    servers: ({ at, servers }) => {
      serverRegistry.adoptFromPeer(at, servers);
    },
    loads: (sums, { from, address, via }) => {
      ctx.store.noteEra(sums.storeEra, `peer ${from}`);
      evacuations.applyReport(sums.evacuations, `peer ${from}`);
      leadership.notePeerLease(sums.lease);
      if (sums.hasTraffic) noteTraffic();
      rateLimits.applyReport(sums.limits, `peer ${from}`);
      leavingServers.applyReport(sums.leaving, `peer ${from}`);
      if (sums.crashes) quarantine.applyReport(sums.crashes);
      groupRegistry.applyLoads(lastSentState ? withoutOwn(sums, lastSentState) : sums, {
        coversMost: isMajority(sums.daemons),
        isLeaderless: false,
        ageMs: RELAYED_LOAD_AGE_MS,
      });
      help.sendMissing(sums, address, via);
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

  let unheard: UnheardDaemons = new Map();

  /** Which of the daemons the loads of these peers and of this daemon cover. */
  const coverageOf = (
    peers: readonly PeerView[],
    now: MonoTime,
  ): Pick<LoadSnapshot, 'coversMost' | 'coversAll'> => {
    const registered = [...fleet.candidates().keys()].filter((id) => id !== ctx.settings.id);
    unheard = noteUnheard(unheard, registered, peers, now);
    const coversMost = isMajority(peers.length + 1);
    return { coversMost, coversAll: !mayHoldAnswers(unheard, now) };
  };

  const applyDirectLoads = (now: MonoTime, peers: readonly PeerView[]): void => {
    if (!hasNewState && now < directLoadsDueAt) return;
    groupRegistry.applyLoads(sumLoads(peers), {
      ...coverageOf(peers, now),
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
    const { lease } = state;
    if (lease) {
      groupRegistry.applyLoads(sumLoads(peers), {
        ...coverageOf(peers, now),
        isLeaderless: false,
        ageMs: RELAYED_LOAD_AGE_MS,
      });
      // A daemon that learned of a position before the updates leading to it would fetch them from
      // the store.
      updates.flush();
      const crashes = quarantine.reportOfAll();
      fleet.broadcastAsLeader({
        kind: 'loads',
        ...knowledgeOf(state),
        lease,
        daemons: peers.length + 1,
        // A daemon that has just started knows no limits and would send without any.
        limits: rateLimits.reportToAll(peers.some(({ hearsLeader }) => !hearsLeader)),
        silent: [...fleet.silent()],
        leaving: leavingServers.report({ ofAll: true }),
        cutOff: [...peers, { id: ctx.settings.id, cutOff: state.cutOff }]
          .filter(({ cutOff }) => cutOff.length > 0)
          .map(({ id, cutOff }) => [id, cutOff]),
        ...(crashes && { crashes }),
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
    stallReporting.tick(now);
    const extraMs = isLarge ? LEADERLESS_INTERVAL_MS - MIN_INTERVAL_MS : 0;
    dueAt = later(now, intervalMs(peers.length) + extraMs);
    if (!isLarge) fleet.broadcast(ownState());
    else if (!fleet.leader() && !leadership.ownLease()) fleet.sendToLikelyLeaders(ownState());
  };

  merge(quarantine.news, serverLinks.changes).subscribe(() => {
    const now = ctx.clock.now();
    dueAt = now;
    loadsDueAt = now;
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
      updates.tick();
      if (leadership.heldFencing() !== undefined) workLog.tick(now, () => [...peers, ownState()]);
      fleet.tick();
    },
  };
}

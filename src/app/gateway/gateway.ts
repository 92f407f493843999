/** Assembles, starts and gracefully stops one gateway daemon. */

import { createAcceptMarker } from '../../adapters/accept-marker';
import { createForwardClient } from '../../adapters/upstream/forward-client';
import { checkListening } from '../../adapters/upstream/listening';
import { createUpstream } from '../../adapters/upstream/upstream';
import type { HeaderDialect, EraTable, Feeds, ServerPaths, Servers } from '../../ports/gateway';
import { brandAs } from '../../core/ids';
import type { InstanceId } from '../../core/ids';
import { FIRST_ERA } from '../../core/store-era';
import { createThrottle } from './throttle';
import { createArrivals } from './arrivals';
import { createColdAssignments } from './cold-assignments';
import { createColdServers } from './cold-servers';
import { createGroupRegistry } from './group-registry';
import { createConfigView } from './config-view';
import type { GatewayContext } from './context';
import { createEvacuations } from './evacuations';
import { createFleet } from './fleet';
import { createForwarding } from './forwarding';
import { createGroupPlanner } from './group-planner';
import { withUrgency } from './model-demand';
import { createHttpServer } from './http-server';
import { createGossip } from './gossip';
import { stopGracefully } from './graceful-stop';
import { createIntake } from './intake';
import { createLeadership } from './lease';
import { createLoopDelay } from './loop-delay';
import { createLeavingServers } from './leaving-servers';
import { createRateLimits } from './rate-limits';
import { createPlainCalls } from './plain-call';
import { createGatewayQuarantine } from './quarantine/quarantine';
import { createRefusedRow } from './quarantine/refused-row';
import { listenReady } from './ready';
import { createRetries } from './retries';
import { createRoutedUpstream } from './routed-upstream';
import { createServerAddresses } from './server-addresses';
import { createServerLinkWatch } from './server-links';
import { createServerPaths } from './server-paths';
import { createServerRegistry } from './server-registry';
import { createServerNotices } from './server-notices';
import { createStreamCalls } from './stream-call';
import { noteUnexpected, runGuarded, tickAll } from './unexpected';
import { createWaitQueue } from './wait-queue';

export interface GatewayOptions {
  readonly ctx: GatewayContext;
  readonly feeds: Feeds;
  readonly table: EraTable;
  /** Creates the client for orders to backend servers and their reports. */
  readonly createServers: (paths: ServerPaths) => Servers;
  readonly dialect: HeaderDialect;
  readonly readyPath: string;
  /** Registers this daemon's peer address where others find it, or removes it. */
  readonly announce: (isHere: boolean) => Promise<void>;
}

export interface Gateway {
  /**
   * Resolves once everything is released and no request is in flight, or when the shutdown time is
   * over.
   */
  stop(): Promise<void>;
}

/** Interval of periodic work: well below the shortest timeout here. */
const TICK_MS = 50;
const CONNECT_TIMEOUT_MS = 400;
const IDLE_MS = 4_000;
/** A port that refuses does so within this time, milliseconds. */
const ENDED_CHECK_MS = 150;
/** Daemons register again within this time after the store's return, milliseconds. */
const REREGISTER_SPREAD_MS = 1_500;

export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { ctx, feeds, dialect } = options;
  const { settings, logger } = ctx;
  let isStopping = false;

  const fleet = createFleet(ctx, feeds.daemons);
  const daemons = (): number => fleet.size();
  const evacuations = createEvacuations(ctx);
  const config = createConfigView(ctx, {
    feed: feeds.config,
    evacuations,
    daemons,
    leader: () => fleet.leader(),
  });
  const leadership = createLeadership(ctx, options.table, fleet);
  const serverRegistry = createServerRegistry(ctx, {
    feed: feeds.servers,
    isLeading: () => leadership.heldFencing() !== undefined,
    leader: () => fleet.leader(),
  });
  const routes = () => config.table.value;
  const direct = createUpstream({
    ...{ connectTimeoutMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_MS },
    onConnect: (address, isConnected) => {
      serverLinks.noteConnect(address, isConnected);
    },
    onUnexpected: (thrown) => {
      noteUnexpected(ctx, 'before-send', thrown);
    },
  });
  const toPeers = createUpstream({ connectTimeoutMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_MS });
  const forwardClient = createForwardClient(toPeers, settings.peerSecret);
  const addresses = createServerAddresses(ctx, serverRegistry, evacuations);
  const serverLinks = createServerLinkWatch(ctx, {
    servers: addresses,
    peers: () => fleet.forwardPeers(),
    activity: () => direct.activity(),
    checkListening,
    askPeer: (address, peer, timeoutMs) => forwardClient.check(address, peer, timeoutMs),
  });
  const upstream = createRoutedUpstream(ctx, {
    ...{ direct, forwarding: forwardClient, links: serverLinks },
  });
  const forwarding = createForwarding(ctx, {
    ...{ upstream: direct, dialect },
    isCutOff: (address) => serverLinks.isBlocked(address),
    isServer: (address) => addresses.serviceOf(address) !== undefined,
    answerPeer: (address) => serverLinks.answerPeer(address),
  });
  const servers = options.createServers(createServerPaths(ctx, serverLinks));
  const rateLimits = createRateLimits(ctx, {
    daemons: () => {
      const silent = new Set(fleet.silent());
      return [...fleet.candidates().keys()].filter((id) => !silent.has(id));
    },
    isRemoved: (server) => !serverRegistry.servers.has(server),
    publish: (recipients, updates) => {
      fleet.sendTo(recipients, { kind: 'limits', limits: updates });
    },
  });
  const leavingServers = createLeavingServers(ctx, serverRegistry);
  const assignments = createColdAssignments(ctx, {
    leadership,
    fleet,
    isStopping: () => isStopping,
    publish: (message) => {
      fleet.broadcastAsLeader(message);
    },
  });
  const coldServers = createColdServers(ctx, { serverRegistry, routes: config.table, assignments });
  const throttle = createThrottle(ctx, rateLimits, coldServers);
  const groupRegistry = createGroupRegistry(
    ctx,
    serverRegistry,
    config.table,
    throttle,
    evacuations,
  );
  const waitQueue = createWaitQueue(ctx, groupRegistry);
  const arrivals = createArrivals(ctx);
  const planner = createGroupPlanner(ctx, {
    evacuations,
    serverRegistry,
    routes,
    leadership,
    servers,
    isReachedByPeer: async (address) => {
      await serverLinks.verify(address);
      return serverLinks.forwarderOf(address) !== undefined;
    },
    hasEnded: async (address) => {
      const state = await serverLinks.findState(address, ENDED_CHECK_MS);
      return state === 'refused';
    },
    isBusy: (group) => groupRegistry.isBusy(group),
    hasAnswers: (head) => groupRegistry.hasAnswers(head),
    hasAnswersOfOthers: (isKnown) => groupRegistry.hasAnswersOfOthers(isKnown),
    offeredLoad: () => groupRegistry.offeredLoad(),
    slowdowns: () => groupRegistry.slowdowns(),
    loadSamples: () => {
      const samples = groupRegistry.loadSamples((model) => ({
        waiting: waitQueue.count(model),
        perSecond: arrivals.rate(model),
      }));
      return withUrgency(samples, (model) => waitQueue.urgency(model));
    },
  });
  // Registered daemons are counted as well: a daemon that has just started hears from few peers and
  // would take too large a share.
  const countSharingDaemons = (): number => Math.max(fleet.size(), fleet.candidates().size);
  const retries = createRetries(ctx, countSharingDaemons);
  const notices = createServerNotices(ctx, {
    dialect,
    limits: rateLimits,
    throttle,
    leaving: leavingServers,
    cold: coldServers,
  });
  servers.heads.subscribe((head) => {
    notices.apply(head);
  });
  const quarantine = createGatewayQuarantine(ctx, {
    ...{ serverRegistry, groupRegistry, daemons },
    findState: (address, timeoutMs) => serverLinks.findState(address, timeoutMs),
  });
  quarantine.peerLosses.subscribe((group) => {
    // A server of a plain service is a group of its own.
    const server = serverRegistry.servers.get(brandAs<InstanceId>(group));
    if (server) serverLinks.noteEnded(server.address);
  });
  const refusedRow = createRefusedRow(ctx, { table: options.table, leadership, quarantine });
  const plain = createPlainCalls({
    ...{ ctx, serverRegistry, upstream, dialect, retries, notices, throttle, evacuations },
    ...{ quarantine, serverLinks },
  });
  const streams = createStreamCalls({
    ...{ ctx, groupRegistry, upstream, dialect, retries, notices, throttle, evacuations },
    ...{ quarantine, serverLinks, waitQueue, arrivals, daemons: countSharingDaemons },
  });
  const gossip = createGossip({
    ctx,
    config,
    evacuations,
    serverRegistry,
    groupRegistry,
    fleet,
    planner,
    leadership,
    waitQueue,
    arrivals,
    limits: rateLimits,
    leaving: leavingServers,
    cold: coldServers,
    quarantine,
    serverLinks,
    isStopping: () => isStopping,
  });
  const loopDelay = createLoopDelay(ctx, TICK_MS);
  const marker = createAcceptMarker(settings.listen);
  const intake = createIntake(ctx, {
    blockedSince: () => loopDelay.blockedSince(),
    sendMarker: () => marker.send(),
  });
  const httpServer = createHttpServer({
    ...{ ctx, config, dialect, plain, streams, intake, marker },
    onTraffic: () => {
      gossip.noteTraffic();
    },
  });

  const isReady = (): boolean =>
    !isStopping && config.table.value !== undefined && serverRegistry.servers.size > 0;

  await fleet.start();
  const ready = await listenReady(ctx, { path: options.readyPath, isReady });
  await forwarding.start();
  // Last, as errors and signals end a daemon that is starting: its caller handles both before the next connection.
  await httpServer.start();
  void options.announce(true);
  ctx.store.eras.subscribe(({ before, era, source }) => {
    ctx.metrics.count('nutmegstack_store_eras_total');
    logger.warn('era of the store', { step: 'store', before, era, source });
    if (before === FIRST_ERA || isStopping) return;
    // The older copy may lack this daemon's own entry.
    setTimeout(() => {
      if (!isStopping) void options.announce(true);
    }, ctx.random.next() * REREGISTER_SPREAD_MS);
  });
  serverRegistry.changes.subscribe(() => {
    planner.tick();
  });
  serverLinks.blocked.subscribe((address) => {
    direct.closeIdle(address);
    groupRegistry.clearSuspicions({ address });
  });
  serverLinks.unreached.subscribe(() => {
    waitQueue.review();
  });
  serverLinks.changes.subscribe(() => {
    for (const service of serverLinks.cutOff()) groupRegistry.clearSuspicions({ service });
  });
  const parts = {
    ...{ loopDelay, leadership, serverRegistry, serverLinks, groupRegistry },
    ...{ quarantine, refusedRow, gossip, planner },
  };
  const ticker = setInterval(() => {
    tickAll(ctx, parts);
  }, TICK_MS);
  logger.info('started', { step: 'start', listen: settings.listen, zone: settings.zone });

  const finish = (): Promise<void> =>
    stopGracefully({
      ...{ ctx, httpServer, forwarding, intake, marker, waitQueue },
      onBegin: () => {
        isStopping = true;
        // A fault here must not cost the answers in flight.
        runGuarded(ctx, 'release', () => {
          leadership.release();
        });
        void options.announce(false);
      },
      onEnd: async () => {
        clearInterval(ticker);
        direct.close();
        toPeers.close();
        ready.close();
        await fleet.stop();
      },
    });

  let stopping: Promise<void> | undefined;
  return {
    stop: () => {
      stopping ??= finish();
      return stopping;
    },
  };
}

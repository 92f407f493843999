/** One gateway daemon: puts its parts together, starts them, and stops without cutting a request. */

import { createUpstream } from '../../adapters/upstream/upstream';
import type { Dialect, EraTable, Feeds, Servers } from '../../ports/gateway';
import { later } from '../../core/ids';
import { FIRST_ERA } from '../../core/store-era';
import { pause } from '../../utils/pause';
import { createThrottle } from './throttle';
import { createArrivals } from './arrivals';
import { createGroupRegistry } from './group-registry';
import { createConfigView } from './config-view';
import type { GatewayContext } from './context';
import { createFleet } from './fleet';
import { createGroupPlanner } from './group-planner';
import { createHttpServer } from './http-server';
import { createGossip } from './gossip';
import { createLeadership } from './lease';
import { createLeavingServers } from './leaving-servers';
import { createRateLimits } from './rate-limits';
import { createPlainCalls } from './plain-call';
import { listenReady } from './ready';
import { createRetries } from './retries';
import { createServerRegistry } from './server-registry';
import { createServerNotices } from './server-notices';
import { createStreamCalls } from './stream-call';
import { createWaitQueue } from './wait-queue';

export interface GatewayOptions {
  readonly ctx: GatewayContext;
  readonly feeds: Feeds;
  readonly table: EraTable;
  readonly servers: Servers;
  readonly dialect: Dialect;
  readonly readyPath: string;
  /** Enters this daemon's peer address where others find it, or takes it out. */
  readonly announce: (isHere: boolean) => Promise<void>;
}

export interface Gateway {
  /** Resolves once all is handed back and nothing is in flight, or the time for it is over. */
  stop(): Promise<void>;
}

/** All that is due is looked at this often: well below the shortest time that anything here waits for. */
const TICK_MS = 50;
/** The balancer asks once a second and needs two misses; then new connections stay away. */
const BALANCER_MS = 2_600;
/**
 * Left of the time for a stop once requests are cut: the last answers reach their callers, links to
 * peers are closed (500 ms at most) and the last lines of the log are written (200 ms at most).
 */
const STOP_MARGIN_MS = 900;
const CONNECT_TIMEOUT_MS = 400;
const IDLE_MS = 4_000;
/** Daemons enter themselves again within this time of the store's return, milliseconds. */
const ANNOUNCE_SPREAD_MS = 1_500;

export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { ctx, feeds, dialect } = options;
  const { settings, clock, logger } = ctx;
  let isStopping = false;

  const fleet = createFleet(ctx, feeds.daemons);
  const daemons = (): number => fleet.size();
  const config = createConfigView(ctx, {
    feed: feeds.config,
    daemons,
    leader: () => fleet.leader(),
  });
  const leadership = createLeadership(ctx, options.table, fleet);
  const roster = createServerRegistry(ctx, {
    feed: feeds.servers,
    isLeading: () => leadership.heldFencing() !== undefined,
    leader: () => fleet.leader(),
  });
  const routes = () => config.table.value;
  const limits = createRateLimits(ctx, {
    daemons: () => {
      const silent = new Set(fleet.silent());
      return [...fleet.candidates().keys()].filter((id) => !silent.has(id));
    },
    isRemoved: (server) => !roster.servers.has(server),
    publish: (others, told) => {
      fleet.sendTo(others, { kind: 'limits', limits: told });
    },
  });
  const leaving = createLeavingServers(ctx, roster);
  const allowances = createThrottle(ctx, limits);
  const board = createGroupRegistry(ctx, roster, config.table, allowances);
  const waiting = createWaitQueue(ctx, board);
  const arrivals = createArrivals(ctx);
  const former = createGroupPlanner(ctx, {
    roster,
    routes,
    leadership,
    servers: options.servers,
    isBusy: (group) => board.isBusy(group),
    offeredLoad: () => board.offeredLoad(),
  });
  const upstream = createUpstream({ connectTimeoutMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_MS });
  // Entries count as well: a daemon that has just started hears of few peers, and would take a larger part.
  const sharers = (): number => Math.max(fleet.size(), fleet.candidates().size);
  const retries = createRetries(ctx, sharers);
  const statements = createServerNotices(ctx, { dialect, limits, throttle: allowances, leaving });
  options.servers.heads.subscribe((head) => {
    statements.apply(head);
  });
  const plain = createPlainCalls({
    ...{ ctx, roster, upstream, dialect, retries, notices: statements, throttle: allowances },
  });
  const streams = createStreamCalls({
    ...{ ctx, board, upstream, dialect, retries, notices: statements, throttle: allowances },
    ...{ waiting, arrivals, daemons: sharers },
  });
  const gossip = createGossip({
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
    isStopping: () => isStopping,
  });
  const front = createHttpServer({
    ctx,
    config,
    dialect,
    plain,
    streams,
    onTraffic: () => {
      gossip.noteTraffic();
    },
  });

  const isReady = (): boolean =>
    !isStopping && config.table.value !== undefined && roster.servers.size > 0;

  await fleet.start();
  await front.start();
  const ready = await listenReady(ctx, { path: options.readyPath, isReady });
  void options.announce(true);
  ctx.store.eras.subscribe(({ before, era, source }) => {
    ctx.metrics.count('nutmegstack_store_eras_total');
    logger.warn('era of the store', { step: 'store', before, era, source });
    if (before === FIRST_ERA || isStopping) return;
    // The older copy may lack this daemon's own entry.
    setTimeout(() => {
      if (!isStopping) void options.announce(true);
    }, ctx.random.next() * ANNOUNCE_SPREAD_MS);
  });
  roster.changes.subscribe(() => {
    former.tick();
  });
  const ticker = setInterval(() => {
    leadership.tick();
    roster.tick();
    board.tick();
    gossip.tick();
    former.tick();
  }, TICK_MS);
  logger.info('started', { step: 'start', listen: settings.listen, zone: settings.zone });

  const finish = async (): Promise<void> => {
    const deadline = later(clock.now(), ctx.tunables.value.shutdownMs - STOP_MARGIN_MS);
    const closeAt = later(clock.now(), BALANCER_MS);
    logger.info('stopping', { step: 'stop', inFlight: front.inFlight() });
    isStopping = true;
    front.beginStop();
    leadership.release();
    void options.announce(false);
    while (clock.now() < closeAt) await pause(TICK_MS);
    front.closeListener();
    while (front.inFlight() > 0 && clock.now() < deadline) await pause(TICK_MS);
    const left = front.inFlight();
    if (left > 0)
      logger.warn('requests cut at the end of the stop', { step: 'stop', inFlight: left });
    clearInterval(ticker);
    front.closeConnections();
    upstream.close();
    ready.close();
    await fleet.stop();
    logger.info('stopped', { step: 'stop' });
  };

  let stopping: Promise<void> | undefined;
  return {
    stop: () => {
      stopping ??= finish();
      return stopping;
    },
  };
}

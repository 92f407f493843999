/**
 * Watches this daemon's links to the backend servers, and chooses the peers through which it reaches those
 * that it does not reach itself.
 */

import { Subject } from 'rxjs';
import type { Observable } from 'rxjs';

import type { ObservedState } from '../../adapters/upstream/forward-client';
import type { ListeningState } from '../../adapters/upstream/listening';
import type { UpstreamActivity } from '../../adapters/upstream/upstream';
import {
  forgetService,
  hasFailuresIn,
  isBlocked,
  noteBlocked,
  noteLost,
  noteReached,
  noteSampled,
  noteUsed,
  HEALTHY_LINKS,
  takeRechecks,
} from '../../core/gateway/server-links';
import type { LinkedServer } from '../../core/gateway/server-links';
import { later } from '../../core/ids';
import type { DaemonId, MonoTime, ServiceId } from '../../core/ids';
import type { GatewayContext } from './context';
import { createForwardPeers } from './forward-peers';
import type { Forwarder, ForwardPeersDeps } from './forward-peers';
import { createOwnLinks } from './own-links';
import type { ServerAddresses } from './server-addresses';
import { createSilenceWatch } from './silence-watch';

export interface ServerLinksDeps extends ForwardPeersDeps {
  readonly servers: ServerAddresses;
  /** Of the direct connections. */
  readonly activity: () => UpstreamActivity;
  readonly checkListening: (address: string, timeoutMs: number) => Promise<ListeningState>;
}

export interface ServerLinkWatch {
  /** The peer through which to send to the server; undefined: directly. */
  forwarderOf(address: string): Forwarder | undefined;
  /** Whether this daemon does not reach the server itself. */
  isBlocked(address: string): boolean;
  /** Whether no server of the service is reached, neither directly nor through a peer. */
  isUnreachable(service: ServiceId): boolean;
  /** Whether this daemon did not reach the server when it last checked, and no peer could tell more. */
  isUnreached(address: string): boolean;
  /** Services whose servers are reached through peers only. */
  cutOff(): readonly ServiceId[];
  noteConnect(address: string, isConnected: boolean): void;
  /** A server did not answer; resolves once it is known whether this daemon's link is to blame. */
  verify(address: string): Promise<void>;
  /** Notes that a peer did not forward. */
  noteForwarderFailed(peer: DaemonId): void;
  /** Whether a server listens, as far as this daemon and its peers can tell. */
  findState(address: string, timeoutMs: number): Promise<ObservedState>;
  /** Notes that a server has ended, as a peer found with others. */
  noteEnded(address: string): void;
  /** The state of a server for a peer that asks; `unknown` if this daemon may be cut off itself. */
  answerPeer(address: string): Promise<ObservedState>;
  /** Whether any server sent something recently: this daemon's links are not down altogether. */
  hasReceivedRecently(): boolean;
  /** Servers that turn out to be reached through peers only, by address. */
  readonly blocked: Observable<string>;
  /** Servers that turn out to be unreached, by address. */
  readonly unreached: Observable<string>;
  /** Emits when the daemon is cut off from a service, or no longer is. */
  readonly changes: Observable<void>;
  tick(): void;
}

/** A server on a healthy link accepts a connection within milliseconds. */
const CHECK_TIMEOUT_MS = 150;
/** A link full of other bytes delays a connection by up to this. */
const SLOW_CHECK_TIMEOUT_MS = 1_000;
/** Other servers that are checked once one is blocked. */
const CHECKED_SERVERS = 3;
const SAMPLE_INTERVAL_MS = 300;
const MAX_RECHECKS = 8;
/** Time for which failed connections to a server that peers found gone are not looked into again. */
const GONE_MS = 500;
/** What a check found holds as long as a group may be suspended after it. */
const UNREACHED_MS = 6_000;

export function createServerLinkWatch(
  ctx: GatewayContext,
  { servers, activity, checkListening, ...peerDeps }: ServerLinksDeps,
): ServerLinkWatch {
  const { clock, logger, metrics } = ctx;
  const forwardPeers = createForwardPeers(ctx, peerDeps);
  const silence = createSilenceWatch(clock, activity);
  const ownLinks = createOwnLinks(ctx, {
    ...{ servers, checkListening },
    hasReceivedRecently: () => silence.hasReceivedRecently(),
  });
  const blockedServers = new Subject<string>();
  const unreachedServers = new Subject<string>();
  const changes = new Subject<void>();
  const verifying = new Map<string, Promise<void>>();
  /** When direct connections last succeeded, by address; kept while a peer is asked about the server. */
  const connectedAt = new Map<string, MonoTime>();
  /** Servers that peers found gone, by address. */
  const goneUntil = new Map<string, MonoTime>();
  /** Servers that are unreached, by address. */
  const unreachedUntil = new Map<string, MonoTime>();
  let links = HEALTHY_LINKS;
  const nextSampleAt = new Map<ServiceId, MonoTime>();

  const update = (next: typeof links): void => {
    const before = links;
    links = next;
    metrics.gauge('nutmegstack_blocked_servers', links.blocked.size);
    if (before.cutOff.size === links.cutOff.size) return;
    metrics.gauge('nutmegstack_cut_off_services', links.cutOff.size);
    for (const service of links.cutOff.keys())
      if (!before.cutOff.has(service)) logChange('cut off from all servers of a service', service);
    for (const service of before.cutOff.keys())
      if (!links.cutOff.has(service)) logChange('servers of a service reached again', service);
    changes.next();
  };

  const logChange = (message: string, service: ServiceId): void => {
    logger.warn(message, {
      step: 'server-links',
      service,
      blocked: links.blocked.size,
      forwarders: forwardPeers
        .list(service)
        .map(({ id }) => id)
        .join(' '),
    });
  };

  const hasFailures = (): boolean => links.blocked.size > 0 || links.cutOff.size > 0;

  /** The server at the address; undefined if none is registered there any more. */
  const serverAt = (address: string): LinkedServer | undefined => {
    const service = servers.serviceOf(address);
    return service === undefined ? undefined : { address, service };
  };

  const setReached = (address: string): void => {
    ownLinks.noteReached(address);
    unreachedUntil.delete(address);
    if (verifying.has(address)) connectedAt.set(address, clock.now());
    if (!hasFailures()) return;
    const server = serverAt(address);
    if (server) update(noteReached(links, server, clock.now()));
  };

  const block = (server: LinkedServer): void => {
    const isNew = !isBlocked(links, server);
    update(noteBlocked(links, server, clock.now()));
    if (!isNew) return;
    logger.warn('server reached through peers only', { step: 'server-links', ...server });
    blockedServers.next(server.address);
    void checkSample(server.service);
  };

  /**
   * A peer reaches the server. Where peers answer as late as a check may take, this daemon's link is slow in all
   * directions, and a way through peers no faster: the server is given more time then.
   */
  const blockUnlessLate = async (server: LinkedServer, answeredInMs: number): Promise<void> => {
    const startedAt = clock.now();
    const found = await checkListening(server.address, SLOW_CHECK_TIMEOUT_MS);
    logger.info('server checked over a slow link', {
      step: 'server-links',
      ...{ address: server.address, found, answeredInMs },
      tookMs: Math.round(clock.now() - startedAt),
    });
    if (found === 'listening') setReached(server.address);
    else block(server);
  };

  const noteReachedByPeer = async (server: LinkedServer, answeredInMs: number): Promise<void> => {
    if (answeredInMs < CHECK_TIMEOUT_MS) block(server);
    else await blockUnlessLate(server, answeredInMs);
  };

  const noteUnreached = (address: string): void => {
    unreachedUntil.set(address, later(clock.now(), UNREACHED_MS));
    unreachedServers.next(address);
  };

  /** The direct connection has failed: asks peers whether the server is there. */
  const confirm = async (address: string): Promise<void> => {
    const server = serverAt(address);
    if (!server) {
      update(noteLost(links, address));
      return;
    }
    const startedAt = clock.now();
    const { state, answeredInMs } = await forwardPeers.ask(server);
    // A direct connection to it that succeeded meanwhile says more.
    if ((connectedAt.get(address) ?? -Infinity) > startedAt) return;
    unreachedUntil.delete(address);
    if (state === 'unknown') noteUnreached(address);
    if (state === 'listening') await noteReachedByPeer(server, answeredInMs);
    if (state === 'listening' || state === 'unknown') return;
    if (state === 'refused') ownLinks.noteEnded(address);
    goneUntil.set(address, later(clock.now(), GONE_MS));
    update(noteLost(links, address));
  };

  const confirmOnce = (address: string): Promise<void> => {
    const running = verifying.get(address);
    if (running) return running;
    const started = confirm(address).finally(() => {
      verifying.delete(address);
      connectedAt.delete(address);
    });
    verifying.set(address, started);
    return started;
  };

  const isKnownGone = (address: string): boolean => {
    const until = goneUntil.get(address);
    return until !== undefined && clock.now() < until;
  };

  const pruneFindings = (now: MonoTime): void => {
    for (const found of [goneUntil, unreachedUntil])
      for (const [address, until] of found) if (now >= until) found.delete(address);
  };

  const verify = async (address: string): Promise<void> => {
    if ((await checkListening(address, CHECK_TIMEOUT_MS)) === 'listening') setReached(address);
    else await confirmOnce(address);
  };

  /** Checks a few servers of a service, which shows whether the daemon is cut off from all of them. */
  const checkSample = async (service: ServiceId): Promise<void> => {
    const startedAt = clock.now();
    const dueAt = nextSampleAt.get(service);
    if (links.cutOff.has(service) || (dueAt !== undefined && startedAt < dueAt)) return;
    nextSampleAt.set(service, later(startedAt, SAMPLE_INTERVAL_MS));
    const sampled = servers.sample(CHECKED_SERVERS, service);
    await Promise.all(sampled.map(({ address }) => verify(address)));
    const result = { service, startedAt, servers: servers.count(service) };
    update(noteSampled(links, result, clock.now()));
  };

  const checkAfterSilence = (): void => {
    logger.info('no server sends anything, checking some', { step: 'server-links' });
    for (const { address, service } of servers.sample(CHECKED_SERVERS))
      if (!links.cutOff.has(service)) void verify(address);
  };

  const watchBlocked = (now: MonoTime): void => {
    const { links: next, servers: due, services } = takeRechecks(links, now, MAX_RECHECKS);
    update(next);
    for (const { address } of due) void verify(address);
    for (const service of services) {
      const [server] = servers.sample(1, service);
      if (server) void verify(server.address);
      else update(forgetService(links, service));
    }
  };

  const areOwnLinksSound = async (server: LinkedServer): Promise<boolean> =>
    !hasFailuresIn(links, server.service) && (await ownLinks.areSound(server));

  /** What a failed connection says of the server: nothing if it may be for this daemon's own link. */
  const weigh = async (server: LinkedServer, found: ListeningState): Promise<ObservedState> =>
    found === 'listening' || (await areOwnLinksSound(server)) ? found : 'unknown';

  const answerPeer = async (address: string): Promise<ObservedState> => {
    const server = serverAt(address);
    if (!server || links.cutOff.has(server.service)) return 'unknown';
    const found = await checkListening(address, CHECK_TIMEOUT_MS);
    if (found === 'listening') setReached(address);
    return weigh(server, found);
  };

  return {
    forwarderOf: (address) => {
      if (!hasFailures()) return undefined;
      const server = serverAt(address);
      if (!server || !isBlocked(links, server)) return undefined;
      links = noteUsed(links, address, clock.now());
      return forwardPeers.pick(server.service);
    },
    isBlocked: (address) => {
      const server = serverAt(address);
      return server !== undefined && isBlocked(links, server);
    },
    isUnreachable: (service) =>
      links.cutOff.has(service) && forwardPeers.list(service).length === 0,
    isUnreached: (address) => {
      const until = unreachedUntil.get(address);
      return until !== undefined && clock.now() < until;
    },
    cutOff: () => [...links.cutOff.keys()],
    noteConnect: (address, isConnected) => {
      if (isConnected) setReached(address);
      else if (!isKnownGone(address)) void confirmOnce(address);
    },
    verify,
    noteForwarderFailed: (peer) => {
      forwardPeers.noteFailed(peer);
    },
    findState: async (address, timeoutMs) => {
      const found = await checkListening(address, timeoutMs);
      if (found === 'listening') setReached(address);
      const server = serverAt(address);
      if (found === 'listening' || !server) return found;
      const { state, answeredInMs } = await forwardPeers.ask(server, weigh(server, found));
      if (state === 'listening') await noteReachedByPeer(server, answeredInMs);
      if (state === 'refused') ownLinks.noteEnded(address);
      return state;
    },
    noteEnded: (address) => {
      ownLinks.noteEnded(address);
    },
    answerPeer,
    hasReceivedRecently: () => silence.hasReceivedRecently(),
    blocked: blockedServers,
    unreached: unreachedServers,
    changes,
    tick: () => {
      const now = clock.now();
      forwardPeers.tick();
      ownLinks.tick();
      if (silence.tick()) checkAfterSilence();
      watchBlocked(now);
      pruneFindings(now);
    },
  };
}

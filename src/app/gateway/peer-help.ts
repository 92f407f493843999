/** Sends peers that are behind what they are missing: the store refuses them, or they have just started. */

import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import { isLater, ORIGIN_POSITION } from '../../core/store-era';
import { createConfigHelp } from './config-help';
import type { LaggingProgress } from './config-help';
import type { ConfigView } from './config-view';
import type { GatewayContext } from './context';
import type { Evacuations } from './evacuations';
import type { Fleet } from './fleet';
import type { Leadership } from './lease';
import type { PeerProgress } from './messages';
import type { Quarantine } from './quarantine/quarantine';
import type { ServerRegistry } from './server-registry';

export interface PeerHelpDeps {
  readonly ctx: GatewayContext;
  readonly config: ConfigView;
  readonly evacuations: Evacuations;
  readonly serverRegistry: ServerRegistry;
  readonly fleet: Fleet;
  readonly leadership: Leadership;
  readonly quarantine: Pick<Quarantine, 'digest' | 'refused'>;
}

export interface PeerHelp {
  /**
   * Sends the peer the configuration, the servers and the refused requests if its progress shows that
   * it lacks them. `via` is the daemon that delivered its report.
   */
  sendMissing(peer: LaggingProgress, address: string, via: string): void;
}

/** The store informs all daemons of a change within milliseconds; peers wait for this long. */
const HELP_DELAY_MS = 250;
/** Minimum time between two messages that help the same peer. */
const HELP_INTERVAL_MS = 500;
/** Daemons of a large fleet, other than the leader, that help the same peer at a time. */
const MAX_HELPERS = 3;

export function createPeerHelp({
  ctx,
  config,
  evacuations,
  serverRegistry,
  fleet,
  leadership,
  quarantine,
}: PeerHelpDeps): PeerHelp {
  const configHelp = createConfigHelp({ ctx, config, evacuations, fleet, leadership });
  const nextHelpAt = new Map<string, MonoTime>();
  /** Position up to which the servers are known, and since when. */
  let serversAt = ORIGIN_POSITION;
  let serversSince = ctx.clock.now();

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

  const sendServers = (peer: PeerProgress, address: string, now: MonoTime): void => {
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

  /** Both sides send theirs, as either may refuse what the other does not. */
  const sendRefused = (peer: PeerProgress, address: string): void => {
    const digest = quarantine.digest();
    if (digest === 0 || digest === (peer.refusedDigest ?? 0)) return;
    if (!mayHelp(`refused ${address}`)) return;
    fleet.send(address, { kind: 'refused', requests: quarantine.refused() });
  };

  return {
    sendMissing: (peer, address, via) => {
      const now = ctx.clock.now();
      configHelp.send(peer, { address, via }, now);
      if (!isHelper()) return;
      sendServers(peer, address, now);
      sendRefused(peer, address);
    },
  };
}

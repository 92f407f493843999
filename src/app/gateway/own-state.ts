/** The state message of this daemon. */

import type { GossipDeps } from './gossip';
import { toReport } from './loads';
import type { PeerProgress, PeerState } from './messages';

type Knowledge = PeerProgress & Pick<PeerState, 'hasTraffic' | 'evacuations'>;

type OwnStateDeps = Omit<GossipDeps, 'planner' | 'fleet'> & {
  readonly hasLeader: () => boolean;
  readonly hasTraffic: () => boolean;
};

/** Returns a function that reports this daemon's current state, as the holder of `lease` if it leads. */
export function createOwnState({
  ctx,
  config,
  serverRegistry,
  groupRegistry,
  leadership,
  evacuations,
  waitQueue,
  arrivals,
  limits: rateLimits,
  leaving: leavingServers,
  cold: coldServers,
  isStopping,
  hasLeader,
  hasTraffic,
}: OwnStateDeps): (lease?: PeerState['lease']) => PeerState {
  return (lease = leadership.ownLease()) => {
    const evacuated = evacuations.report();
    const cold = coldServers.report();
    return {
      kind: 'state',
      configVersion: config.version(),
      serversAt: serverRegistry.changedAt(),
      storeEra: ctx.store.era(),
      isStoreLost: serverRegistry.watch.isFailing(),
      storeAgeMs: Math.round(serverRegistry.watch.ageMs()),
      configAgeMs: Math.round(config.watch.ageMs()),
      hasTraffic: hasTraffic(),
      ...(evacuated && { evacuations: evacuated }),
      isStopping: isStopping(),
      zone: ctx.settings.zone,
      cores: ctx.settings.cores,
      hearsLeader: lease !== undefined || hasLeader(),
      ...(lease && { lease }),
      running: groupRegistry.running().map((entry) => [...entry]),
      quiet: groupRegistry.quiet().map((entry) => [...entry]),
      paces: groupRegistry.paces().map((entry) => [...entry]),
      waiting: toReport(waitQueue, arrivals),
      limits: rateLimits.report(),
      leaving: leavingServers.report(),
      ...(cold && { cold }),
    };
  };
}

/** The part of a state about its sender's knowledge, which a leader publishes of itself. */
export function knowledgeOf(state: PeerState): Knowledge {
  const { configVersion, serversAt, storeEra, isStoreLost, storeAgeMs, hasTraffic } = state;
  const { configAgeMs, evacuations } = state;
  return {
    ...{ configVersion, serversAt, storeEra, isStoreLost, storeAgeMs, hasTraffic },
    ...(configAgeMs !== undefined && { configAgeMs }),
    ...(evacuations && { evacuations }),
  };
}

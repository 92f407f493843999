/** The state message of this daemon. */

import type { GossipDeps } from './gossip';
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
  quarantine,
  serverLinks,
  isStopping,
  hasLeader,
  hasTraffic,
}: OwnStateDeps): (lease?: PeerState['lease']) => PeerState {
  /** By model: waiting requests and the arrival rate, requests a second. */
  const offeredLoad = (): PeerState['waiting'] => {
    const models = new Set([...waitQueue.waiting(), ...arrivals.rates()].map(([model]) => model));
    return [...models].map((model) => [model, waitQueue.count(model), arrivals.rate(model)]);
  };

  return (lease = leadership.ownLease()) => {
    const evacuated = evacuations.report();
    const cold = coldServers.report();
    const crashes = quarantine.report();
    const refusedDigest = quarantine.digest();
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
      ...(ctx.settings.forwardListen !== undefined && {
        forwardAddress: ctx.settings.forwardListen,
      }),
      cutOff: [...serverLinks.cutOff()],
      ...(lease && { lease }),
      running: groupRegistry.running().map((entry) => [...entry]),
      quiet: groupRegistry.quiet().map((entry) => [...entry]),
      paces: groupRegistry.paces().map((entry) => [...entry]),
      waiting: offeredLoad(),
      limits: rateLimits.report(),
      leaving: leavingServers.report(),
      ...(cold && { cold }),
      ...(refusedDigest !== 0 && { refusedDigest }),
      ...(crashes && { crashes }),
    };
  };
}

/** The part of a state about its sender's knowledge, which a leader publishes of itself. */
export function knowledgeOf(state: PeerState): Knowledge {
  const { configVersion, serversAt, storeEra, isStoreLost, storeAgeMs, hasTraffic } = state;
  const { configAgeMs, evacuations, refusedDigest } = state;
  return {
    ...{ configVersion, serversAt, storeEra, isStoreLost, storeAgeMs, hasTraffic },
    ...(configAgeMs !== undefined && { configAgeMs }),
    ...(evacuations && { evacuations }),
    ...(refusedDigest !== undefined && { refusedDigest }),
  };
}

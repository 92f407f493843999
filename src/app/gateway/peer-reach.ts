/** Which peers reach which services themselves, and may forward requests there. */

import type { ForwardPeer } from '../../core/gateway/server-links';
import type { DaemonId, ServiceId } from '../../core/ids';
import type { DaemonEntry } from '../../ports/gateway';
import type { Leader, PeerView } from './peer-view';

export interface PeerReach {
  /** Peers that may forward requests, as far as known; those that do not respond are left out. */
  forwardPeers(): readonly ForwardPeer[];
  /** Services that the peer is known to reach through others only. */
  cutOff(id: DaemonId): ReadonlySet<ServiceId>;
}

export interface PeerReachOptions {
  readonly self: DaemonId;
  /** Daemon entries of the store. */
  readonly entries: ReadonlyMap<DaemonId, DaemonEntry>;
  /** Only fresh states: an older one may name a cut that has ended. */
  readonly live: () => readonly PeerView[];
  readonly leader: () => Pick<Leader, 'cutOff'> | undefined;
  readonly silent: () => readonly DaemonId[];
}

export function createPeerReach({
  self,
  entries,
  live,
  leader,
  silent,
}: PeerReachOptions): PeerReach {
  /** Services that the leader reported each daemon to be cut off from. */
  const reportedCutOff = (): ReadonlyMap<DaemonId, readonly ServiceId[]> =>
    new Map(leader()?.cutOff);

  return {
    cutOff: (id) => {
      const view = live().find((peer) => peer.id === id);
      return new Set([...(reportedCutOff().get(id) ?? []), ...(view?.cutOff ?? [])]);
    },
    forwardPeers: () => {
      const unresponsive = new Set(silent());
      const reported = reportedCutOff();
      const known = new Map<DaemonId, ForwardPeer>();
      for (const [id, { zone, forwardAddress }] of entries) {
        if (unresponsive.has(id)) continue;
        const cutOff = new Set(reported.get(id));
        known.set(id, { id, zone, forwardAddress, cutOff, isStopping: false });
      }
      for (const { id, zone, forwardAddress, isStopping, cutOff: own } of live()) {
        const cutOff = new Set([...(reported.get(id) ?? []), ...own]);
        known.set(id, { id, zone, forwardAddress, cutOff, isStopping });
      }
      known.delete(self);
      return [...known.values()];
    },
  };
}

/** A string that changes when a peer joins, leaves or changes state; used as a cache key. */

import type { PeerInfo } from '../parts';

export function peersSignature(peers: readonly PeerInfo[]): string {
  return peers.map(({ id, state }) => `${id} ${state}`).join('\n');
}

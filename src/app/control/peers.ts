/** The peers as a text that changes when one comes, goes or changes state. */

import type { PeerInfo } from '../parts';

export function signatureOf(peers: readonly PeerInfo[]): string {
  return peers.map(({ id, state }) => `${id} ${state}`).join('\n');
}

/** Paths of orders and report requests, directly or through a peer. */

import { forwardHeaders } from '../../adapters/upstream/forward-protocol';
import type { ServerPaths } from '../../ports/gateway';
import type { ServerLinkWatch } from './server-links';

export function createServerPaths(
  secret: string,
  links: Pick<ServerLinkWatch, 'forwarderOf' | 'verify'>,
): ServerPaths {
  return {
    resolve: (req) => {
      const forwarder = links.forwarderOf(req.address);
      if (!forwarder) return { address: req.address, headers: {} };
      return { address: forwarder.address, headers: forwardHeaders(secret, req) };
    },
    noteFailed: (address) => {
      void links.verify(address);
    },
  };
}

/** Paths of orders and report requests, directly or through a peer. */

import { forwardHeaders } from '../../adapters/upstream/forward-protocol';
import type { ServerPaths } from '../../ports/gateway';
import type { GatewayContext } from './context';
import type { ServerLinkWatch } from './server-links';

export function createServerPaths(
  { settings, logger }: Pick<GatewayContext, 'settings' | 'logger'>,
  links: Pick<ServerLinkWatch, 'forwarderOf' | 'verify'>,
): ServerPaths {
  return {
    resolve: (req) => {
      const forwarder = links.forwarderOf(req.address);
      if (!forwarder) return { address: req.address, headers: {} };
      logger.info('order or report request sent through a peer', {
        step: 'forward',
        ...{ address: req.address, peer: forwarder.id, path: req.path },
      });
      return {
        address: forwarder.address,
        headers: forwardHeaders(settings.peerSecret, req),
      };
    },
    noteFailed: (address) => {
      void links.verify(address);
    },
  };
}

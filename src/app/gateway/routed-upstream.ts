/** Sends requests to backend servers directly, or through a peer where this daemon's own link has failed. */

import type { ForwardClient } from '../../adapters/upstream/forward-client';
import type { Upstream, UpstreamCall, UpstreamResult } from '../../adapters/upstream/upstream';
import type { GatewayContext } from './context';
import type { ServerLinkWatch } from './server-links';

/** Peers that are tried for one call, as long as none was sent it. */
const MAX_FORWARDERS = 2;

export interface RoutedUpstreamOptions {
  readonly direct: Upstream;
  readonly forwarding: ForwardClient;
  readonly links: Pick<ServerLinkWatch, 'forwarderOf' | 'noteForwarderFailed'>;
}

export function createRoutedUpstream(
  { metrics, logger }: Pick<GatewayContext, 'metrics' | 'logger'>,
  { direct, forwarding, links }: RoutedUpstreamOptions,
): Pick<Upstream, 'send'> {
  const send = async (call: UpstreamCall): Promise<UpstreamResult> => {
    let last: UpstreamResult | undefined;
    for (let tries = 0; tries < MAX_FORWARDERS; tries++) {
      const forwarder = links.forwarderOf(call.address);
      if (!forwarder) break;
      const { result, hasPeerFailed } = await forwarding.send(call, forwarder.address);
      metrics.count('nutmegstack_calls_sent_through_peers_total', { outcome: result.kind });
      logger.info('request sent through a peer', {
        step: 'forward',
        ...(call.requestId !== undefined && { requestId: call.requestId }),
        ...{ address: call.address, peer: forwarder.id, outcome: result.kind, hasPeerFailed },
      });
      if (hasPeerFailed) links.noteForwarderFailed(forwarder.id);
      if (result.kind !== 'not-sent' || !hasPeerFailed || call.signal.aborted) return result;
      last = result;
    }
    return last ?? direct.send(call);
  };
  return { send };
}

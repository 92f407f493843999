/** A peer that forwards requests to servers, and a client that sends them through it. */

import { createForwardClient } from '../../src/adapters/upstream/forward-client';
import { createUpstream } from '../../src/adapters/upstream/upstream';
import type { UpstreamResult } from '../../src/adapters/upstream/upstream';
import { createForwarding } from '../../src/app/gateway/forwarding';
import { makeContext } from './support';

export const FORWARDING_SECRET = 'a secret of this test alone';

export interface ForwardingRig {
  /** Sends a request to the server at `address` through the peer. */
  send(address: string): Promise<UpstreamResult>;
  close(): void;
}

/** Starts the peer, which listens at `forwardListen`. */
export async function startForwardingRig(forwardListen: string): Promise<ForwardingRig> {
  const upstream = createUpstream({ connectTimeoutMs: 200 });
  const forwarding = createForwarding(
    makeContext({ settings: { forwardListen, peerSecret: FORWARDING_SECRET } }),
    {
      upstream,
      dialect: { parseRequest: () => ({ promptTokens: 0, maxOutputTokens: 0 }) },
      isServer: () => true,
      isCutOff: () => false,
      answerPeer: () => Promise.resolve('refused'),
    },
  );
  await forwarding.start();
  const toPeer = createUpstream();
  const client = createForwardClient(toPeer, FORWARDING_SECRET);
  return {
    send: async (address) => {
      const call = {
        ...{ address, method: 'POST', path: '/x', body: Buffer.from('body') },
        headers: ['Host', 'a.example', 'Content-Length', '4'],
        ...{ ownConnection: false, beforeSend: () => undefined },
        signal: new AbortController().signal,
      };
      return (await client.send(call, forwardListen)).result;
    },
    close: () => {
      forwarding.close();
      upstream.close();
      toPeer.close();
    },
  };
}

/** A peer that forwards requests to servers, and a client that sends them through it. */

import { createForwardClient } from '../../src/adapters/upstream/forward-client';
import type { ForwardResult } from '../../src/adapters/upstream/forward-client';
import { createUpstream } from '../../src/adapters/upstream/upstream';
import { createForwarding } from '../../src/app/gateway/forwarding';
import { makeContext } from './support';

const SECRET = 'a secret of this test alone';
/** Limit of a request, milliseconds. */
const CALL_MS = 5_000;

export interface ForwardingRig {
  /** Sends a request to the server at `address` through the peer. */
  send(address: string, body?: Buffer): Promise<ForwardResult>;
  close(): void;
}

/** Starts the peer, which listens at `forwardListen`. */
export async function startForwardingRig(forwardListen: string): Promise<ForwardingRig> {
  const upstream = createUpstream({ connectTimeoutMs: 200 });
  const forwarding = createForwarding(
    makeContext({ settings: { forwardListen, peerSecret: SECRET } }),
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
  const client = createForwardClient(toPeer, SECRET);
  return {
    send: (address, body = Buffer.from('body')) => {
      const call = {
        ...{ address, method: 'POST', path: '/x', body },
        headers: ['Host', 'a.example', 'Content-Length', String(body.length)],
        ...{ ownConnection: false, beforeSend: () => undefined },
        signal: AbortSignal.timeout(CALL_MS),
      };
      return client.send(call, forwardListen);
    },
    close: () => {
      forwarding.close();
      upstream.close();
      toPeer.close();
    },
  };
}

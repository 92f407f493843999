/**
 * How a daemon asks a peer to forward a request to a backend server. The request is sent as the server should
 * receive it, with two more headers: the server's address, and a proof of the secret that daemons share.
 */

import { createHmac, timingSafeEqual } from 'node:crypto';

import type { ServerRequest } from '../../ports/gateway';

/** `host:port` of the server that the request is for. */
export const FORWARD_TO = 'forward-to';
/** HMAC of the request under the shared secret, hexadecimal. */
export const FORWARD_PROOF = 'forward-proof';
/**
 * In the peer's own responses: what became of the request. `refused`: the peer did not try to send it;
 * `not-sent`: it got no connection to the server; `lost`: it got no complete answer.
 */
export const FORWARD_ERROR = 'forward-error';
/** Path that asks whether a server listens; no request is forwarded. */
export const CHECK_PATH = '/forward-check';

export type ForwardedRequest = ServerRequest;

export const NO_BODY = new Uint8Array();

function proofOf(secret: string, { address, method, path, body }: ForwardedRequest): Buffer {
  return createHmac('sha256', secret)
    .update(JSON.stringify(['forward', address, method, path, body.length]))
    .update(body)
    .digest();
}

/** The headers that make a peer forward the request. */
export function forwardHeaders(secret: string, req: ForwardedRequest): Record<string, string> {
  return {
    [FORWARD_TO]: req.address,
    [FORWARD_PROOF]: proofOf(secret, req).toString('hex'),
  };
}

/** Whether the proof belongs to the request; compares in constant time. */
export function isProven(
  secret: string,
  req: ForwardedRequest,
  proof: string | undefined,
): boolean {
  const expected = proofOf(secret, req);
  const given = Buffer.from(proof ?? '', 'hex');
  return expected.length === given.length && timingSafeEqual(expected, given);
}

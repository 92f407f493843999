/**
 * How a daemon asks a peer to forward a request to a backend server. The request is sent as the server should
 * receive it, with two more headers: the server's address, and a proof of the secret that daemons share.
 */

import { createHmac, timingSafeEqual } from 'node:crypto';

import type { ServerRequest } from '../../ports/gateway';

/** `host:port` of the server that the request is for. */
export const FORWARD_TO = 'nutmegstack-forward-to';
/** HMAC of the request under the shared secret, hexadecimal. */
export const FORWARD_PROOF = 'nutmegstack-forward-proof';
/**
 * In the peer's own responses: what became of the request. `refused`: the peer did not try to send it;
 * `not-sent`: it got no connection to the server; `lost`: it got no complete answer.
 */
export const FORWARD_ERROR = 'nutmegstack-forward-error';
/** What the peer is asked to do: forward the request, or tell whether the server listens. */
export type ForwardPurpose = 'forward' | 'check';

export type ForwardedRequest = ServerRequest;

export const NO_BODY = new Uint8Array();

/** The purpose is part of the proof, so that no header or path of a caller can change it. */
function proofOf(
  secret: string,
  purpose: ForwardPurpose,
  { address, method, path, body }: ForwardedRequest,
): Buffer {
  return createHmac('sha256', secret)
    .update(JSON.stringify([purpose, address, method, path, body.length]))
    .update(body)
    .digest();
}

/** The headers that make a peer forward the request, or check its server. */
export function forwardHeaders(
  secret: string,
  req: ForwardedRequest,
  purpose: ForwardPurpose = 'forward',
): Record<string, string> {
  return {
    [FORWARD_TO]: req.address,
    [FORWARD_PROOF]: proofOf(secret, purpose, req).toString('hex'),
  };
}

/** For what purpose the proof is valid for the request, if for any; compares in constant time. */
export function provenPurpose(
  secret: string,
  req: ForwardedRequest,
  proof: string | undefined,
): ForwardPurpose | undefined {
  const given = Buffer.from(proof ?? '', 'hex');
  return (['forward', 'check'] as const).find((purpose) => {
    const expected = proofOf(secret, purpose, req);
    return expected.length === given.length && timingSafeEqual(expected, given);
  });
}

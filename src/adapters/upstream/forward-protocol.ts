/**
 * How a daemon asks a peer to forward a request to a backend server. The request is sent as the server should
 * receive it, with two more headers: the server's address, and a proof of the secret that daemons share.
 */

import { createHmac, timingSafeEqual } from 'node:crypto';

import type { ServerRequest } from '../../ports/gateway';

/** `host:port` of the server that the request is for. */
export const FORWARD_TO = 'nutmegstack-forward-to';
/**
 * HMAC of the request under the shared secret, hexadecimal, and behind a dot that of its head alone. Daemons of earlier
 * versions send only the first, and read no further than the dot.
 */
export const FORWARD_PROOF = 'nutmegstack-forward-proof';
/**
 * In the peer's own responses: what became of the request. `refused`: the peer did not try to send it;
 * `not-sent`: it got no connection to the server; `lost`: it got no complete answer.
 */
export const FORWARD_ERROR = 'nutmegstack-forward-error';
/** In the peer's responses: `close` if the server's answer ended with its connection. */
export const FORWARD_FRAMING = 'nutmegstack-forward-framing';
/** What the peer is asked to do: forward the request, or tell whether the server listens. */
export type ForwardPurpose = 'forward' | 'check';

export type ForwardedRequest = ServerRequest;
/** What is known of a request before its body is read. */
export type ForwardedHead = Omit<ServerRequest, 'body'> & { readonly bodyBytes: number };

export const NO_BODY = new Uint8Array();
const PROOF_BYTES = 32;

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

/** Says that a peer is about to send a body of this length, so that the body may be read. */
function headProofOf(
  secret: string,
  purpose: ForwardPurpose,
  { address, method, path, bodyBytes }: ForwardedHead,
): Buffer {
  return createHmac('sha256', secret)
    .update(JSON.stringify(['head', purpose, address, method, path, bodyBytes]))
    .digest();
}

/** The headers that make a peer forward the request, or check its server. */
export function forwardHeaders(
  secret: string,
  req: ForwardedRequest,
  purpose: ForwardPurpose = 'forward',
): Record<string, string> {
  const proof = proofOf(secret, purpose, req).toString('hex');
  const head = { ...req, bodyBytes: req.body.length };
  const headProof = headProofOf(secret, purpose, head).toString('hex');
  return { [FORWARD_TO]: req.address, [FORWARD_PROOF]: `${proof}.${headProof}` };
}

/** The purpose whose proof is the given one; compares in constant time. */
function findPurpose(
  given: string | undefined,
  expectedOf: (purpose: ForwardPurpose) => Buffer,
): ForwardPurpose | undefined {
  const bytes = Buffer.from(given ?? '', 'hex');
  return (['forward', 'check'] as const).find((purpose) => {
    const expected = expectedOf(purpose);
    return expected.length === bytes.length && timingSafeEqual(expected, bytes);
  });
}

/** For what purpose the proof is valid for the request, if for any. */
export function provenPurpose(
  secret: string,
  req: ForwardedRequest,
  proof = '',
): ForwardPurpose | undefined {
  return findPurpose(proof.split('.')[0], (purpose) => proofOf(secret, purpose, req));
}

/**
 * What is known of the sender before the body is read: `invalid` if it tries to prove the head, or the request, and
 * cannot; `unknown` if it proves the whole request only.
 */
export function headProofState(
  secret: string,
  head: ForwardedHead,
  proof = '',
): 'valid' | 'invalid' | 'unknown' {
  const [whole, headProof] = proof.split('.');
  if (whole?.length !== 2 * PROOF_BYTES) return 'invalid';
  if (headProof === undefined) return 'unknown';
  const purpose = findPurpose(headProof, (one) => headProofOf(secret, one, head));
  return purpose === undefined ? 'invalid' : 'valid';
}

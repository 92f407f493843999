/** Writes responses to callers, whose ends must not promise more than is known of the server's answer. */

import type { ServerResponse } from 'node:http';

import type { Framing } from '../../core/gateway/response-framing';

/** Responses that end with their connection. */
const closeDelimited = new WeakSet<ServerResponse>();

/** Why an answer that ends with its connection is not passed on if nothing came behind its head. */
export const CUT_BEHIND_HEAD = 'the answer has no length and ended behind its head';

export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/**
 * Writes the head of a response whose body follows in parts, in chunks also where the server's answer ends with its
 * connection: the kernel closes the connections of a process that is killed in the ordinary way, so that only the
 * missing last chunk shows the caller that the answer was cut.
 */
export function beginResponse(res: ServerResponse, { status, headers }: ResponseHead): void {
  res.writeHead(status, [...headers]);
  // Callers of HTTP/1.0 read no chunks.
  if (!res.chunkedEncoding) closeDelimited.add(res);
}

/** Sends a response whose body was received up to its end. It has a length only if the server gave one or the like. */
export function sendResponse(
  res: ServerResponse,
  { framing, ...head }: ResponseHead & { readonly framing: Framing },
  body: Buffer,
): void {
  const isMeasured = framing === 'length' || framing === 'chunks';
  if (isMeasured)
    res.writeHead(head.status, [...head.headers, 'Content-Length', String(body.length)]);
  else beginResponse(res, head);
  res.end(body);
}

/** Ends the connection of a response that is not whole. An ordinary close would be the end of some responses. */
export function breakOff(res: ServerResponse): void {
  if (closeDelimited.has(res) && !res.writableFinished) res.socket?.resetAndDestroy();
  res.destroy();
}

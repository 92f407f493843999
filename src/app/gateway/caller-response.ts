/** Writes responses to callers, whose ends must not promise more than is known of the server's answer. */

import type { ServerResponse } from 'node:http';

import type { Framing } from '../../core/gateway/response-framing';
import type { Exchange } from './exchange';

/** Responses that end with their connection. */
const closeDelimited = new WeakSet<ServerResponse>();

/** Why an answer that ends with its connection is not passed on where the caller could not see that. */
export const UNPROVEN_END = 'nothing shows whether the answer is whole';

/** Whether the caller's connection may end with an answer of this framing, as no other of its requests waits for one. */
export function mayEndWith(
  { isAloneOnConnection }: Pick<Exchange, 'isAloneOnConnection'>,
  framing: Framing,
): boolean {
  return framing !== 'close' || isAloneOnConnection();
}

export function endsWithConnection(res: ServerResponse): boolean {
  return closeDelimited.has(res);
}

export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  /** How the end of the server's answer is known. Where nothing shows it, nothing is to show it to the caller. */
  readonly framing: Framing;
}

/** Writes the head of a response whose body follows in parts. */
export function beginResponse(
  res: ServerResponse,
  { status, headers, framing }: ResponseHead,
): void {
  if (framing === 'close') {
    res.useChunkedEncodingByDefault = false;
    res.shouldKeepAlive = false;
  }
  res.writeHead(status, [...headers]);
  // Callers of HTTP/1.0 read no chunks.
  if (!res.chunkedEncoding) closeDelimited.add(res);
}

/** Sends a response whose body was received completely, as far as its framing shows. */
export function sendResponse(res: ServerResponse, head: ResponseHead, body: Buffer): void {
  const isMeasured = head.framing === 'length' || head.framing === 'chunks';
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

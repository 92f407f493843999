/** Writes responses to callers, whose ends must not promise more than is known of the server's answer. */

import type { ServerResponse } from 'node:http';

/** Responses that end with their connection. */
const closeDelimited = new WeakSet<ServerResponse>();

export interface ResponseHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/** Writes the head of a response whose body follows in parts. */
export function beginResponse(res: ServerResponse, { status, headers }: ResponseHead): void {
  res.writeHead(status, [...headers]);
  // Callers of HTTP/1.0 read no chunks.
  if (!res.chunkedEncoding) closeDelimited.add(res);
}

/** Ends the connection of a response that is not whole. An ordinary close would be the end of some responses. */
export function breakOff(res: ServerResponse): void {
  if (closeDelimited.has(res) && !res.writableFinished) res.socket?.resetAndDestroy();
  res.destroy();
}

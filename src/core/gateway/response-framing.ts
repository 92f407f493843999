/**
 * How the body of a response ends (RFC 9112, 6.3). A length or chunks show whether it is whole. A body that ends with
 * its connection may have been cut: a server that stops closes its connections as one that has finished does.
 */

/** `none`: there is no body; `close`: it ends with the connection. */
export type Framing = 'none' | 'length' | 'chunks' | 'close';

export interface FramedResponse {
  /** Method of the request. */
  readonly method: string;
  readonly status: number;
  /** Version of HTTP, such as `1.1`. */
  readonly version: string;
  readonly contentLength: string | undefined;
  readonly transferEncoding: string | undefined;
}

const BODILESS: ReadonlySet<number> = new Set([204, 304]);
const CHUNKED = 'chunked';

/** Undefined if the body cannot be read: no other encoding was asked for, and HTTP/1.0 has none. */
export function framingOf({
  method,
  status,
  version,
  contentLength,
  transferEncoding,
}: FramedResponse): Framing | undefined {
  if (method === 'HEAD' || BODILESS.has(status)) return 'none';
  if (transferEncoding === undefined) return contentLength === undefined ? 'close' : 'length';
  return transferEncoding.toLowerCase() === CHUNKED && version === '1.1' ? 'chunks' : undefined;
}

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
  readonly contentLength: string | undefined;
  readonly transferEncoding: string | undefined;
}

const BODILESS: ReadonlySet<number> = new Set([204, 304]);

export function framingOf({
  method,
  status,
  contentLength,
  transferEncoding,
}: FramedResponse): Framing {
  if (method === 'HEAD' || BODILESS.has(status)) return 'none';
  if (transferEncoding?.toLowerCase() === 'chunked') return 'chunks';
  return contentLength === undefined ? 'close' : 'length';
}

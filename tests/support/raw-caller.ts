/** Sends a request over a connection of its own, and shows the response as it stands on the wire. */

import { connect } from 'node:net';

import { HEADERS } from '../../platform/names';
import { parseAddress } from '../../src/utils/address';

export interface RawReply {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  /** The body, with the framing of its chunks. */
  readonly body: string;
  readonly end: 'closed' | 'reset';
}

export interface RawRequest {
  readonly path: string;
  readonly key: string;
  readonly model: string;
  readonly method?: string;
  readonly version?: '1.0' | '1.1';
  /** Asks the daemon to close the connection with the response. */
  readonly isLast?: boolean;
  /** Sent behind the request on the same connection. */
  readonly behind?: string;
}

export function rawRequest({
  path,
  key,
  model,
  method = 'POST',
  version = '1.1',
  isLast = false,
}: RawRequest): string {
  const headers = [
    `${method} ${path} HTTP/${version}`,
    ...['Host: a.example', `Authorization: Bearer ${key}`, 'Content-Length: 0'],
    ...[`${HEADERS.requestId}: raw`, `${HEADERS.waitMs}: 5000`],
    ...[`${HEADERS.model}: ${model}`, `${HEADERS.tokenCounts}: 100,18`],
    ...(isLast ? ['Connection: close'] : []),
  ];
  return `${headers.join('\r\n')}\r\n\r\n`;
}

function parseReply(text: string, end: RawReply['end']): RawReply {
  const at = text.indexOf('\r\n\r\n');
  const [statusLine = '', ...lines] = text.slice(0, at).split('\r\n');
  const headers = lines.map((line): [string, string] => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  });
  const status = Number(statusLine.split(' ')[1] ?? 0);
  return { status, headers: new Map(headers), body: text.slice(at + 4), end };
}

/** A body of HTTP/1.1 chunks; undefined if the last chunk is missing. */
export function readChunks(body: string): string | undefined {
  let text = '';
  for (let at = 0; ;) {
    const lineEnd = body.indexOf('\r\n', at);
    const size = lineEnd < 0 ? NaN : parseInt(body.slice(at, lineEnd), 16);
    if (Number.isNaN(size)) return undefined;
    if (size === 0) return body.slice(lineEnd) === '\r\n\r\n' ? text : undefined;
    text += body.slice(lineEnd + 2, lineEnd + 2 + size);
    at = lineEnd + 2 + size + 2;
  }
}

/** Whether the response looks whole to a caller that reads it as RFC 9112, 6.3 tells. */
export function looksWhole({ headers, body, end }: RawReply): boolean {
  if (headers.get('transfer-encoding') === 'chunked') return readChunks(body) !== undefined;
  const length = headers.get('content-length');
  return length === undefined ? end === 'closed' : body.length >= Number(length);
}

/** Resolves when the daemon has closed the connection. */
export function callRaw(address: string, req: RawRequest): Promise<RawReply> {
  return new Promise((resolve) => {
    const { host, port } = parseAddress(address);
    const socket = connect({ host, port });
    let text = '';
    let end: RawReply['end'] = 'closed';
    socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
    socket.on('error', () => (end = 'reset'));
    socket.on('close', () => {
      resolve(parseReply(text, end));
    });
    socket.write(rawRequest(req) + (req.behind ?? ''));
  });
}

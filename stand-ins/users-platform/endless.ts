/** Bytes without end in the place of an answer, as a faulty server sends them. */

import type { Socket } from 'node:net';

import { HEADERS } from '../../platform/names';

/** What is sent: `head` once, then `unit` again and again. */
export interface EndlessShape {
  readonly head: string;
  readonly unit: string;
}

/** A fault of the reader must not fill the memory of the test. */
const MAX_BYTES = 256 * 1024 * 1024;
const WRITE_BYTES = 64 * 1024;

const chunked = 'Transfer-Encoding: chunked\r\n';
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const signed = `${HEADERS.signature}: s\r\n`;
const notExecuted = `${HEADERS.notExecuted}: 1\r\n`;
const ok = `HTTP/1.1 200 OK\r\n${signed}${chunked}`;

/** Shapes that end before the head of a final response. */
export const ENDLESS_HEADS: Readonly<Record<string, EndlessShape>> = {
  'interim heads (102)': { head: '', unit: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'interim heads (100)': { head: '', unit: 'HTTP/1.1 100 Continue\r\n\r\n' },
  'interim heads (103) with headers': {
    head: '',
    unit: `HTTP/1.1 103 Early Hints\r\nLink: ${'x'.repeat(2_000)}\r\n\r\n`,
  },
  'empty lines before the status line': { head: '', unit: '\r\n' },
  'a header without end': { head: 'HTTP/1.1 200 OK\r\nX-Long: ', unit: 'x'.repeat(64) },
  'headers without end': { head: 'HTTP/1.1 200 OK\r\n', unit: 'X-More: 1\r\n' },
  'a status line without end': { head: 'HTTP/1.1 200 ', unit: 'OK' },
};

/** Shapes with a body that is no answer, whatever its route. */
export const ENDLESS_BODIES: Readonly<Record<string, EndlessShape>> = {
  'a chunk extension without end': { head: `${ok}\r\n1;x=`, unit: 'y'.repeat(64) },
  'a trailer without end': { head: `${ok}\r\n0\r\nX-Trailer: `, unit: 'y'.repeat(64) },
  'trailers without end': { head: `${ok}\r\n0\r\n`, unit: 'X-More: 1\r\n' },
  'chunks of one byte': { head: `${ok}\r\n`, unit: chunkOf('x') },
  'the body of a failure': {
    head: `HTTP/1.1 500 Internal Server Error\r\n${signed}${chunked}\r\n`,
    unit: chunkOf('x'.repeat(1_000)),
  },
  'the body of an answer without a signature': {
    head: `HTTP/1.1 200 OK\r\n${chunked}\r\n`,
    unit: chunkOf('x'.repeat(1_000)),
  },
  'the body of an answer to another request': {
    head: `${ok}${HEADERS.requestId}: another\r\n\r\n`,
    unit: chunkOf('x'.repeat(1_000)),
  },
  'the body of an answer with a Content-Encoding': {
    head: `${ok}Content-Encoding: gzip\r\n\r\n`,
    unit: chunkOf('x'.repeat(1_000)),
  },
};

/** Bodies of sound plain answers, which are held until their end. */
export const ENDLESS_ANSWERS: Readonly<Record<string, EndlessShape>> = {
  'in chunks': { head: `${ok}\r\n`, unit: chunkOf('x'.repeat(16_000)) },
  'without a length': { head: `HTTP/1.1 200 OK\r\n${signed}\r\n`, unit: 'x'.repeat(16_000) },
  'of fifteen megabytes': {
    head: `HTTP/1.1 200 OK\r\n${signed}Content-Length: 15000000\r\n\r\n`,
    unit: 'x'.repeat(16_000),
  },
};

/** Bodies of responses that state that the request was not executed. */
export const ENDLESS_REJECTIONS: Readonly<Record<string, EndlessShape>> = {
  'a 503 in chunks': {
    head: `HTTP/1.1 503 Service Unavailable\r\n${notExecuted}${chunked}\r\n`,
    unit: chunkOf('x'.repeat(1_000)),
  },
  'a 503 without a length': {
    head: `HTTP/1.1 503 Service Unavailable\r\n${notExecuted}\r\n`,
    unit: 'x'.repeat(1_000),
  },
  'a 503 of eight gigabytes': {
    head: `HTTP/1.1 503 Service Unavailable\r\n${notExecuted}Content-Length: 8000000000\r\n\r\n`,
    unit: 'x'.repeat(1_000),
  },
  'a 503 in chunks of one byte': {
    head: `HTTP/1.1 503 Service Unavailable\r\n${notExecuted}${chunked}\r\n`,
    unit: chunkOf('x'),
  },
};

/** Streams that begin with a sound event and go on without further ones. */
export const ENDLESS_STREAMS: Readonly<Record<string, EndlessShape>> = {
  'empty lines': { head: `${ok}\r\n`, unit: chunkOf('\n'.repeat(1_000)) },
  comments: { head: `${ok}\r\n`, unit: chunkOf(': x\n\n'.repeat(200)) },
  'events without an id after one with an id': {
    head: `${ok}\r\n${chunkOf('id: 1\ndata: a\n\n')}`,
    unit: chunkOf('data: b\n\n'.repeat(100)),
  },
  'an event without end': {
    head: `${ok}\r\n${chunkOf('id: 1\ndata: ')}`,
    unit: chunkOf('x'.repeat(16)),
  },
  'the same event': { head: `${ok}\r\n`, unit: chunkOf('id: 1\ndata: a\n\n') },
};

/** Sends the shape as fast as it is read, until the connection is closed. */
export function sendWithoutEnd(socket: Socket, { head, unit }: EndlessShape): void {
  const piece = Buffer.from(unit.repeat(Math.ceil(WRITE_BYTES / unit.length)));
  let sent = 0;
  const send = (): void => {
    while (!socket.destroyed && sent < MAX_BYTES) {
      sent += piece.length;
      if (!socket.write(piece)) return;
    }
  };
  socket.on('error', () => undefined);
  socket.on('drain', send);
  socket.write(head, 'latin1');
  send();
}

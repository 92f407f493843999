/** Spoiled answers of stand-in servers: bytes without end that are no answer, and answers that cannot be read or are cut. */

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { HEADERS } from '../../platform/names';
import type { ServerName } from '../../src/core/ids';
import { signatureOf } from './signature';

/** Requests by what a spoiled answer may take the place of. */
export type SpoiledRequest = 'stream' | 'plain' | 'report';

/** A spoiled answer: what it begins with, and what follows for as long as it is read. */
interface Shape {
  readonly requests: readonly SpoiledRequest[];
  readonly first: string;
  readonly endless: string;
  /** Whether the server closes the connection at once. */
  readonly closes?: boolean;
}

/** A chunk that is longer than all that is sent. */
const ENDLESS_CHUNK = 'Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n';
const EVENT = 'id: 1\ndata: spoiled 1\n\n';
const ALL: readonly SpoiledRequest[] = ['stream', 'plain', 'report'];
const CALLS: readonly SpoiledRequest[] = ['stream', 'plain'];

export const SPOILED = {
  'interim-heads': { requests: ALL, first: '', endless: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'empty-lines-first': { requests: ALL, first: '', endless: '\r\n' },
  'empty-lines-of-stream': {
    requests: ['stream'],
    first: `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${ENDLESS_CHUNK}`,
    endless: '\n',
  },
  'endless-refusal': {
    requests: CALLS,
    first: `HTTP/1.1 503 Busy\r\n${HEADERS.notExecuted}: 1\r\n${ENDLESS_CHUNK}`,
    endless: 'x',
  },
  'endless-report': {
    requests: ['report'],
    first: `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n${ENDLESS_CHUNK}{"x":"`,
    endless: 'x',
  },
  'status-zero': {
    requests: ALL,
    first: `HTTP/1.1 000 OK\r\nContent-Type: text/event-stream\r\nContent-Length: ${EVENT.length}\r\n\r\n${EVENT}`,
    endless: '',
  },
  'protocol-switch': {
    requests: ALL,
    first: 'HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n',
    endless: '',
  },
  'cut-head': {
    requests: ALL,
    first: 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Enc',
    endless: '',
    closes: true,
  },
  'cut-body': {
    requests: ALL,
    first: `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: ${EVENT.length}\r\n\r\n${EVENT.slice(0, -2)}`,
    endless: '',
    closes: true,
  },
} as const satisfies Readonly<Record<string, Shape>>;

export type SpoiledKind = keyof typeof SPOILED;

/** A spoiled answer that a server sent. */
export interface SpoiledAnswer {
  readonly kind: SpoiledKind;
  readonly server: ServerName;
  readonly requestId: string;
  bytes: number;
}

export interface Spoils {
  /** Spoils the next answers of a kind, so many to each kind of request; the returned function ends that. */
  begin(kind: SpoiledKind, count: number): () => void;
  readonly sent: readonly SpoiledAnswer[];
  /** Sends a spoiled answer if one is due for such a request; tells which. */
  spoil(
    request: SpoiledRequest,
    server: ServerName,
    req: IncomingMessage,
  ): SpoiledAnswer | undefined;
}

const PIECE_BYTES = 65_536;
/** More than all buffers on the way hold: one who has read so much did not stop. */
export const MOST_SPOILED_BYTES = 48_000_000;
/** Longer than any deadline of the tests. */
const LONGEST_MS = 6_000;

/** Sends pieces as fast as they are read, until the other end closes or a limit is reached. */
function sendOn(socket: Socket, piece: Buffer, answer: SpoiledAnswer): void {
  const send = (): void => {
    if (socket.destroyed) return;
    if (answer.bytes >= MOST_SPOILED_BYTES) {
      socket.destroy();
      return;
    }
    answer.bytes += piece.length;
    if (socket.write(piece)) setImmediate(send);
    else socket.once('drain', send);
  };
  send();
}

/** Whether the answer says that the request has not run. */
export function isRefusal(answer: SpoiledAnswer | undefined): boolean {
  return answer?.kind === 'endless-refusal';
}

export function createSpoils(): Spoils {
  /** Number of answers yet to spoil. */
  const due = new Map<SpoiledRequest, Map<SpoiledKind, number>>();
  const take = (request: SpoiledRequest): SpoiledKind | undefined => {
    const [found] = [...(due.get(request) ?? [])].filter(([, count]) => count > 0);
    if (!found) return undefined;
    const [kind, count] = found;
    due.get(request)?.set(kind, count - 1);
    return kind;
  };
  const sent: SpoiledAnswer[] = [];
  return {
    sent,
    begin: (kind, count) => {
      const { requests }: Shape = SPOILED[kind];
      for (const request of requests)
        due.set(request, (due.get(request) ?? new Map<SpoiledKind, number>()).set(kind, count));
      return () => {
        for (const request of requests) due.get(request)?.delete(kind);
      };
    },
    spoil: (request, server, req) => {
      const { socket } = req;
      const kind = take(request);
      if (kind === undefined) return undefined;
      const requestId = String(req.headers[HEADERS.requestId] ?? '');
      const answer: SpoiledAnswer = { kind, server, requestId, bytes: 0 };
      sent.push(answer);
      const { first, endless, closes }: Shape = SPOILED[kind];
      const [line, ...rest] = first.split('\r\n');
      const own = [
        `${HEADERS.requestId}: ${requestId}`,
        `${HEADERS.signature}: ${signatureOf(server, requestId)}`,
      ];
      if (line) socket.write([line, ...own, ...rest].join('\r\n'));
      const closing = setTimeout(() => socket.destroy(), LONGEST_MS);
      socket.once('close', () => {
        clearTimeout(closing);
      });
      if (closes === true) socket.end();
      if (endless)
        sendOn(socket, Buffer.from(endless.repeat(PIECE_BYTES / endless.length)), answer);
      return answer;
    },
  };
}

/** Response headers in which servers report about themselves, and a record of received requests. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { HEADERS } from '../../platform/names';
import type { ServerName } from '../../src/core/ids';
import { sendWithoutEnd } from './endless';
import type { EndlessShape } from './endless';

/** Bytes in place of an answer, after which the connection ends, or stays open. */
export interface RawAnswer {
  readonly bytes: string;
  readonly end: 'close' | 'reset' | 'none';
}

const ENDS: Readonly<Record<RawAnswer['end'], (socket: Socket) => void>> = {
  close: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
  none: () => undefined,
};
/** Time for the bytes to be read before a reset, which discards what is not, milliseconds. */
const READ_MS = 20;

function sendRaw(socket: Socket, { bytes, end }: RawAnswer): void {
  socket.on('error', () => undefined);
  socket.write(bytes, 'latin1', () => {
    setTimeout(ENDS[end], READ_MS, socket);
  });
}

/** A request that a server received, executed or not. */
export interface Arrival {
  readonly server: ServerName;
  readonly requestId: string;
  /** `performance.now()`. */
  readonly at: number;
}

export interface Statements {
  /** Headers that a server adds to all its responses. */
  readonly responseHeaders: Map<ServerName, Readonly<Record<string, string>>>;
  /** Servers that reject every request as not executed. */
  readonly shedding: Set<ServerName>;
  /** What requests with this path are answered with, by all servers. */
  readonly endless: Map<string, EndlessShape>;
  /** What requests with this path are answered with, by all servers; the next of several each time. */
  readonly raw: Map<string, RawAnswer[]>;
  readonly arrivals: readonly Arrival[];
  /** Records a request; answers it where the server sheds load, or sends without end. */
  receive(server: ServerName, req: IncomingMessage, res: ServerResponse): 'taken' | 'turned-away';
}

export function createStatements(): Statements {
  const says = new Map<ServerName, Readonly<Record<string, string>>>();
  const shedding = new Set<ServerName>();
  const endless = new Map<string, EndlessShape>();
  const raw = new Map<string, RawAnswer[]>();
  const arrivals: Arrival[] = [];
  return {
    responseHeaders: says,
    shedding,
    endless,
    raw,
    arrivals,
    receive: (server, req, res) => {
      const requestId = String(req.headers[HEADERS.requestId] ?? '');
      arrivals.push({ server, requestId, at: performance.now() });
      for (const [name, value] of Object.entries(says.get(server) ?? {}))
        res.setHeader(name, value);
      const shape = endless.get(req.url ?? '');
      if (shape) {
        sendWithoutEnd(req.socket, shape);
        return 'turned-away';
      }
      const answer = raw.get(req.url ?? '')?.shift();
      if (answer) {
        sendRaw(req.socket, answer);
        return 'turned-away';
      }
      if (!shedding.has(server)) return 'taken';
      res.writeHead(503, { [HEADERS.notExecuted]: '1' }).end();
      return 'turned-away';
    },
  };
}

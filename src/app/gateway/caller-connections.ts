/**
 * Closes connections of callers without cutting an answer: all requests that were read on a connection are answered
 * before it closes, and the last answer announces that.
 */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { closeLingering, closeSoon } from './linger';

export interface CallerConnections {
  noteConnection(socket: Socket): void;
  /**
   * Notes a request that was read; false if its connection is to close with an earlier answer. It must not be served
   * then, as its caller cannot get the answer.
   */
  noteRequest(req: IncomingMessage, res: ServerResponse): boolean;
  /** Requests that are being read or answered. */
  outstanding(): Iterable<ServerResponse>;
  inFlight(): number;
  /** Whether a request that was read whole on the connection is not answered. */
  isAnswering(socket: Socket): boolean;
  /** Whether one request of the connection is being read or answered. */
  hasOne(socket: Socket): boolean;
  /** The connection closes with the last answer to what was read on it. */
  closeAfterAnswers(socket: Socket): void;
  /** From now on, the last answer on each connection closes it. */
  beginStop(): void;
  /** Closes the connections on which no request is being read or answered. */
  closeIdle(): void;
  /** Ends a connection with a raw response, once all requests that were read whole on it are answered. */
  endWith(socket: Socket, response: string): void;
}

/** A request and its response. */
interface Pair {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/**
 * A connection that was promised to stay open is closed after this time without a request, milliseconds: a request that
 * is on its way to it at the beginning of the stop is still answered.
 */
const IDLE_AT_STOP_MS = 1_000;
/** Answers of a connection up to this length reach its caller before it reads them, bytes. */
const MAX_UNREAD_BYTES = 32 * 1024;

export function createCallerConnections(): CallerConnections {
  /** Requests of each connection that are not answered, in order of arrival. */
  const connections = new Map<Socket, Pair[]>();
  const closing = new WeakSet<Socket>();
  /** Bytes read from a connection when its last request was answered. */
  const readBytes = new WeakMap<Socket, number>();
  /** Raw responses that end connections. */
  const finalResponses = new WeakMap<Socket, string>();
  /** Responses that close their connection for no wish of its caller. */
  const announced = new WeakSet<ServerResponse>();
  const responses = new Set<ServerResponse>();
  let isStopping = false;

  const pairsOf = (socket: Socket): readonly Pair[] => connections.get(socket) ?? [];

  /**
   * Lets the last answer close the connection, and no earlier one unless its caller asked for it. If the last one is
   * written already, and waits for its turn, none announces the close.
   */
  const announce = (socket: Socket): void => {
    const inOrder = pairsOf(socket).map(({ res }) => res);
    const last = inOrder.pop();
    for (const res of inOrder)
      if (!res.headersSent && announced.delete(res)) res.shouldKeepAlive = true;
    if (!last?.shouldKeepAlive || last.headersSent) return;
    last.shouldKeepAlive = false;
    announced.add(last);
  };

  /**
   * Whether a close may cut an answer, or reach a caller that is still sending its request. All answers count, as a
   * further request does not show that its caller has read those before.
   */
  const mayCut = (socket: Socket): boolean =>
    socket.bytesWritten > MAX_UNREAD_BYTES || pairsOf(socket).some(({ req }) => !req.complete);

  const close = (socket: Socket): void => {
    if (mayCut(socket)) closeLingering(socket);
    else closeSoon(socket);
  };

  /** A connection that has carried no request yet is about to, and one that has brought further bytes, too. */
  const closeIfIdle = (socket: Socket): void => {
    const isQuiet = readBytes.get(socket) === socket.bytesRead;
    if (isQuiet && pairsOf(socket).length === 0) close(socket);
  };

  /** The process may have stood still: at the end of this turn, what arrived meanwhile has been read. */
  const closeIfUnused = (socket: Socket): void => {
    setImmediate(closeIfIdle, socket);
  };

  const isAnswering = (socket: Socket): boolean => pairsOf(socket).some(({ req }) => req.complete);

  const endIfAnswered = (socket: Socket): void => {
    const response = finalResponses.get(socket);
    if (response === undefined || isAnswering(socket)) return;
    if (socket.writable && pairsOf(socket).every(({ res }) => !res.headersSent))
      socket.write(response);
    close(socket);
  };

  const forget = (socket: Socket, res: ServerResponse): void => {
    responses.delete(res);
    const left = pairsOf(socket).filter((one) => one.res !== res);
    if (connections.has(socket)) connections.set(socket, left);
    readBytes.set(socket, socket.bytesRead);
    endIfAnswered(socket);
    if (left.length > 0 || socket.destroyed) return;
    if (closing.has(socket)) close(socket);
    else if (isStopping) setTimeout(closeIfUnused, IDLE_AT_STOP_MS, socket);
  };

  return {
    noteConnection: (socket) => {
      connections.set(socket, []);
      // Node calls this when an answer that announced the close has been written.
      socket.destroySoon = () => {
        close(socket);
      };
      socket.once('close', () => connections.delete(socket));
    },
    noteRequest: (req, res) => {
      const { socket } = req;
      const earlier = pairsOf(socket);
      const isLate = earlier.some((one) => one.res.headersSent && !one.res.shouldKeepAlive);
      responses.add(res);
      connections.set(socket, [...earlier, { req, res }]);
      res.once('close', () => {
        forget(socket, res);
      });
      if (isStopping || closing.has(socket)) announce(socket);
      return !isLate;
    },
    outstanding: () => responses,
    inFlight: () => responses.size,
    isAnswering,
    hasOne: (socket) => pairsOf(socket).length === 1,
    closeAfterAnswers: (socket) => {
      closing.add(socket);
      announce(socket);
    },
    beginStop: () => {
      isStopping = true;
      for (const socket of connections.keys()) announce(socket);
    },
    closeIdle: () => {
      for (const socket of connections.keys()) closeIfIdle(socket);
    },
    endWith: (socket, response) => {
      if (finalResponses.has(socket)) return;
      socket.pause();
      finalResponses.set(socket, response);
      endIfAnswered(socket);
    },
  };
}

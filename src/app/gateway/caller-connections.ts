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
  /** The connection closes with the last answer to what was read on it. */
  closeAfterAnswers(socket: Socket): void;
  /** From now on, the last answer on each connection closes it. */
  beginStop(): void;
  /** Closes the connections on which no request is being read or answered. */
  closeIdle(): void;
  /** Ends a connection with a raw response, once all requests that were read whole on it are answered. */
  endWith(socket: Socket, response: string): void;
}

/**
 * A connection that was promised to stay open is closed after this time without a request, milliseconds: a request that
 * is on its way to it at the beginning of the stop is still answered.
 */
const IDLE_AT_STOP_MS = 1_000;
/** Answers of a connection up to this length reach its caller before it reads them, bytes. */
const MAX_UNREAD_BYTES = 32 * 1024;

const NO_REQUESTS: ReadonlyMap<ServerResponse, IncomingMessage> = new Map();

export function createCallerConnections(): CallerConnections {
  /** Requests of each connection that are not answered, by response, in order of arrival. */
  const connections = new Map<Socket, Map<ServerResponse, IncomingMessage>>();
  /** The last request that was read on each connection. */
  const lastRead = new WeakMap<Socket, ServerResponse>();
  /** Connections whose end their last answer announces; its head was sent. */
  const ending = new WeakSet<Socket>();
  const closing = new WeakSet<Socket>();
  /** Bytes read from a connection when its last request was answered. */
  const readBytes = new WeakMap<Socket, number>();
  /** Raw responses that end connections. */
  const finalResponses = new WeakMap<Socket, string>();
  /** The response that is to close each connection for no wish of its caller. */
  const announced = new WeakMap<Socket, ServerResponse>();
  const responses = new Set<ServerResponse>();
  let isStopping = false;

  const requestsOf = (socket: Socket): ReadonlyMap<ServerResponse, IncomingMessage> =>
    connections.get(socket) ?? NO_REQUESTS;

  const hasRead = (socket: Socket, isSought: (req: IncomingMessage) => boolean): boolean => {
    for (const req of requestsOf(socket).values()) if (isSought(req)) return true;
    return false;
  };

  /**
   * Lets the last answer close the connection, and no earlier one unless its caller asked for it. If the last one is
   * written already, and waits for its turn, none announces the close.
   */
  const announce = (socket: Socket): void => {
    const last = lastRead.get(socket);
    if (!last?.shouldKeepAlive || last.headersSent || !requestsOf(socket).has(last)) return;
    last.shouldKeepAlive = false;
    announced.set(socket, last);
  };

  /** An answer that was to announce the close is not the last one any more. */
  const withdraw = (socket: Socket): void => {
    const res = announced.get(socket);
    if (!res || res.headersSent) return;
    announced.delete(socket);
    res.shouldKeepAlive = true;
  };

  /**
   * Whether a close may cut an answer, or reach a caller that is still sending its request. All answers count, as a
   * further request does not show that its caller has read those before.
   */
  const mayCut = (socket: Socket): boolean =>
    socket.bytesWritten > MAX_UNREAD_BYTES || hasRead(socket, ({ complete }) => !complete);

  const close = (socket: Socket): void => {
    if (mayCut(socket)) closeLingering(socket);
    else closeSoon(socket);
  };

  /** A connection that has carried no request yet is about to, and one that has brought further bytes, too. */
  const closeIfIdle = (socket: Socket): void => {
    const isQuiet = readBytes.get(socket) === socket.bytesRead;
    if (isQuiet && requestsOf(socket).size === 0) close(socket);
  };

  /** The process may have stood still: at the end of this turn, what arrived meanwhile has been read. */
  const closeIfUnused = (socket: Socket): void => {
    setImmediate(closeIfIdle, socket);
  };

  const isAnswering = (socket: Socket): boolean => hasRead(socket, ({ complete }) => complete);

  /** Whether nothing that is read from now on can be answered; the daemon's side may have ended before. */
  const isEnding = (socket: Socket): boolean => {
    if (!socket.writable) return true;
    const last = lastRead.get(socket);
    const announces = last?.headersSent === true && !last.shouldKeepAlive;
    if (announces && requestsOf(socket).has(last)) ending.add(socket);
    return ending.has(socket);
  };

  const endIfAnswered = (socket: Socket): void => {
    const response = finalResponses.get(socket);
    if (response === undefined || isAnswering(socket)) return;
    const hasBegun = [...requestsOf(socket).keys()].some((res) => res.headersSent);
    if (socket.writable && !hasBegun) socket.write(response);
    close(socket);
  };

  const forget = (socket: Socket, res: ServerResponse): void => {
    responses.delete(res);
    connections.get(socket)?.delete(res);
    readBytes.set(socket, socket.bytesRead);
    endIfAnswered(socket);
    if (requestsOf(socket).size > 0 || socket.destroyed) return;
    if (closing.has(socket)) close(socket);
    else if (isStopping) setTimeout(closeIfUnused, IDLE_AT_STOP_MS, socket);
  };

  return {
    noteConnection: (socket) => {
      connections.set(socket, new Map());
      // Node calls this when an answer that announced the close has been written.
      socket.destroySoon = () => {
        close(socket);
      };
      socket.once('close', () => connections.delete(socket));
    },
    noteRequest: (req, res) => {
      const { socket } = req;
      const isLate = isEnding(socket);
      responses.add(res);
      connections.get(socket)?.set(res, req);
      lastRead.set(socket, res);
      withdraw(socket);
      res.once('close', () => {
        forget(socket, res);
      });
      if (isStopping || closing.has(socket)) announce(socket);
      return !isLate;
    },
    outstanding: () => responses,
    inFlight: () => responses.size,
    isAnswering,
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

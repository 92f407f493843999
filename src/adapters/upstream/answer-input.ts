/** Enforces the limits on what servers, peers and the store send, for each reader of a response. */

import type { ClientRequest, IncomingMessage } from 'node:http';

import {
  createBodyAccount,
  createHeadAccount,
  MAX_DISCARD_MS,
  MAX_DISCARDED_BYTES,
  TURN_BYTES,
} from '../../core/input-limits';
import { heldAnswers } from '../held-answers';

const now = (): number => performance.now();

/**
 * Destroys the request if too much arrives before the head of its final response. Of a body, each connection reads
 * some bytes and then lets the others go first.
 */
export function limitInput(req: ClientRequest): void {
  const head = createHeadAccount(now);
  let res: IncomingMessage | undefined;
  let turnBytes = 0;
  const close = (fault: string | undefined): void => {
    if (fault !== undefined && !req.destroyed) req.destroy(new Error(fault));
  };
  // Runs after Node's parser, so a response whose head ends in this chunk has been seen.
  const onData = ({ length }: Buffer): void => {
    if (!res) {
      close(head.noteBytes(length));
      return;
    }
    turnBytes += length;
    if (turnBytes < TURN_BYTES) return;
    turnBytes = 0;
    yieldTurn(res);
  };
  req.once('socket', (socket) => {
    socket.on('data', onData);
    req.once('close', () => {
      socket.off('data', onData);
    });
  });
  req.on('information', () => {
    close(head.noteInterimHead());
  });
  req.once('response', (answer) => {
    res = answer;
  });
}

/** Reads no more of the response until the event loop has served the other connections. */
function yieldTurn(res: IncomingMessage): void {
  // Not flowing: its reader has paused it, and resumes it.
  if (res.readableFlowing !== true) return;
  res.pause();
  setImmediate(() => res.resume());
}

/** A response, and how to close its connection. */
export interface OpenAnswer {
  readonly res: IncomingMessage;
  readonly destroy: () => void;
}

/** Reads the rest of a body without use if it is short, so that the connection is kept; otherwise closes it. */
export function discardBody({ res, destroy }: OpenAnswer): void {
  if (Number(res.headers['content-length'] ?? 0) > MAX_DISCARDED_BYTES) {
    destroy();
    return;
  }
  const account = createBodyAccount(now, MAX_DISCARDED_BYTES);
  const timer = setTimeout(destroy, MAX_DISCARD_MS);
  const onData = ({ length }: Buffer): void => {
    if (account.note(length) === undefined) return;
    res.off('data', onData);
    destroy();
  };
  // Broken off: nothing is lost.
  res.on('error', () => undefined);
  res.once('close', () => {
    clearTimeout(timer);
  });
  res.on('data', onData);
}

/**
 * The complete body; undefined if it is incomplete, exceeds the limit, has to give way to others, or `signal` is aborted
 * first. The caller then closes the connection.
 */
export function readBody(
  { res }: Pick<OpenAnswer, 'res'>,
  maxBytes: number,
  signal?: AbortSignal,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const account = createBodyAccount(now, maxBytes);
    const chunks: Buffer[] = [];
    const settle = (body: Buffer | undefined): void => {
      res.off('data', onData);
      signal?.removeEventListener('abort', stop);
      hold.release();
      chunks.length = 0;
      resolve(body);
    };
    const stop = (): void => {
      settle(undefined);
    };
    const hold = heldAnswers.open(stop);
    const onData = (chunk: Buffer): void => {
      chunks.push(chunk);
      hold.add(chunk.length);
      if (account.note(chunk.length) !== undefined) stop();
    };
    if (Number(res.headers['content-length'] ?? 0) > maxBytes || signal?.aborted === true) {
      stop();
      return;
    }
    res.on('error', stop);
    res.once('close', stop);
    res.once('end', () => {
      settle(res.complete ? Buffer.concat(chunks) : undefined);
    });
    res.on('data', onData);
    signal?.addEventListener('abort', stop, { once: true });
  });
}

/** Reads the body of a request, within limits of size and time. */

import type { IncomingMessage } from 'node:http';

import type { MonoTime } from '../../core/ids';
import { createBodyAccount, MAX_DISCARD_MS, MAX_REFUSED_BYTES } from '../../core/input-limits';
import type { Clock } from '../../ports/runtime';
import { createGrowingBuffer } from '../../utils/growing-buffer';

const EMPTY = Buffer.alloc(0);

export interface BodyOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  readonly until: MonoTime;
  /** Whether further bytes may be held beside those of other bodies; a body that may not is too long. */
  readonly mayHold?: (bytes: number) => boolean;
}

/** The complete body, or why there is none. */
export function readBody(
  req: IncomingMessage,
  { clock, maxBytes, until, mayHold = () => true }: BodyOptions,
): Promise<Buffer | 'too-long' | 'too-late' | 'broken'> {
  return new Promise((resolve) => {
    const held = createGrowingBuffer();
    const refuse = (reason: 'too-long' | 'too-late'): void => {
      clearTimeout(limit);
      req.off('data', onData);
      resolve(reason);
    };
    const limit = setTimeout(
      () => {
        refuse('too-late');
      },
      Math.max(0, until - clock.now()),
    );
    const onData = (chunk: Buffer): void => {
      if (held.length() + chunk.length <= maxBytes && mayHold(chunk.length)) held.append(chunk);
      else refuse('too-long');
    };
    req.on('data', onData);
    req.on('end', () => {
      clearTimeout(limit);
      resolve(Buffer.from(held.append(EMPTY)));
    });
    req.on('error', () => {
      resolve('broken');
    });
    req.on('close', () => {
      clearTimeout(limit);
      resolve('broken');
    });
  });
}

/**
 * Reads the rest of a body that is refused without use if it is short, so that the caller gets the answer and may keep
 * the connection; otherwise closes it. While `isAnswering` tells that earlier requests on the connection have no
 * answer, it only reads no more, and closes a while after the last of them.
 */
export function discardRest(req: IncomingMessage, isAnswering: () => boolean = () => false): void {
  const { socket } = req;
  const account = createBodyAccount(() => performance.now(), MAX_REFUSED_BYTES);
  let wasAnswering = false;
  const giveUp = (): void => {
    clear();
    req.off('data', onData);
    req.pause();
    const mayClose = !wasAnswering && !isAnswering();
    wasAnswering = isAnswering();
    if (mayClose || socket.destroyed) socket.destroy();
    else timer = setTimeout(giveUp, MAX_DISCARD_MS);
  };
  const onData = ({ length }: Buffer): void => {
    if (account.note(length) !== undefined) giveUp();
  };
  let timer = setTimeout(giveUp, MAX_DISCARD_MS);
  const clear = (): void => {
    clearTimeout(timer);
  };
  req.once('end', clear);
  req.once('close', clear);
  req.on('data', onData);
  req.resume();
}

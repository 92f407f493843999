/** Waits for a connection for as long as the limit allows, and for late ones to learn how slow the link is. */

import type { Socket } from 'node:net';

import { fail } from '../../utils/errors';
import { createTimeout } from '../../utils/timeout';
import type { ConnectLimit } from './connect-limit';

export interface Connecting {
  readonly limits: ConnectLimit;
  /** A connection that timed out was established after all; it is closed. */
  readonly onLate: () => void;
  readonly done: (err: Error | null, socket?: Socket) => void;
}

export type AwaitConnection = (socket: Socket, connecting: Connecting) => void;

/** Late connections that are waited for at the same time, so that servers that are gone hold few sockets. */
const MAX_LATE = 8;

/** `maxMs` is the time after which a late connection is given up. */
export function createConnectionWait(maxMs: number): AwaitConnection {
  let late = 0;

  /** Without late connections, the limit would stay at the times of a fast link when the link becomes slow. */
  const awaitLate = (socket: Socket, leftMs: number, onConnect: () => void): void => {
    late += 1;
    socket.once('close', () => {
      limit.clear();
      late -= 1;
    });
    socket.on('error', () => socket.destroy());
    socket.once('connect', () => {
      onConnect();
      socket.destroy();
    });
    const limit = createTimeout(leftMs, () => socket.destroy());
  };

  return (socket, { limits, onLate, done }) => {
    const startedAt = performance.now();
    const limitMs = limits.limitMs();
    const onFail = (err: Error): void => {
      limit.clear();
      socket.destroy();
      done(err);
    };
    const onConnect = (): void => {
      limit.clear();
      limits.note(performance.now() - startedAt);
      socket.off('error', onFail);
      done(null, socket);
    };
    const limit = createTimeout(limitMs, () => {
      socket.off('error', onFail);
      socket.off('connect', onConnect);
      if (limitMs >= maxMs || late >= MAX_LATE) socket.destroy();
      else
        awaitLate(socket, maxMs - limitMs, () => {
          limits.note(performance.now() - startedAt);
          onLate();
        });
      done(fail('unavailable', 'connect timeout', { step: 'connect' }));
    });
    socket.once('error', onFail);
    socket.once('connect', onConnect);
  };
}

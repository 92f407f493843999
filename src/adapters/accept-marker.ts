/**
 * Connects a listener to itself. Connections are accepted in the order in which they arrive, so that all that arrived
 * before a marker have been accepted when it is. Node does not tell how many connections wait, nor since when.
 */

import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { firstValueFrom, race, Subject, timer } from 'rxjs';

import { parseAddress } from '../utils/address';

export interface AcceptMarker {
  /** Connects; false if the last marker is on its way, or could not be sent a short while ago. */
  send(): boolean;
  /** Whether a connection that was accepted just now is the marker, which is closed then. */
  take(accepted: AcceptedAddresses): boolean;
  /** Resolves once all connections that wait now have been accepted, or after `limitMs`. */
  passQueue(limitMs: number): Promise<void>;
}

/** Both ends of a connection that was accepted, as far as Node tells them. */
export interface AcceptedAddresses {
  readonly localAddress?: string | undefined;
  readonly remoteAddress?: string | undefined;
  readonly remotePort?: number | undefined;
}

/** Wait after a marker that could not be sent, milliseconds. */
const RETRY_MS = 1_000;

/** The same for an address of IPv4 that a listener for IPv6 accepts. */
function plainAddress(address: string | undefined): string | undefined {
  return address?.replace(/^::ffff:/i, '');
}

/**
 * Whether an accepted connection is the other end of `socket`. Callers of other hosts may use the same port. The remote
 * address of `socket` is not known while it connects, or once it is reset.
 */
function isOtherEnd(socket: Socket, accepted: AcceptedAddresses): boolean {
  return (
    accepted.remotePort !== undefined &&
    accepted.remotePort === socket.localPort &&
    plainAddress(accepted.remoteAddress) === plainAddress(socket.localAddress) &&
    (socket.remoteAddress === undefined ||
      plainAddress(accepted.localAddress) === plainAddress(socket.remoteAddress))
  );
}

/** `address` is that of the listener. */
export function createAcceptMarker(address: string): AcceptMarker {
  let sent: Socket | undefined;
  let hasFailed = false;
  /** Emits when the last marker has been accepted, or could not be sent. */
  const settled = new Subject<void>();

  const settle = (): void => {
    sent = undefined;
    settled.next();
  };

  const fail = (): void => {
    hasFailed = true;
    setTimeout(() => {
      hasFailed = false;
    }, RETRY_MS).unref();
  };

  const send = (): boolean => {
    if (sent || hasFailed) return false;
    const socket = connect(parseAddress(address));
    sent = socket;
    socket.once('error', fail);
    socket.once('close', () => {
      if (sent === socket) settle();
    });
    return true;
  };

  return {
    send,
    take: (accepted) => {
      if (!sent || !isOtherEnd(sent, accepted)) return false;
      // A reset leaves no port behind that waits for late packets.
      sent.resetAndDestroy();
      settle();
      return true;
    },
    passQueue: async (limitMs) => {
      const until = performance.now() + limitMs;
      const nextSettled = async (): Promise<void> => {
        await firstValueFrom(race(settled, timer(Math.max(0, until - performance.now()))));
      };
      // The marker that is on its way may be ahead of some of them.
      if (sent) await nextSettled();
      if (send()) await nextSettled();
    },
  };
}

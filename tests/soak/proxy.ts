/** A TCP proxy on loopback that delays, silences, cuts one way or resets what passes through it. */

import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';

import { parseAddress } from '../../src/utils/address';

export type Direction = 'to-target' | 'from-target';

export interface LinkFault {
  /** Bytes of these directions are held back until the fault ends; connections stay open. */
  readonly silent: readonly Direction[];
  /** Added to the way of each chunk, milliseconds. */
  readonly delayMs: number;
}

export interface Proxy {
  readonly address: string;
  /** Sets the fault of all present and later connections; undefined for none. */
  disturb(fault: LinkFault | undefined): void;
  /** Resets all present connections. */
  reset(): void;
  close(): void;
}

export const SILENT: LinkFault = { silent: ['to-target', 'from-target'], delayMs: 0 };

interface Pipe {
  /** Sends on what was held back. */
  release(): void;
}

export async function startProxy(address: string, target: string): Promise<Proxy> {
  let fault: LinkFault | undefined;
  const sockets = new Set<Socket>();
  const pipes = new Set<Pipe>();

  const pipe = (from: Socket, to: Socket, direction: Direction): void => {
    const held: (Buffer | 'end')[] = [];
    const isHeld = (): boolean => fault?.silent.includes(direction) === true;
    const send = (chunk: Buffer | 'end'): void => {
      if (to.destroyed) return;
      if (chunk === 'end') to.end();
      else to.write(chunk);
    };
    const pass = (chunk: Buffer | 'end'): void => {
      const delayMs = fault?.delayMs ?? 0;
      if (isHeld() || held.length > 0) held.push(chunk);
      else if (delayMs > 0) setTimeout(send, delayMs, chunk);
      else send(chunk);
    };
    const own: Pipe = {
      release: () => {
        if (!isHeld()) held.splice(0).forEach(send);
      },
    };
    pipes.add(own);
    from.on('data', pass);
    from.on('end', () => {
      pass('end');
    });
    from.on('close', () => {
      pipes.delete(own);
    });
  };

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (caller) => {
    const { host, port } = parseAddress(target);
    const callee = connect({ host, port, allowHalfOpen: true, noDelay: true });
    for (const [socket, other] of [
      [caller, callee],
      [callee, caller],
    ] as const) {
      sockets.add(socket);
      socket.on('error', () => other.resetAndDestroy());
      socket.on('close', () => {
        sockets.delete(socket);
        // A silent link shows nothing, also not that its other side has gone.
        if (fault === undefined || fault.silent.length === 0) other.destroySoon();
      });
    }
    pipe(caller, callee, 'to-target');
    pipe(callee, caller, 'from-target');
  });
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));

  const reset = (): void => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  return {
    address,
    reset,
    disturb: (next) => {
      fault = next;
      for (const own of pipes) own.release();
    },
    close: () => {
      reset();
      server.close();
    },
  };
}

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
  /** Holds back what passes over the present connections for good; they stay open, and new ones work. */
  mute(): void;
  close(): void;
}

export const SILENT: LinkFault = { silent: ['to-target', 'from-target'], delayMs: 0 };

/** A chunk on its way, or how its direction ended. */
interface Queued {
  readonly chunk: Buffer | 'end' | 'reset';
  readonly dueAt: number;
}

/** Resets a connection; one whose end is under way is closed, since the runtime would lose it and spin. */
function tear(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

export async function startProxy(address: string, target: string): Promise<Proxy> {
  let fault: LinkFault | undefined;
  const sockets = new Set<Socket>();
  /** Send on what is due, each of one connection and direction. */
  const pipes = new Set<() => void>();
  const muted = new Set<() => void>();

  const pipe = (from: Socket, to: Socket, direction: Direction): void => {
    const queue: Queued[] = [];
    let timer: NodeJS.Timeout | undefined;
    const isHeld = (): boolean => muted.has(pump) || fault?.silent.includes(direction) === true;
    const send = ({ chunk }: Queued): void => {
      if (to.destroyed) return;
      if (chunk === 'end') to.end();
      else if (chunk === 'reset') tear(to);
      else to.write(chunk);
    };
    /** Sends in order, whatever delay each chunk was given: TCP never lets one overtake another. */
    const pump = (): void => {
      clearTimeout(timer);
      while (!isHeld()) {
        const next = queue[0];
        if (!next) return;
        const waitMs = next.dueAt - performance.now();
        if (waitMs > 0) {
          timer = setTimeout(pump, waitMs);
          return;
        }
        queue.shift();
        send(next);
      }
    };
    const pass = (chunk: Queued['chunk']): void => {
      queue.push({ chunk, dueAt: performance.now() + (fault?.delayMs ?? 0) });
      pump();
    };
    pipes.add(pump);
    from.on('data', pass);
    from.on('end', () => {
      pass('end');
    });
    from.on('error', () => {
      pass('reset');
    });
    from.on('close', () => {
      if (queue.length === 0) pipes.delete(pump);
    });
    to.on('close', () => {
      clearTimeout(timer);
      pipes.delete(pump);
    });
  };

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (caller) => {
    const { host, port } = parseAddress(target);
    const callee = connect({ host, port, allowHalfOpen: true, noDelay: true });
    for (const socket of [caller, callee]) {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    }
    pipe(caller, callee, 'to-target');
    pipe(callee, caller, 'from-target');
  });
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve) => server.listen(port, host, resolve));

  const reset = (): void => {
    for (const socket of sockets) tear(socket);
  };
  return {
    address,
    reset,
    mute: () => {
      for (const pump of pipes) muted.add(pump);
    },
    disturb: (next) => {
      fault = next;
      for (const pump of [...pipes]) pump();
    },
    close: () => {
      reset();
      server.close();
    },
  };
}

/**
 * Pauses of stand-in servers, as of processes that get no processor time: nothing is read, written or
 * timed, while the kernel keeps connections open, accepts new ones and buffers what arrives.
 */

import type { Server } from 'node:http';
import type { Socket } from 'node:net';

import type { ServerName } from '../../src/core/ids';

export interface Pauses {
  isPaused(name: ServerName): boolean;
  /** Applies the pauses of a server to its connections. */
  watch(name: ServerName, server: Server): void;
  /** Pauses servers; the returned function lets them go on. Pauses of a server may overlap. */
  begin(names: readonly ServerName[]): () => void;
}

/** The part of a socket's handle with which the kernel is left to buffer what arrives. */
interface ReadHandle {
  readStop(): void;
  readStart(): void;
}

function handleOf(socket: Socket): ReadHandle | null {
  return (socket as Socket & { readonly _handle: ReadHandle | null })._handle;
}

/** The connections of one server. */
function createConnections() {
  /** Idle timeout of each connection while it does not run. */
  const timeouts = new Map<Socket, number>();
  const sockets = new Set<Socket>();
  const stop = (socket: Socket): void => {
    timeouts.set(socket, socket.timeout ?? 0);
    socket.setTimeout(0);
    handleOf(socket)?.readStop();
  };
  const start = (socket: Socket, timeoutMs: number): void => {
    if (socket.destroyed) return;
    socket.setTimeout(timeoutMs);
    handleOf(socket)?.readStart();
  };
  return {
    add: (socket: Socket, isPaused: boolean): void => {
      sockets.add(socket);
      socket.once('close', () => {
        sockets.delete(socket);
        timeouts.delete(socket);
      });
      if (isPaused) stop(socket);
    },
    stop: (): void => {
      sockets.forEach(stop);
    },
    start: (): void => {
      for (const [socket, timeoutMs] of timeouts) start(socket, timeoutMs);
      timeouts.clear();
    },
  };
}

/** `onChange` is called when a server stops or goes on. */
export function createPauses(onChange: (name: ServerName, isPaused: boolean) => void): Pauses {
  /** Number of pauses that include the server. */
  const counts = new Map<ServerName, number>();
  const connections = new Map<ServerName, ReturnType<typeof createConnections>>();
  const isPaused = (name: ServerName): boolean => (counts.get(name) ?? 0) > 0;

  const stop = (name: ServerName): void => {
    const before = counts.get(name) ?? 0;
    counts.set(name, before + 1);
    if (before > 0) return;
    onChange(name, true);
    connections.get(name)?.stop();
  };

  const goOn = (name: ServerName): void => {
    counts.set(name, (counts.get(name) ?? 0) - 1);
    if (isPaused(name)) return;
    onChange(name, false);
    connections.get(name)?.start();
  };

  return {
    isPaused,
    watch: (name, server) => {
      const own = createConnections();
      connections.set(name, own);
      server.on('connection', (socket: Socket) => {
        own.add(socket, isPaused(name));
      });
    },
    begin: (names) => {
      const paused = [...new Set(names)];
      let hasEnded = false;
      paused.forEach(stop);
      return () => {
        if (hasEnded) return;
        hasEnded = true;
        paused.forEach(goOn);
      };
    },
  };
}

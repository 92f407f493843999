/**
 * Pauses of stand-in servers, as of processes that get no processor time: nothing is read, written or
 * timed, while the kernel keeps connections open, accepts new ones and buffers what arrives. And silences:
 * only what a server sends is held.
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
  /** Servers run on and send nothing; the returned function sends what they have held. */
  silence(names: readonly ServerName[]): () => void;
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
  /** What ends the silence of each connection. */
  const held = new Map<Socket, () => void>();
  const hold = (socket: Socket): void => {
    let write: (() => void) | undefined;
    // The stream writes one chunk or series at a time, and buffers the rest until that is done.
    const keep = {
      _write: (...chunk: Parameters<Socket['_write']>): void => {
        write = () => {
          socket._write(...chunk);
        };
      },
      _writev: (...chunks: Parameters<NonNullable<Socket['_writev']>>): void => {
        write = () => {
          socket._writev?.(...chunks);
        };
      },
    };
    Object.assign(socket, keep);
    held.set(socket, () => {
      for (const method of Object.keys(keep)) Reflect.deleteProperty(socket, method);
      if (!socket.destroyed) write?.();
    });
  };
  return {
    add: (socket: Socket): void => {
      sockets.add(socket);
      socket.once('close', () => {
        sockets.delete(socket);
        timeouts.delete(socket);
        held.delete(socket);
      });
    },
    stopOne: stop,
    holdOne: hold,
    stop: (): void => {
      sockets.forEach(stop);
    },
    start: (): void => {
      for (const [socket, timeoutMs] of timeouts) start(socket, timeoutMs);
      timeouts.clear();
    },
    hold: (): void => {
      sockets.forEach(hold);
    },
    release: (): void => {
      for (const goOn of held.values()) goOn();
      held.clear();
    },
  };
}

/** Applies something to servers for as long as at least one of its spans includes them. */
function createSpans(onChange: (name: ServerName, isOn: boolean) => void) {
  /** Number of spans that include the server. */
  const counts = new Map<ServerName, number>();
  const has = (name: ServerName): boolean => (counts.get(name) ?? 0) > 0;
  const add = (name: ServerName, by: 1 | -1): void => {
    const before = has(name);
    counts.set(name, (counts.get(name) ?? 0) + by);
    if (has(name) !== before) onChange(name, !before);
  };
  return {
    has,
    begin: (names: readonly ServerName[]): (() => void) => {
      const chosen = [...new Set(names)];
      let hasEnded = false;
      for (const name of chosen) add(name, 1);
      return () => {
        if (hasEnded) return;
        hasEnded = true;
        for (const name of chosen) add(name, -1);
      };
    },
  };
}

/** `onChange` is called when a server stops or goes on. */
export function createPauses(onChange: (name: ServerName, isPaused: boolean) => void): Pauses {
  const connections = new Map<ServerName, ReturnType<typeof createConnections>>();
  const pauses = createSpans((name, isPaused) => {
    onChange(name, isPaused);
    if (isPaused) connections.get(name)?.stop();
    else connections.get(name)?.start();
  });
  const silences = createSpans((name, isSilent) => {
    if (isSilent) connections.get(name)?.hold();
    else connections.get(name)?.release();
  });

  return {
    isPaused: pauses.has,
    watch: (name, server) => {
      const own = createConnections();
      connections.set(name, own);
      server.on('connection', (socket: Socket) => {
        own.add(socket);
        if (pauses.has(name)) own.stopOne(socket);
        if (silences.has(name)) own.holdOne(socket);
      });
    },
    begin: pauses.begin,
    silence: silences.begin,
  };
}

/** Listening servers whose processes crash because of a request, and start again. */

import type { Server } from 'node:http';

import type { ServerName } from '../../src/core/ids';
import type { Pauses } from './pauses';

/** A process that ended because of a request that it ran. */
export interface Crash {
  readonly server: ServerName;
  readonly body: string;
  /** The part of the prompt that crashed the server, if it was one. */
  readonly part: string | undefined;
  /** `performance.now()`. */
  readonly at: number;
}

/** A server that runs a request with this field in its body crashes, each time. */
const CRASH_FIELD = 'crash';
const CRASH_AFTER_MS = 60;
const PART_CRASH_AFTER_MS = 120;
const RESTART_MS = 2_000;

async function listen(server: Server, host: string, port: number): Promise<void> {
  await new Promise<void>((resolve) => server.listen(port, host, resolve));
}

export function isFatal(body: string): boolean {
  return new URLSearchParams(body).has(CRASH_FIELD);
}

/** A listening server whose process can crash and start again. */
export interface RestartableServer {
  close(): void;
  /**
   * Crashes if the request or a part of its prompt is fatal: breaks all connections, and listens again later.
   */
  crashOn(body: string, part?: string): void;
}

interface RestartOptions {
  readonly name: ServerName;
  readonly address: string;
  readonly crashes: Crash[];
  readonly pauses: Pauses;
  readonly onCrash: () => void;
  readonly onRestart: () => void;
}

export async function startRestartable(
  server: Server,
  { name, address, crashes, pauses, onCrash, onRestart }: RestartOptions,
): Promise<RestartableServer> {
  const { hostname, port } = new URL(`http://${address}`);
  let isRunning = true;
  let isClosed = false;

  const stopListening = (): void => {
    server.closeAllConnections();
    server.close();
  };

  const restart = (): void => {
    if (isClosed) return;
    isRunning = true;
    onRestart();
    server.listen(Number(port), hostname);
  };

  const crash = (body: string, part?: string): void => {
    if (!isRunning || isClosed) return;
    if (pauses.isPaused(name)) {
      setTimeout(crash, CRASH_AFTER_MS, body, part);
      return;
    }
    isRunning = false;
    crashes.push({ server: name, body, part, at: performance.now() });
    onCrash();
    stopListening();
    setTimeout(restart, RESTART_MS);
  };

  pauses.watch(name, server);
  await listen(server, hostname, Number(port));
  return {
    close: () => {
      isClosed = true;
      stopListening();
    },
    crashOn: (body, part) => {
      if (part !== undefined) setTimeout(crash, PART_CRASH_AFTER_MS, body, part);
      else if (isFatal(body)) setTimeout(crash, CRASH_AFTER_MS, body);
    },
  };
}

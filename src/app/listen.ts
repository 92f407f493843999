/** HTTP servers of a daemon: limits, listening and graceful close. */

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { parseAddress } from '../utils/address';
import { fail } from '../utils/errors';
import type { HttpHandler } from './parts';

/** Options of {@link listen}. */
export interface ListenOptions {
  /** `host:port`; port 0 selects a free port. */
  readonly address: string;
  readonly handler: HttpHandler;
  readonly maxHeaderBytes?: number;
  readonly maxConnections?: number;
}

/** A listening HTTP server. */
export interface HttpListener {
  /** The bound `host:port`. */
  readonly address: string;
  /** Accepts no new connections. Resolves once the open ones have ended. */
  close(): Promise<void>;
  /** Destroys the connections that are still open. */
  destroyConnections(): void;
}

const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_MAX_CONNECTIONS = 10_000;
const HEADERS_TIMEOUT_MS = 10_000;

function boundAddress(server: Server): string {
  const { address, port, family } = server.address() as AddressInfo;
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Starts an HTTP server. Rejects with `unavailable` if the address cannot be bound. */
export function listen(opts: ListenOptions): Promise<HttpListener> {
  const server = createServer(
    {
      maxHeaderSize: opts.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      // No limit here: a body may take until its request's deadline, which the request plane enforces.
      requestTimeout: 0,
      noDelay: true,
    },
    opts.handler,
  );
  server.maxConnections = opts.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  const { host, port } = parseAddress(opts.address);
  return new Promise((resolve, reject) => {
    server.once('error', (cause) => {
      reject(
        fail('unavailable', 'cannot listen on the address', {
          step: 'listen',
          peer: opts.address,
          cause,
        }),
      );
    });
    server.listen(port, host, () => {
      resolve({
        address: boundAddress(server),
        close: () =>
          new Promise((done) => {
            server.close(() => {
              done();
            });
            server.closeIdleConnections();
          }),
        destroyConnections: () => {
          server.closeAllConnections();
        },
      });
    });
  });
}

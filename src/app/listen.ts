/** HTTP servers of a daemon: limits, listening, and an orderly close. */

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { parseAddress } from '../utils/address';
import { fail } from '../utils/errors';
import type { HttpHandler } from './parts';

export interface ListenOptions {
  /** `host:port`; port 0 takes a free one. */
  readonly address: string;
  readonly handler: HttpHandler;
  readonly maxHeaderBytes?: number;
  readonly maxConnections?: number;
}

/** A server that listens. */
export interface HttpListener {
  readonly address: string;
  /** Takes no new connection; resolves once those open have ended. */
  close(): Promise<void>;
  /** Destroys the connections still open. */
  destroyConnections(): void;
}

const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;
const DEFAULT_MAX_CONNECTIONS = 10_000;
const HEADERS_TIMEOUT_MS = 10_000;

function boundAddress(server: Server): string {
  const { address, port, family } = server.address() as AddressInfo;
  return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Starts a server. */
export function listen(opts: ListenOptions): Promise<HttpListener> {
  const server = createServer(
    {
      maxHeaderSize: opts.maxHeaderBytes ?? DEFAULT_MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      // A body may take as long as its request's deadline, which the pipeline watches.
      requestTimeout: 0,
      noDelay: true,
    },
    opts.handler,
  );
  server.maxConnections = opts.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
  const { host, port } = parseAddress(opts.address);
  return new Promise((resolve, reject) => {
    server.once('error', (cause) => {
      reject(fail('unavailable', 'cannot listen', { step: 'listen', peer: opts.address, cause }));
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

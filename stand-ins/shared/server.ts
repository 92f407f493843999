/** HTTP server and request helpers on which the stand-ins are built. */

import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/**
 * Handles one request. A thrown error becomes a 400 with its message; after the headers were sent,
 * the connection is destroyed instead.
 */
export type Handle = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

/** Address to listen on; port 0 picks a free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A listening server. */
export interface Listening {
  /** `host:port`. */
  readonly address: string;
  readonly port: number;
  /** Closes the port and destroys all connections. */
  close(): Promise<void>;
}

function onFailure(res: ServerResponse, err: unknown): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  sendJson(res, 400, { error: err instanceof Error ? err.message : String(err) });
}

/** Starts an HTTP server; resolves once it listens. */
export async function listen(handle: Handle, at: ListenAddress): Promise<Listening> {
  const server = createServer((req, res) => {
    res.on('error', () => undefined);
    Promise.resolve(handle(req, res)).catch((err: unknown) => {
      onFailure(res, err);
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(at.port, at.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `${at.host}:${port}`,
    port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

/** Reads the complete body. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** Parses a JSON body; `{}` where it is empty. The caller casts it to the expected shape. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const text = (await readBody(req)).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as unknown);
}

export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}

export function sendEmpty(res: ServerResponse, status: number): void {
  res.writeHead(status);
  res.end();
}

/** Path of a request without its query. */
export function pathOf(req: IncomingMessage): string {
  return (req.url ?? '/').split('?')[0] ?? '/';
}

/** A query parameter of a request. */
export function queryOf(req: IncomingMessage, name: string): string | undefined {
  const query = (req.url ?? '').split('?')[1] ?? '';
  return new URLSearchParams(query).get(name) ?? undefined;
}

/** The first value of a request header. */
export function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

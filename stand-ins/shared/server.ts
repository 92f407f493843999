/** A small HTTP server with a table of routes; what every stand-in is made of. */

import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Handles one request; an error thrown becomes a 400 with its message. */
export type Handle = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

/** Where to listen; port 0 takes a free one. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** A server that listens. */
export interface Listening {
  /** `host:port`. */
  readonly address: string;
  readonly port: number;
  /** Tears every connection and closes the port. */
  close(): Promise<void>;
}

function onFailure(res: ServerResponse, err: unknown): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  sendJson(res, 400, { error: err instanceof Error ? err.message : String(err) });
}

/** Starts to listen; resolves once the port is open. */
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

/** Reads the whole body. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of req) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

/** Reads a JSON body; the caller names the shape that the interface promises. */
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

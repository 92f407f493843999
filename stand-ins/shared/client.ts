/** HTTP client for JSON requests from a stand-in to another process. */

import { Agent, request } from 'node:http';

import { parseAddress } from '../../src/utils/address';

/** One HTTP request with a JSON body. */
export interface JsonCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

/** Status and parsed body; the body is undefined where it is empty. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

const agent = new Agent({ keepAlive: true });

/** Sends one request and parses the JSON response; rejects on a connection error or a timeout. */
export function callJson({
  address,
  method,
  path,
  body,
  headers = {},
  timeoutMs = 10_000,
}: JsonCall): Promise<JsonAnswer> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const req = request({ host, port, method, path, agent, headers }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', reject);
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({
          status: res.statusCode ?? 0,
          body: text === '' ? undefined : (JSON.parse(text) as unknown),
        });
      });
    });
    req.setTimeout(timeoutMs, () => req.destroy(new Error('request timed out')));
    req.on('error', reject);
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

/** JSON calls from a stand-in to another process. */

import { Agent, request } from 'node:http';

import { parseAddress } from '../../src/utils/address';

export interface JsonCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

const agent = new Agent({ keepAlive: true });

/** Sends one call and reads its JSON answer; rejects when the connection breaks. */
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
      const parts: Buffer[] = [];
      res.on('data', (part: Buffer) => parts.push(part));
      res.on('error', reject);
      res.on('end', () => {
        const text = Buffer.concat(parts).toString('utf8');
        resolve({
          status: res.statusCode ?? 0,
          body: text === '' ? undefined : (JSON.parse(text) as unknown),
        });
      });
    });
    req.setTimeout(timeoutMs, () => req.destroy(new Error('timed out')));
    req.on('error', reject);
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

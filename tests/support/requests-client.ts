/** A caller that sees everything: status, headers, trailers, and whether the end was clean. */

import { request } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';

import { KEYS, MODEL } from './requests-fixture';

export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly trailers: NodeJS.Dict<string>;
  readonly text: string;
  /** False if the connection broke before the end of the answer. */
  readonly isComplete: boolean;
}

export interface SendOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

export function send(url: string, options: SendOptions = {}): Promise<ReceivedResponse> {
  const { method = 'POST', body = '' } = options;
  const headers = { authorization: `Bearer ${KEYS.armor}`, ...options.headers };
  return new Promise((resolve, reject) => {
    // The path goes out as it is: `new URL` would resolve dot segments.
    const { origin, hostname: host, port } = new URL(url);
    const path = url.slice(origin.length);
    const req = request({ host, port, path, method, headers, agent: false }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', () => undefined);
      res.on('close', () => {
        const { statusCode: status = 0, trailers, complete: clean } = res;
        const text = Buffer.concat(chunks).toString();
        resolve({ status, headers: res.headers, trailers, text, isComplete: clean });
      });
    });
    req.on('error', reject);
    req.end(body);
  });
}

export function chatBody(fields: Record<string, unknown> = {}): string {
  return JSON.stringify({ model: MODEL, messages: [{ role: 'user', content: 'hi' }], ...fields });
}

export function sendChat(
  url: string,
  fields: Record<string, unknown> = {},
  options: SendOptions = {},
): Promise<ReceivedResponse> {
  return send(`${url}/v1/chat/completions`, { body: chatBody(fields), ...options });
}

/** The error object of an answer. */
export function errorOf(seen: ReceivedResponse): Record<string, unknown> {
  const parsed = JSON.parse(seen.text) as { error: Record<string, unknown> };
  return parsed.error;
}

/** HTTP client that reports status, headers, trailers and whether the response was complete. */

import { request } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';

import { KEYS, MODEL } from './requests-fixture';

/** A response as the client received it. */
export interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly trailers: NodeJS.Dict<string>;
  readonly text: string;
  /** False if the connection broke before the end of the response. */
  readonly isComplete: boolean;
}

/** Options of {@link send}. */
export interface SendOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Sends a request with the key of the organisation `armor`. */
export function send(url: string, options: SendOptions = {}): Promise<ReceivedResponse> {
  const { method = 'POST', body = '' } = options;
  const headers = { authorization: `Bearer ${KEYS.armor}`, ...options.headers };
  return new Promise((resolve, reject) => {
    // Sends the path unchanged: `new URL` would resolve dot segments.
    const { origin, hostname: host, port } = new URL(url);
    const path = url.slice(origin.length);
    const req = request({ host, port, path, method, headers, agent: false }, (res) => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', () => undefined);
      res.on('close', () => {
        const { statusCode: status = 0, trailers, complete: isComplete } = res;
        const text = Buffer.concat(chunks).toString();
        resolve({ status, headers: res.headers, trailers, text, isComplete });
      });
    });
    req.on('error', reject);
    req.end(body);
  });
}

/** Returns the body of a chat completion request. */
export function chatBody(fields: Record<string, unknown> = {}): string {
  return JSON.stringify({ model: MODEL, messages: [{ role: 'user', content: 'hi' }], ...fields });
}

/** Sends a chat completion request. */
export function sendChat(
  url: string,
  fields: Record<string, unknown> = {},
  options: SendOptions = {},
): Promise<ReceivedResponse> {
  return send(`${url}/v1/chat/completions`, { body: chatBody(fields), ...options });
}

/** Returns the error object in the body of a response. */
export function errorOf(seen: ReceivedResponse): Record<string, unknown> {
  const parsed = JSON.parse(seen.text) as { error: Record<string, unknown> };
  return parsed.error;
}

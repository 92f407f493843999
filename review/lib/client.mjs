/** Sends requests as a client of the platform does. */

import { Agent, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';

import { HOST, KEY, MODEL } from './config.mjs';

/**
 * Sends one request and reads the answer until it ends, its connection breaks or `patienceMs` has
 * passed; never rejects. `isKept` tells whether the connection had served requests before.
 */
export function call({
  address,
  path,
  requestId,
  body = '',
  waitMs = 4000,
  patienceMs = 8000,
  headers = {},
  agent,
}) {
  const [host, port] = address.split(':');
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const own = agent ?? new Agent();
    const req = request({
      host,
      port,
      path,
      method: 'POST',
      agent: own,
      headers: {
        Host: HOST,
        Authorization: `Bearer ${KEY}`,
        'X-Nutmegstack-Request-Id': requestId,
        'X-Nutmegstack-Deadline-Ms': String(waitMs),
        'X-Nutmegstack-Model': MODEL,
        'X-Nutmegstack-Token-Count': '1460,80',
        'Content-Length': String(body.length),
        ...headers,
      },
    });
    const end = (result) => {
      clearTimeout(timer);
      const tookMs = Math.round(performance.now() - sentAt);
      resolve({ requestId, path, tookMs, isKept: req.reusedSocket, ...result });
    };
    const timer = setTimeout(() => {
      end({ outcome: 'no answer' });
      req.destroy();
    }, patienceMs);
    req.on('error', (err) => end({ outcome: 'broken', reason: err.code }));
    req.on('response', (res) => {
      let text = '';
      res.setEncoding('latin1');
      res.on('data', (chunk) => (text += chunk));
      res.on('error', () => undefined);
      res.on('close', () => {
        const { statusCode: status, headers: received, complete } = res;
        end({ outcome: complete ? 'answered' : 'broken', status, headers: received, text });
      });
    });
    req.end(body);
  });
}

const ATTEMPTS = 50;
const INTERVAL_MS = 200;

/** Calls `send` until it is answered with success: the model servers have to form groups first. */
export async function callUntilServed(send) {
  for (let n = 0; n < ATTEMPTS; n++) {
    const { outcome, status } = await send(n);
    if (outcome === 'answered' && status === 200) return;
    await pause(INTERVAL_MS);
  }
  throw new Error('no group serves');
}

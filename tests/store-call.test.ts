import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createStoreCaller } from '../src/adapters/platform/store-call';
import type { StoreCall } from '../src/adapters/platform/store-call';
import { pause } from '../src/utils/pause';

const TIMEOUT_MS = 200;
const READ: StoreCall = { step: 'read', method: 'GET', path: '/', writes: false };

/** Connections on which the store no longer answers; it still answers on new ones. */
const unresponsive = new Set<Socket>();
/** What the store sends in place of its usual answers. */
let oddAnswer: string | undefined;
const open = new Set<Socket>();
const server = createServer((req, res) => {
  if (unresponsive.has(req.socket)) return;
  if (oddAnswer !== undefined) {
    req.socket.end(oddAnswer);
    return;
  }
  // The delay makes concurrent calls open separate connections.
  setTimeout(() => res.end('{}'), 20);
});
server.on('connection', (socket) => {
  open.add(socket);
  socket.on('close', () => open.delete(socket));
});

beforeEach(async () => {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  oddAnswer = undefined;
  server.closeAllConnections();
  server.close();
});

function createCaller() {
  const { port } = server.address() as AddressInfo;
  return createStoreCaller({ address: `127.0.0.1:${port}`, timeoutMs: TIMEOUT_MS });
}

describe('calls to a store whose pooled connections no longer answer', () => {
  it('time out once, not once per connection', async () => {
    const call = createCaller();
    const first = await Promise.all([call(READ), call(READ), call(READ)]);
    expect(first.every((result) => result.isOk())).toBe(true);
    for (const socket of open) unresponsive.add(socket);
    expect((await call(READ)).isErr()).toBe(true);
    expect((await call(READ)).isOk()).toBe(true);
  });

  it('end when the caller aborts them', async () => {
    const call = createCaller();
    expect((await call(READ)).isOk()).toBe(true);
    for (const socket of open) unresponsive.add(socket);
    const cancel = new AbortController();
    const pending = call({ ...READ, timeoutMs: 60_000, signal: cancel.signal });
    await pause(30);
    cancel.abort();
    expect((await pending).isErr()).toBe(true);
    expect((await call(READ)).isOk()).toBe(true);
  });
});

describe('a store that answers with an invalid status', () => {
  // Guards against a write that counts as refused and has taken effect.
  it.each(['000', '099', '600', '999'])('leaves open what a write did (%s)', async (status) => {
    oddAnswer = `HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`;
    const call = createCaller();
    const write = await call({ step: 'write', method: 'POST', path: '/', writes: true });
    expect(write._unsafeUnwrapErr().code).toBe('store-unknown');
    expect((await call(READ))._unsafeUnwrapErr().code).toBe('store-unavailable');
  });
});

import { Agent, createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { describe, expect, it, vi } from 'vitest';

import { callHttp } from '../../src/adapters/http-call';
import { createHeldBytes } from '../../src/core/gateway/held-bytes';

describe('answers that together hold more than they may', () => {
  it('lose the one that holds most, and go on once there is room', () => {
    const held = createHeldBytes(100);
    const givenUp: string[] = [];
    const [small, large] = ['small', 'large'].map((name) => held.open(() => givenUp.push(name)));
    small?.add(30);
    large?.add(60);
    expect(givenUp).toEqual([]);
    small?.add(11);
    expect([givenUp, held.total()]).toEqual([['large'], 41]);
    large?.add(1_000);
    large?.release();
    expect(held.total()).toBe(41);
    small?.release();
    expect([givenUp, held.total()]).toEqual([['large'], 0]);
  });

  it('lose as many as it takes, the last one as well', () => {
    const held = createHeldBytes(10);
    const giveUp = vi.fn();
    for (const bytes of [4, 5, 6]) held.open(giveUp).add(bytes);
    expect([giveUp.mock.calls.length, held.total()]).toEqual([1, 9]);
    held.open(giveUp).add(11);
    expect([giveUp.mock.calls.length, held.total()]).toEqual([2, 9]);
  });
});

describe('calls that are answered without end', () => {
  const CALLS = 20;
  const MAX_BYTES = 1_000_000;

  // Guards against a leader that asks many faulty servers at a time and runs out of memory (LOST).
  it('hold no more than all may, and do not cost a sound one', async () => {
    const server = createServer((req, res) => {
      if (req.url === '/sound') setTimeout(() => res.end('{}'), 100);
      else setInterval(() => res.write(Buffer.alloc(20_000)), 5).unref();
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const held = createHeldBytes(MAX_BYTES);
    const agent = new Agent();
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const call = (path: string) =>
      callHttp({ agent, address, path, method: 'GET', timeoutMs: 1_000, held });
    const sound = call('/sound');
    const endless = Array.from({ length: CALLS }, () => call('/endless'));
    let most = 0;
    const look = setInterval(() => (most = Math.max(most, held.total())), 5);
    expect((await sound).isOk()).toBe(true);
    for (const each of endless) expect((await each).isErr()).toBe(true);
    clearInterval(look);
    server.closeAllConnections();
    server.close();
    expect(most).toBeGreaterThan(MAX_BYTES / 2);
    expect([most <= MAX_BYTES, held.total()]).toEqual([true, 0]);
  });
});

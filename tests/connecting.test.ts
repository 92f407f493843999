import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';

import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { createConnectLimit } from '../src/adapters/upstream/connect-limit';
import type { ConnectLimit } from '../src/adapters/upstream/connect-limit';
import { createConnectionWait } from '../src/adapters/upstream/connecting';

const MAX_MS = 1_000;

interface FakeSocket extends EventEmitter {
  isDestroyed: boolean;
  readonly destroy: () => void;
}

function createSocket(): FakeSocket {
  const socket = new EventEmitter();
  const destroy = (): void => {
    if (fake.isDestroyed) return;
    fake.isDestroyed = true;
    socket.emit('close');
  };
  const fake: FakeSocket = Object.assign(socket, { isDestroyed: false, destroy });
  return fake;
}

/** A link on which connections have taken 2 ms. */
function setUp() {
  const limits: ConnectLimit = createConnectLimit(MAX_MS);
  limits.note(2);
  const wait = createConnectionWait(MAX_MS);
  const ends: string[] = [];
  const start = (): FakeSocket => {
    const socket = createSocket();
    wait(socket as unknown as Socket, {
      limits,
      onLate: () => ends.push('late'),
      done: (err) => ends.push(err?.message ?? 'connected'),
    });
    return socket;
  };
  return { limits, ends, start };
}

describe('a connection that takes longer than usual', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against all connections timing out on a link that has become slow: only successes raised the limit.
  it('raises the limit when it is established after its time-out', async () => {
    const { limits, ends, start } = setUp();
    const socket = start();
    await vi.advanceTimersByTimeAsync(300);
    expect(ends).toEqual(['connect timeout']);
    socket.emit('connect');
    expect(ends).toEqual(['connect timeout', 'late']);
    expect(limits.limitMs()).toBeGreaterThan(300);
    expect(socket.isDestroyed).toBe(true);
  });

  it('is given up after the maximum, and leaves the limit as it is', async () => {
    const { limits, ends, start } = setUp();
    const socket = start();
    await vi.advanceTimersByTimeAsync(MAX_MS + 50);
    expect(socket.isDestroyed).toBe(true);
    expect(ends).toEqual(['connect timeout']);
    expect(limits.limitMs()).toBe(100);
  });

  // Guards against an uncaught error of a socket that nobody waits for any more.
  it('may fail late', async () => {
    const { ends, start } = setUp();
    const socket = start();
    await vi.advanceTimersByTimeAsync(300);
    socket.emit('error', new Error('connection reset'));
    expect(socket.isDestroyed).toBe(true);
    expect(ends).toEqual(['connect timeout']);
  });

  // Guards against a descriptor for each connection to a server that is gone.
  it('is waited for with few others only', async () => {
    const { start } = setUp();
    const sockets = Array.from({ length: 50 }, start);
    await vi.advanceTimersByTimeAsync(300);
    expect(sockets.filter(({ isDestroyed }) => !isDestroyed).length).toBeLessThanOrEqual(8);
  });
});

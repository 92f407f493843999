/** Timeouts that don't count time during which this process did not run. */

import { createServer, connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, expect, it } from 'vitest';

import { createTimeout } from '../src/utils/timeout';
import { pause } from '../src/utils/pause';

function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

describe('a timeout', () => {
  it('fires after its time', async () => {
    let hasPassed = false;
    createTimeout(10, () => (hasPassed = true));
    await pause(50);
    expect(hasPassed).toBe(true);
  });

  it('does not fire once cleared', async () => {
    let hasPassed = false;
    createTimeout(10, () => (hasPassed = true)).clear();
    await pause(50);
    expect(hasPassed).toBe(false);
  });

  it('does not fire when the answer arrived while this process was blocked', async () => {
    const server = createServer((socket) => socket.end('answer')).listen(0, '127.0.0.1');
    await new Promise((resolve) => server.once('listening', resolve));
    const outcome = await new Promise((resolve) => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      socket.once('connect', () => {
        // The answer arrives while the event loop is blocked for longer than the timeout.
        const limit = createTimeout(30, () => {
          resolve('timed out');
        });
        socket.once('data', (data) => {
          limit.clear();
          resolve(data.toString());
        });
        setImmediate(() => {
          blockEventLoop(100);
        });
      });
    });
    server.close();
    expect(outcome).toBe('answer');
  });
});

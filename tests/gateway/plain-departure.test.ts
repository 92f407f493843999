import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';

import { createClock } from '../../src/adapters/runtime';
import { createDepartureSignal } from '../../src/app/gateway/plain-departure';
import { later } from '../../src/core/ids';

function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

// Guards against a second server, and a retry, for a call that was answered while this process did not run.
it('a call does not leave a server whose answer came while this process was blocked', async () => {
  const server = createServer((socket) => socket.end('answer')).listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const clock = createClock();
  const outcome = await new Promise((resolve) => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.once('connect', () => {
      const prepare = (): boolean => {
        resolve('left');
        return true;
      };
      const times = { from: later(clock.now(), 30), until: later(clock.now(), 10_000) };
      const departure = createDepartureSignal(
        clock,
        { ...times, prepare },
        new AbortController().signal,
      );
      socket.once('data', (data) => {
        departure.clear();
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

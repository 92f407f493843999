import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';

import { createAcceptMarker } from '../src/adapters/accept-marker';
import type { AcceptedAddresses } from '../src/adapters/accept-marker';

const WAITING = 50;

// Guards against a daemon that takes a connection of its own for a caller, or the other way round.
it('a marker is told from other connections, one at a time', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const marker = createAcceptMarker(`127.0.0.1:${port}`);
  const accepted = new Promise<AcceptedAddresses>((resolve) => {
    server.once('connection', (socket) => {
      socket.on('error', () => undefined);
      const { localAddress, remoteAddress, remotePort } = socket;
      resolve({ localAddress, remoteAddress, remotePort });
    });
  });
  expect(marker.send()).toBe(true);
  expect(marker.send()).toBe(false);
  const own = await accepted;
  expect(marker.take({})).toBe(false);
  expect(marker.take({ ...own, remotePort: (own.remotePort ?? 0) + 1 })).toBe(false);
  expect(marker.take({ ...own, remoteAddress: '127.0.0.2' })).toBe(false);
  expect(marker.take(own)).toBe(true);
  expect(marker.send()).toBe(true);
  server.close();
});

// Guards against markers without end where the daemon does not reach itself.
it('a marker that cannot be sent is not repeated at once', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const marker = createAcceptMarker(`127.0.0.1:${port}`);
  expect(marker.send()).toBe(true);
  await new Promise((resolve) => setTimeout(resolve, 100));
  expect(marker.send()).toBe(false);
});

// Guards against a listener that is closed while connections wait in it.
it.each(['no marker', 'another marker'])(
  'connections that wait behind %s have been accepted once the queue is passed',
  async (before) => {
    let accepted = 0;
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      if (!marker.take(socket)) accepted += 1;
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const marker = createAcceptMarker(`127.0.0.1:${port}`);
    if (before === 'another marker') expect(marker.send()).toBe(true);
    const callers = Array.from({ length: WAITING }, () => connect(port, '127.0.0.1'));
    await marker.passQueue(1_000);
    expect(accepted).toBe(WAITING);
    for (const caller of callers) caller.destroy();
    server.close();
  },
);

// Guards against a stop that waits for a listener which accepts nothing.
it('the wait for the queue has a limit', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const marker = createAcceptMarker(`127.0.0.1:${port}`);
  const startedAt = performance.now();
  await marker.passQueue(100);
  expect(performance.now() - startedAt).toBeGreaterThan(90);
  server.close();
});

import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { expect, it } from 'vitest';

import { pause } from '../../src/utils/pause';
import { SILENT, startProxy } from './proxy';

const PROXY = '127.0.0.1:22990';

const openSockets = (): number =>
  process.getActiveResourcesInfo().filter((name) => name === 'TCPSocketWrap').length;

/**
 * Guards against a soak process that spins in its event loop and never exits. The runtime rejects a
 * reset while the end of a socket is in progress and loses track of the connection. This happens when
 * a silent link sends its delayed ends and a reset follows in the same event loop turn.
 */
it('closes connections that are ended and reset in the same event loop turn', async () => {
  const before = openSockets();
  const accepted: Socket[] = [];
  const target = createServer({ allowHalfOpen: true }, (socket) => {
    accepted.push(socket);
    socket.on('error', () => undefined);
  });
  target.listen(0, '127.0.0.1');
  await once(target, 'listening');
  const { port } = target.address() as AddressInfo;
  const proxy = await startProxy(PROXY, `127.0.0.1:${port}`);
  const client = connect({ host: '127.0.0.1', port: 22_990 });
  client.on('error', () => undefined);
  await once(client, 'connect');
  client.write('hello');
  await pause(50);
  proxy.disturb(SILENT);
  client.end();
  await pause(50);
  proxy.disturb(undefined);
  proxy.reset();
  await pause(50);
  for (const socket of [client, ...accepted]) socket.destroy();
  proxy.close();
  target.close();
  await pause(100);
  expect(openSockets()).toBe(before);
});

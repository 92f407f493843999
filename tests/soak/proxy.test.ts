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
 * A soak's process went on for ever after its report, spinning in its event loop. A connection that is
 * reset in the very turn in which its end was sent is not closed by the runtime: it refuses the reset
 * while the end is under way, and forgets the connection. Ends that a silent link held back are sent
 * together when the fault is over, and a reset may follow at once.
 */
it('closes connections whose end was sent in the same turn as their reset', async () => {
  const before = openSockets();
  const taken: Socket[] = [];
  const target = createServer({ allowHalfOpen: true }, (socket) => {
    taken.push(socket);
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
  for (const socket of [client, ...taken]) socket.destroy();
  proxy.close();
  target.close();
  await pause(100);
  expect(openSockets()).toBe(before);
});

import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect, it } from 'vitest';

import { checkListening } from '../../src/adapters/upstream/listening';

const TIMEOUT_MS = 500;

it('tells a port that listens from one that refuses', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  expect(await checkListening(address, TIMEOUT_MS)).toBe('listening');
  await new Promise((resolve) => server.close(resolve));
  expect(await checkListening(address, TIMEOUT_MS)).toBe('refused');
});

// Guards against an error in a timer, which ends the daemon.
it('takes an address without a valid port for unreachable', async () => {
  expect(await checkListening('127.0.0.1:70000', TIMEOUT_MS)).toBe('unreachable');
  expect(await checkListening('127.0.0.1:port', TIMEOUT_MS)).toBe('unreachable');
});

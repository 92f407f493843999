import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { createUpstream } from '../../src/adapters/upstream/upstream';

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** A server that answers each connection's first bytes by `answer`. */
function serve(answer: (socket: Socket) => void): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      answer(socket);
    });
  });
  closers.push(() => server.close());
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

async function fetchWhole(address: string): Promise<{ text: string; isWhole: boolean }> {
  const upstream = createUpstream();
  closers.push(() => {
    upstream.close();
  });
  const result = await upstream.send({
    address,
    method: 'GET',
    path: '/',
    headers: ['Host', 'a.example'],
    body: Buffer.alloc(0),
    ownConnection: false,
    beforeSend: () => undefined,
    signal: new AbortController().signal,
  });
  if (result.kind !== 'answered') throw new Error(result.kind);
  let text = '';
  try {
    for await (const chunk of result.res) text += String(chunk);
  } catch {
    return { text, isWhole: false };
  }
  return { text, isWhole: result.res.complete && !result.hasFailed() };
}

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

describe('an answer without a length', () => {
  it('is whole when the server closes its connection', async () => {
    const address = await serve((socket) => socket.end(`${HEAD}all of it`));
    expect(await fetchWhole(address)).toEqual({ text: 'all of it', isWhole: true });
  });

  it('is not whole when its connection is reset', async () => {
    const address = await serve((socket) => {
      socket.write(`${HEAD}a part`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    expect((await fetchWhole(address)).isWhole).toBe(false);
  });
});

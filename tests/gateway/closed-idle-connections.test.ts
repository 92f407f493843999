import { stat } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { createUpstream } from '../../src/adapters/upstream/upstream';
import type { Upstream, UpstreamCall } from '../../src/adapters/upstream/upstream';
import { pause } from '../../src/utils/pause';
import { readAnswer } from '../support/read-answer';

const IDLE_CONNECTIONS = 3;
const SETTLE_MS = 30;

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

interface Server {
  readonly address: string;
  readonly sockets: readonly Socket[];
  readonly received: string[];
}

/** A server that keeps its connections and answers each request whole. */
function startServer(): Promise<Server> {
  const sockets: Socket[] = [];
  const received: string[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      received.push(String(bytes));
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
    });
  });
  closers.push(() => server.close());
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve({ address: `127.0.0.1:${port}`, sockets, received });
    });
  });
}

function makeCall(address: string, part: Partial<UpstreamCall> = {}): UpstreamCall {
  const headers = ['Host', 'a.example', 'Content-Length', '4'];
  return {
    ...{ address, method: 'POST', path: '/x', headers, body: Buffer.from('body') },
    ...{ ownConnection: false, beforeSend: () => undefined },
    ...{ signal: new AbortController().signal, ...part },
  };
}

/** Leaves connections idle that have each served a call. */
async function startWithIdle(): Promise<{ upstream: Upstream; server: Server }> {
  const server = await startServer();
  const upstream = createUpstream();
  closers.push(() => {
    upstream.close();
  });
  const calls = Array.from({ length: IDLE_CONNECTIONS }, () =>
    upstream.send(makeCall(server.address)).then(readAnswer),
  );
  await Promise.all(calls);
  await pause(SETTLE_MS);
  return { upstream, server };
}

const CLOSINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: (socket) => socket.destroy(),
  reset: (socket) => socket.resetAndDestroy(),
  'sent bytes that belong to no request': (socket) =>
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged'),
};

describe('a call whose idle connections have ended unnoticed', () => {
  // Guards against a call that is lost, as it was written to a connection of which a read would have told the end.
  it.each(Object.entries(CLOSINGS))(
    'is sent over a new connection if they were %s',
    async (_, close) => {
      const { upstream, server } = await startWithIdle();
      server.received.splice(0);
      for (const socket of server.sockets) close(socket);
      const sent = await upstream.send(makeCall(server.address));
      expect(await readAnswer(sent)).toEqual({ text: 'whole', isWhole: true });
      expect(server.received).toHaveLength(1);
    },
  );

  // Guards against a look that is over before the event loop has read its sockets again.
  it.each(Object.entries(CLOSINGS))(
    'is sent over a new connection if they were %s while events were handled',
    async (_, close) => {
      const { upstream, server } = await startWithIdle();
      await stat('.');
      for (const socket of server.sockets) close(socket);
      const sent = await upstream.send(makeCall(server.address));
      expect(await readAnswer(sent)).toEqual({ text: 'whole', isWhole: true });
    },
  );

  // Guards against a check before the write whose result no longer holds when the call is written.
  it('is checked in the turn of its write, once, and not written if it is aborted before', async () => {
    const { upstream, server } = await startWithIdle();
    server.received.splice(0);
    let checks = 0;
    const beforeSend = (): undefined => {
      checks += 1;
      return undefined;
    };
    for (const socket of server.sockets) socket.destroy();
    const sent = await upstream.send(makeCall(server.address, { beforeSend }));
    expect([sent.kind, checks]).toEqual(['answered', 1]);
    await readAnswer(sent);
    await pause(SETTLE_MS);
    const caller = new AbortController();
    const pending = upstream.send(makeCall(server.address, { signal: caller.signal }));
    caller.abort(new Error('caller disconnected'));
    expect((await pending).kind).toBe('not-sent');
    await pause(SETTLE_MS);
    expect(server.received).toHaveLength(1);
  });
});

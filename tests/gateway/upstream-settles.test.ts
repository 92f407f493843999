import { Agent } from 'node:http';
import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { callHttp } from '../../src/adapters/http-call';
import { createUpstream } from '../../src/adapters/upstream/upstream';
import type { UpstreamCall, UpstreamResult } from '../../src/adapters/upstream/upstream';

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** A server that answers each request with `text`, and then does `next`. */
function serve(text: string, next: (socket: Socket) => void = () => undefined): Promise<string> {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      if (text !== '') socket.write(text);
      next(socket);
    });
  });
  closers.push(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

const CALL: Omit<UpstreamCall, 'address'> = {
  method: 'GET',
  path: '/',
  headers: ['Host', 'a.example'],
  body: Buffer.alloc(0),
  ownConnection: false,
  beforeSend: () => undefined,
  signal: new AbortController().signal,
};

function call(address: string, part: Partial<UpstreamCall> = {}): Promise<UpstreamResult> {
  const upstream = createUpstream();
  closers.push(() => {
    upstream.close();
  });
  return upstream.send({ ...CALL, address, ...part });
}

const SIGNED = 'X-Nutmegstack-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok';

describe('an answer whose status ends no response', () => {
  // Guards against a status that Node refuses to send on, and against an invalid one that reaches a caller (MIXED).
  const odd = ['000', '001', '042', '099', '600', '666', '700', '999'];
  it.each(odd)('counts as lost (%s)', async (status) => {
    const address = await serve(`HTTP/1.1 ${status} OK\r\n${SIGNED}`);
    const result = await call(address);
    expect(result).toMatchObject({ kind: 'lost', error: { code: 'backend-lost' } });
  });

  it('is no matter for the statuses that servers send', async () => {
    for (const status of ['200', '299', '421', '503', '599']) {
      const address = await serve(`HTTP/1.1 ${status} X\r\n${SIGNED}`);
      expect((await call(address)).kind).toBe('answered');
    }
  });
});

describe('an answer whose framing cannot be read', () => {
  // Guards against the bytes of an encoding in the place of the server's body (MIXED).
  it.each([
    '1.1 200 OK\r\nTransfer-Encoding: chunke',
    '1.1 200 OK\r\nTransfer-Encoding: ',
    '1.1 200 OK\r\nTransfer-Encoding: gzip',
    '1.1 200 OK\r\nTransfer-Encoding: identity',
    '1.1 200 OK\r\nTransfer-Encoding: gzip, chunked',
    '1.1 200 OK\r\nTransfer-Encoding: chunked, gzip',
    '1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
    '1.0 200 OK\r\nTransfer-Encoding: chunked',
    '1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked',
    '1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3',
    '1.1 200 OK\r\nContent-Length: 2, 2',
    '1.1 200 OK\r\nContent-Length: +2',
    '1.1 200 OK\r\nContent-Length:',
  ])('counts as lost: %s', async (head) => {
    const address = await serve(`HTTP/${head}\r\n\r\n2\r\nok\r\n0\r\n\r\n`, (socket) =>
      socket.end(),
    );
    const result = await call(address);
    expect(result).toMatchObject({ kind: 'lost', error: { code: 'backend-lost' } });
  });
});

describe('an answer with a header that cannot be sent on', () => {
  // Guards against a name that Node reads and refuses to write: it throws where the head for the caller is written.
  it.each(['X-A b: c', ' X-A: b', ': b', 'X-A : b'])('counts as lost: %j', async (line) => {
    const address = await serve(`HTTP/1.1 200 OK\r\nX-First: a\r\n${line}\r\n${SIGNED}`);
    expect((await call(address)).kind).toBe('lost');
  });

  it('is no matter for the values that servers send', async () => {
    for (const value of ['', 'a b', 'caf\u00e9', '"x";q=1', 'a\tb']) {
      const address = await serve(`HTTP/1.1 200 OK\r\nX-A: ${value}\r\n${SIGNED}`);
      expect((await call(address)).kind).toBe('answered');
    }
  });
});

const UPGRADE = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n';

/** Guards against calls, and the requests and polls behind them, that wait for good. */
describe('a server that switches protocols unasked', () => {
  it('has lost the call', async () => {
    const result = await call(await serve(UPGRADE));
    expect(result).toMatchObject({ kind: 'lost', error: { code: 'backend-lost' } });
  });

  it('has lost the call if it closes the connection after it', async () => {
    const result = await call(await serve(UPGRADE, (socket) => socket.end()));
    expect(result.kind).toBe('lost');
  });

  it('fails an order, a report or a poll', async () => {
    const address = await serve(UPGRADE);
    const agent = new Agent();
    const http = { agent, address, method: 'GET', path: '/', timeoutMs: 5_000 };
    const failure = (await callHttp(http))._unsafeUnwrapErr();
    expect(failure.maybeSent).toBe(true);
  });
});

describe('a call', () => {
  // Guards against a call without an end, for which its request would wait as well.
  it.each([
    ['a close', '', (socket: Socket) => socket.destroy()],
    ['a reset', '', (socket: Socket) => socket.resetAndDestroy()],
    ['an end', '', (socket: Socket) => socket.end()],
    ['half a head', 'HTTP/1.1 200 OK\r\nContent-', (socket: Socket) => socket.end()],
    ['bytes that are no answer', 'no answer\r\n\r\n', () => undefined],
    ['a status of four digits', `HTTP/1.1 2000 OK\r\n${SIGNED}`, () => undefined],
    ['a status that is no number', `HTTP/1.1 2x0 OK\r\n${SIGNED}`, () => undefined],
  ])('is lost with %s', async (_, text, next) => {
    expect((await call(await serve(text, next))).kind).toBe('lost');
  });

  it('settles with a method that is no ordinary one', async () => {
    const address = await serve(`HTTP/1.1 200 OK\r\n${SIGNED}`);
    const result = await call(address, { method: 'CONNECT', path: 'a.example:80' });
    expect(result.kind).toBe('lost');
  });

  it('whose last check throws is not sent', async () => {
    const address = await serve(`HTTP/1.1 200 OK\r\n${SIGNED}`);
    const beforeSend = (): undefined => {
      throw new Error('no such server');
    };
    expect((await call(address, { beforeSend })).kind).toBe('not-sent');
  });
});

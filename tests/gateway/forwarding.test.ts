import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { createForwardClient } from '../../src/adapters/upstream/forward-client';
import { FORWARD_TO } from '../../src/adapters/upstream/forward-protocol';
import { createUpstream } from '../../src/adapters/upstream/upstream';
import type { UpstreamCall } from '../../src/adapters/upstream/upstream';
import { createForwarding } from '../../src/app/gateway/forwarding';
import { pause } from '../../src/utils/pause';
import { readAnswer } from '../support/read-answer';
import { makeContext } from './support';

const HOST = '127.0.0.1';
const PEER = `${HOST}:28900`;
/** A server that the peer does not reach itself. */
const CUT_OFF = `${HOST}:3`;
const SECRET = 'a secret of this test alone';
const LENGTH = 'HTTP/1.1 200 OK\r\nX-Of-Server: yes\r\nContent-Length: 5\r\n\r\nwhole';
const NO_LENGTH = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

interface StandIn {
  readonly address: string;
  readonly received: string[];
  readonly closed: () => number;
}

/** A server that calls `answer` once a request has arrived. */
function startServer(answer: (socket: Socket) => void): Promise<StandIn> {
  const received: string[] = [];
  let closed = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('close', () => (closed += 1));
    socket.on('data', (bytes) => {
      received.push(String(bytes));
      answer(socket);
    });
  });
  closers.push(() => server.close());
  return new Promise((resolve) => {
    server.listen(0, HOST, () => {
      const { port } = server.address() as AddressInfo;
      resolve({ address: `${HOST}:${port}`, received, closed: () => closed });
    });
  });
}

/** A daemon that forwards for peers which know `peerSecret`. */
async function startPeer(known: (address: string) => boolean, secret = SECRET) {
  const upstream = createUpstream({ connectTimeoutMs: 200 });
  const ctx = makeContext({ settings: { forwardListen: PEER, peerSecret: SECRET } });
  const forwarding = createForwarding(ctx, {
    upstream,
    dialect: { parseRequest: () => ({ promptTokens: 0, maxOutputTokens: 0 }) },
    isServer: known,
    isCutOff: (address) => address === CUT_OFF,
    answerPeer: () => Promise.resolve('refused'),
  });
  await forwarding.start();
  const toPeer = createUpstream();
  closers.push(() => {
    forwarding.close();
    upstream.close();
    toPeer.close();
  });
  return { client: createForwardClient(toPeer, secret), forwarding };
}

function makeCall(address: string, signal = new AbortController().signal): UpstreamCall {
  const headers = ['Host', 'a.example', 'X-Of-Caller', 'yes', 'Content-Length', '4'];
  return {
    ...{ address, method: 'POST', path: '/x?y=1', headers, body: Buffer.from('body') },
    ...{ ownConnection: false, beforeSend: () => undefined, signal },
  };
}

describe('a request that a peer forwards', () => {
  it('reaches the server as it was sent, and its answer comes back', async () => {
    const server = await startServer((socket) => socket.write(LENGTH));
    const { client } = await startPeer(() => true);
    const { result } = await client.send(makeCall(server.address), PEER);
    expect(await readAnswer(result)).toEqual({ text: 'whole', isWhole: true });
    const [req = ''] = server.received;
    expect(req).toMatch(/^POST \/x\?y=1 HTTP\/1\.1\r\nHost: a\.example\r\nX-Of-Caller: yes\r\n/);
    expect(req.toLowerCase()).not.toContain(FORWARD_TO);
    expect(req.endsWith('\r\n\r\nbody')).toBe(true);
  });

  // Guards against a path of a caller's that the peer takes for a question of its own.
  it('is forwarded whatever its path', async () => {
    const server = await startServer((socket) => socket.write(LENGTH));
    const { client } = await startPeer(() => true);
    const call = { ...makeCall(server.address), path: '/forward-check' };
    const { result } = await client.send(call, PEER);
    expect(await readAnswer(result)).toEqual({ text: 'whole', isWhole: true });
  });

  // Guards against a limit of the peer's that callers' headers, accepted by their daemon, exceed.
  it('may have headers as long as callers may send', async () => {
    const server = await startServer((socket) => socket.write(LENGTH));
    const { client } = await startPeer(() => true);
    const call = makeCall(server.address);
    const headers = [...(call.headers as string[]), 'X-Long', 'x'.repeat(60_000)];
    const { result } = await client.send({ ...call, headers }, PEER);
    expect(await readAnswer(result)).toEqual({ text: 'whole', isWhole: true });
  });

  // Guards against an answer without a length that looks complete although its connection was reset.
  it('has an incomplete answer when the server breaks it off', async () => {
    const server = await startServer((socket) => {
      socket.write(`${NO_LENGTH}a part`, () => setTimeout(() => socket.resetAndDestroy(), 20));
    });
    const { client } = await startPeer(() => true);
    const { result } = await client.send(makeCall(server.address), PEER);
    expect((await readAnswer(result)).isWhole).toBe(false);
  });

  it('has an incomplete answer when the peer ends in the middle', async () => {
    const server = await startServer((socket) => socket.write(`${NO_LENGTH}a part`));
    const { client, forwarding } = await startPeer(() => true);
    const { result } = await client.send(makeCall(server.address), PEER);
    setTimeout(() => {
      forwarding.close();
    }, 50);
    expect((await readAnswer(result)).isWhole).toBe(false);
    expect(result).toMatchObject({ byPeer: true });
  });

  it('is complete without a length when the server closes its connection', async () => {
    const server = await startServer((socket) => socket.end(`${NO_LENGTH}all of it`));
    const { client } = await startPeer(() => true);
    const { result } = await client.send(makeCall(server.address), PEER);
    expect(await readAnswer(result)).toEqual({ text: 'all of it', isWhole: true });
  });

  // Guards against work that goes on for callers who have left.
  it('is cancelled at the server when its sender gives it up', async () => {
    const server = await startServer((socket) => socket.write(`${NO_LENGTH}a part`));
    const { client } = await startPeer(() => true);
    const caller = new AbortController();
    await client.send(makeCall(server.address, caller.signal), PEER);
    caller.abort(new Error('caller disconnected'));
    await pause(100);
    expect(server.closed()).toBe(1);
  });

  it('is not sent if the server does not listen, and the peer is not to blame', async () => {
    const { client } = await startPeer(() => true);
    const { result, hasPeerFailed } = await client.send(makeCall(`${HOST}:1`), PEER);
    expect([result.kind, hasPeerFailed]).toEqual(['not-sent', false]);
  });

  it('is lost if the server breaks the connection before it answers', async () => {
    const server = await startServer((socket) => socket.resetAndDestroy());
    const { client } = await startPeer(() => true);
    const { result, hasPeerFailed } = await client.send(makeCall(server.address), PEER);
    expect([result.kind, hasPeerFailed]).toEqual(['lost', false]);
    expect(result).not.toHaveProperty('byPeer');
  });

  it.each([
    { why: 'the sender does not know the secret', known: true, secret: 'another secret' },
    { why: 'no server is registered there', known: false, secret: SECRET },
  ])('is not sent if $why', async ({ known, secret }) => {
    const server = await startServer((socket) => socket.write(LENGTH));
    const { client } = await startPeer(() => known, secret);
    const { result } = await client.send(makeCall(server.address), PEER);
    expect(result.kind).toBe('not-sent');
    expect(server.received).toEqual([]);
  });

  it('is refused by a peer that does not reach the server itself', async () => {
    const { client } = await startPeer(() => true);
    const { result, hasPeerFailed } = await client.send(makeCall(CUT_OFF), PEER);
    expect([result.kind, hasPeerFailed]).toEqual(['not-sent', true]);
  });

  // Guards against requests that are passed on late in the stop of a peer, and whose answers its end cuts.
  it('is refused by a peer that is about to end, which goes on with earlier ones', async () => {
    const server = await startServer((socket) => setTimeout(() => socket.write(LENGTH), 100));
    const { client, forwarding } = await startPeer(() => true);
    const earlier = client.send(makeCall(server.address), PEER);
    await pause(50);
    forwarding.refuseFurther();
    const { result, hasPeerFailed } = await client.send(makeCall(server.address), PEER);
    expect([result.kind, hasPeerFailed]).toEqual(['not-sent', true]);
    expect(await readAnswer((await earlier).result)).toEqual({ text: 'whole', isWhole: true });
    expect(server.received).toHaveLength(1);
  });

  // Guards against sending an unsafe call again that the peer may have passed on before it ended.
  it('is lost if the peer ends before it answers', async () => {
    const peer = await startServer((socket) => socket.destroy());
    const client = createForwardClient(createUpstream(), SECRET);
    const { result, hasPeerFailed } = await client.send(makeCall(`${HOST}:2`), peer.address);
    expect([result.kind, hasPeerFailed]).toEqual(['lost', true]);
    expect(result).toMatchObject({ byPeer: true });
  });

  it('is not sent if the peer is gone', async () => {
    const client = createForwardClient(createUpstream({ connectTimeoutMs: 100 }), SECRET);
    const { result, hasPeerFailed } = await client.send(makeCall(`${HOST}:2`), `${HOST}:1`);
    expect([result.kind, hasPeerFailed]).toEqual(['not-sent', true]);
  });
});

describe('the check of a server by a peer', () => {
  it('gives the state that the peer sees, or nothing where it does not answer', async () => {
    const { client } = await startPeer(() => true);
    expect(await client.check(`${HOST}:1`, PEER, 500)).toBe('refused');
    expect(await client.check(`${HOST}:1`, `${HOST}:1`, 500)).toBe('unknown');
  });
});

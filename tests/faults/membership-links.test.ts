import { randomBytes } from 'node:crypto';
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createFrameDecoder, encodeFrame } from '../../src/adapters/peers/codec';
import { makeHello, makeProof, parseHello } from '../../src/adapters/peers/handshake';
import { createLink } from '../../src/adapters/peers/link';
import { PEER_DEFAULTS } from '../../src/adapters/peers/peers';
import type { TcpPeers } from '../../src/adapters/peers/peers';
import { parseAddress } from '../../src/utils/address';
import type { DaemonId } from '../../src/core/ids';
import { freeAddresses, until } from '../support/membership-daemons';
import { SECRET, closed, peersAt, provedLink, rawSocket } from '../support/raw-peers';
import type { TestMessage } from '../support/raw-peers';

let addresses: readonly string[];
let daemon: TcpPeers<TestMessage>;
let got: string[];
let warnings: string[];
const others: { stop(): Promise<void> }[] = [];

function addressOf(index: number): string {
  return addresses[index] ?? '';
}

async function other(secret: string): Promise<TcpPeers<TestMessage>> {
  const peers = peersAt('other', addressOf(1), { secret, settings: { firstMs: 20 } });
  await peers.start();
  others.push(peers);
  return peers;
}

beforeEach(async () => {
  addresses = await freeAddresses(2);
  got = [];
  warnings = [];
  const settings = { handshakeMs: 200, firstMs: 20 };
  daemon = peersAt('daemon', addressOf(0), { settings, warnings });
  daemon.received.subscribe(({ message }) => got.push(message.text));
  await daemon.start();
});

afterEach(async () => {
  await Promise.all([daemon.stop(), ...others.splice(0).map((peers) => peers.stop())]);
});

/** Checks that the daemon still accepts messages from other daemons. */
async function expectAlive(): Promise<void> {
  const peers = await other(SECRET);
  peers.send(addressOf(0), { kind: 'test', text: 'still there' });
  await until('a message arrives', () => got.includes('still there'));
}

async function nextFrame(socket: Socket): Promise<unknown> {
  const decoder = createFrameDecoder();
  socket.on('data', (chunk: Buffer) => decoder.write(chunk));
  return new Promise((resolve) => decoder.once('data', resolve));
}

describe('a link', () => {
  it('is refused to a daemon with another secret, in both directions', async () => {
    const stranger = await other('another secret');
    const taken: string[] = [];
    const lost: string[] = [];
    stranger.received.subscribe(({ message }) => taken.push(message.text));
    stranger.unreachable.subscribe((address) => lost.push(address));
    daemon.unreachable.subscribe((address) => lost.push(address));
    stranger.send(addressOf(0), { kind: 'test', text: 'let me in' });
    daemon.send(addressOf(1), { kind: 'test', text: 'are you one of us?' });
    await until('both give up', () => new Set(lost).size === 2);
    expect(got).toEqual([]);
    expect(taken).toEqual([]);
  });

  it('is refused to a peer that replays the proof of an earlier link', async () => {
    const own = makeHello({ id: 'raw' as DaemonId, address: '127.0.0.1:1', process: 'p' });
    const first = await rawSocket(addressOf(0));
    first.write(encodeFrame(own));
    const hello = parseHello(await nextFrame(first));
    if (!hello) throw new Error('no hello came');
    // An eavesdropper on that link would have seen this proof.
    const proof = makeProof(SECRET, 'dialler', own, hello);
    first.destroy();
    const socket = await rawSocket(addressOf(0));
    for (const frame of [own, proof, { kind: 'test', text: 'replayed' }]) {
      socket.write(encodeFrame(frame));
    }
    await closed(socket);
    expect(got).toEqual([]);
  });

  it('accepts no message before the handshake is complete', async () => {
    const socket = await rawSocket(addressOf(0));
    socket.write(encodeFrame({ kind: 'test', text: 'too early' }));
    await closed(socket);
    expect(got).toEqual([]);
  });

  it.each([
    ['random bytes', randomBytes(2000)],
    ['an HTTP request', Buffer.from('GET / HTTP/1.1\r\nHost: x\r\n\r\n')],
    ['a header that claims a huge array', Buffer.from('9affffffff', 'hex')],
    ['nothing at all', Buffer.alloc(0)],
  ])('is closed when the peer sends %s, and other peers are served', async (_, bytes) => {
    const socket = await rawSocket(addressOf(0));
    if (bytes.length > 0) socket.write(bytes);
    await closed(socket);
    await expectAlive();
  });

  it('is closed at once when the peer sends more than a handshake needs', async () => {
    const patient = peersAt('patient', addressOf(1), { settings: { handshakeMs: 60_000 } });
    await patient.start();
    others.push(patient);
    const socket = await rawSocket(addressOf(1));
    // The header of a string of a million bytes, and the first 5000 of them.
    socket.write(Buffer.concat([Buffer.from('7a000f4240', 'hex'), Buffer.alloc(5000, 0x61)]));
    await closed(socket);
  });

  it('is closed by an oversized frame', async () => {
    const { link, socket } = await provedLink(addressOf(0));
    link.send({ kind: 'test', text: 'x'.repeat(3_000_000) });
    await closed(socket);
    expect(got).toEqual([]);
    await expectAlive();
  });

  it('is closed by a frame of an unknown kind', async () => {
    const { link, socket } = await provedLink(addressOf(0));
    link.send({ kind: 'test', text: 'fine' });
    link.send({ kind: 'other' });
    await closed(socket);
    expect(got).toEqual(['fine']);
    expect(warnings).toEqual(['message refused: no daemon sends such a one']);
  });

  it('delivers messages sent during connection setup, in order', async () => {
    const peers = await other(SECRET);
    for (const text of ['a', 'b', 'c']) peers.send(addressOf(0), { kind: 'test', text });
    await until('all arrive', () => got.length === 3);
    expect(got).toEqual(['a', 'b', 'c']);
  });

  it('is never made to the daemon itself', () => {
    expect(daemon.send(addressOf(0), { kind: 'test', text: 'hello, me' })).toBe(false);
  });
});

describe('a daemon that never reads', () => {
  let server: Server;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    server = createServer((socket) => {
      sockets.push(socket);
      createLink(socket, {
        role: 'listener',
        name: { id: 'deaf' as DaemonId, address: addressOf(1), process: 'deaf' },
        secret: SECRET,
        limits: PEER_DEFAULTS,
        onOpen: () => {
          socket.pause();
          return true;
        },
        onFrame: () => true,
        onClose: () => undefined,
      });
    });
    const { host, port } = parseAddress(addressOf(1));
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
  });

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  it('is disconnected when its send queue is full; the queue is bounded', async () => {
    const lost: string[] = [];
    daemon.unreachable.subscribe((address) => lost.push(address));
    const message: TestMessage = { kind: 'test', text: 'x'.repeat(100_000) };
    let sent = 0;
    while (lost.length === 0) {
      if (daemon.send(addressOf(1), message)) sent += 1;
      await new Promise(setImmediate);
    }
    expect(lost).toEqual([addressOf(1)]);
    // The kernel's socket buffers plus the link's own limit, with a margin.
    expect(sent * message.text.length).toBeLessThan(30_000_000);
    await expectAliveWithoutOther();
  });

  async function expectAliveWithoutOther(): Promise<void> {
    const { link, socket } = await provedLink(addressOf(0));
    link.send({ kind: 'test', text: 'still there' });
    await until('a message arrives', () => got.includes('still there'));
    socket.destroy();
  }
});

describe('an unreachable daemon', () => {
  it('is redialled with increasing delays, and reached once it is back', async () => {
    const lost: number[] = [];
    daemon.unreachable.subscribe(() => lost.push(performance.now()));
    const message: TestMessage = { kind: 'test', text: 'hello' };
    await until('three dials failed', () => {
      daemon.send(addressOf(1), message);
      return lost.length >= 3;
    });
    const peers = await other(SECRET);
    const taken: string[] = [];
    peers.received.subscribe(({ message: { text } }) => taken.push(text));
    await until('it is reached', () => {
      daemon.send(addressOf(1), message);
      return taken.length > 0;
    });
  });
});

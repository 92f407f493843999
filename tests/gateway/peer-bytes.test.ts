import { afterEach, expect, it } from 'vitest';

import { createPeers } from '../../src/adapters/peers/peers';
import type { TcpPeers } from '../../src/adapters/peers/peers';
import { createClock, createRandom } from '../../src/adapters/runtime';
import { createLogger } from '../../src/adapters/telemetry/logger';
import { brandAs } from '../../src/core/ids';
import type { DaemonId } from '../../src/core/ids';

const ADDRESSES = ['127.0.0.1:20700', '127.0.0.1:20701'] as const;
const LARGE_BYTES = 300_000;

interface Message {
  readonly kind: string;
  readonly text: string;
}

const all: TcpPeers<Message>[] = [];
afterEach(() => Promise.all(all.map((peers) => peers.stop())));

// Guards against a full link of which nobody can tell whose bytes fill it.
it('counts the bytes of messages by kind on both sides', async () => {
  const counts = new Map<string, number>();
  const make = (address: string): TcpPeers<Message> => {
    const peers = createPeers<Message>({
      ...{ self: { id: brandAs<DaemonId>(address), address }, secret: 'secret of this test' },
      ...{ clock: createClock(), random: createRandom(1) },
      logger: createLogger({ write: () => undefined }),
      parse: (frame) => frame as Message,
      onMessage: (way, kind, bytes) => {
        counts.set(`${way} ${kind}`, (counts.get(`${way} ${kind}`) ?? 0) + bytes);
      },
    });
    all.push(peers);
    return peers;
  };
  const [first, second] = [make(ADDRESSES[0]), make(ADDRESSES[1])];
  await Promise.all([first.start(), second.start()]);
  const received = new Promise<void>((resolve) => {
    second.received.subscribe(({ message }) => {
      if (message.kind === 'state') resolve();
    });
  });
  first.send(ADDRESSES[1], { kind: 'config', text: 'x'.repeat(LARGE_BYTES) });
  first.sendToAll([ADDRESSES[1]], { kind: 'state', text: 'short' });
  await received;
  for (const way of ['sent', 'received'])
    expect(counts.get(`${way} config`)).toBeGreaterThanOrEqual(LARGE_BYTES);
  expect(counts.get('sent state')).toBeLessThan(100);
  const sum = (way: string): number =>
    (counts.get(`${way} config`) ?? 0) + (counts.get(`${way} state`) ?? 0);
  // Received frames are counted with the handshake before them.
  expect(sum('received') - sum('sent')).toBeLessThan(1_000);
});

import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { createServers } from '../../platform/servers';
import { FORWARD_ERROR } from '../../src/adapters/upstream/forward-protocol';
import type { ServerOrder } from '../../src/core/gateway/orders';
import { brandAs } from '../../src/core/ids';
import type { Epoch, GroupId } from '../../src/core/ids';
import { makeServer } from './support';

const ORDER: ServerOrder = {
  kind: 'open',
  group: brandAs<GroupId>('group-1'),
  epoch: brandAs<Epoch>(1),
};

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** A peer that answers each request with this error of its own. */
function startPeer(error: string): Promise<string> {
  const peer = createServer((_, res) => {
    res.writeHead(502, { [FORWARD_ERROR]: error }).end();
  });
  closers.push(() => peer.close());
  return new Promise((resolve) => {
    peer.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(peer.address() as AddressInfo).port}`);
    });
  });
}

describe('an order that is sent through a peer', () => {
  // Guards against waiting for the effect of an order that certainly reached no server.
  it.each([
    { error: 'refused', result: 'not-sent' },
    { error: 'not-sent', result: 'not-sent' },
    { error: 'lost', result: 'unknown' },
  ])('is $result if the peer says $error', async ({ error, result }) => {
    const address = await startPeer(error);
    const failed: string[] = [];
    const servers = createServers({
      resolve: () => ({ address, headers: {} }),
      noteFailed: (server) => failed.push(server),
    });
    expect(await servers.order(makeServer('s1'), ORDER)).toBe(result);
    expect(failed).toEqual([]);
  });
});

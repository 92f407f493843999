import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { startRawServer } from '../support/endless-server';
import type { EndlessServer } from '../support/endless-server';
import { readAnswer } from '../support/read-answer';
import { startForwardingRig } from './forwarding-rig';
import type { ForwardingRig } from './forwarding-rig';

let rig: ForwardingRig;
let server: EndlessServer;

beforeEach(async () => {
  rig = await startForwardingRig('127.0.0.1:31210');
});

afterEach(() => {
  rig.close();
  server.close();
});

describe('an answer that a peer returns', () => {
  // Guards against a sound answer that throws as its head is written at the peer: the request ran and is lost.
  it('is whole if it has a length and names trailers', async () => {
    server = await startRawServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nContent-Length: 5\r\n\r\nwhole');
    });
    const { result } = await rig.send(server.address);
    expect(result.kind).toBe('answered');
    expect(await readAnswer(result)).toEqual({ text: 'whole', isWhole: true });
  });
});

import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { dialect } from '../../platform/ingress';
import { startRawServer } from '../support/endless-server';
import type { EndlessServer } from '../support/endless-server';
import { readAnswer } from '../support/read-answer';
import { startForwardingRig } from './forwarding-rig';
import type { ForwardingRig } from './forwarding-rig';

const HEAD = 'HTTP/1.1 200 OK\r\nX-A: b\r\n';
/** Time for the peer to read the bytes before a reset discards them. */
const READ_MS = 50;

let rig: ForwardingRig;
let server: EndlessServer;

beforeEach(async () => {
  rig = await startForwardingRig('127.0.0.1:31213');
});

afterEach(() => {
  rig.close();
  server.close();
});

/** The answer through the peer of a server that sends `text`, and then does `end`. */
async function answerWith(text: string, end: (socket: Socket) => void = () => undefined) {
  server = await startRawServer((socket) => {
    socket.write(text, () => {
      setTimeout(end, READ_MS, socket);
    });
  });
  const { result } = await rig.send(server.address);
  if (result.kind !== 'answered') throw new Error(result.error.message);
  const headers = dialect.reply(result.res.rawHeaders);
  return { framing: result.framing, headers, ...(await readAnswer(result)) };
}

describe('an answer that a peer returns', () => {
  // Guards against a last chunk of the peer's own, which makes a cut answer look whole (MIXED, ORDER).
  it('proves no more of its end than the server did', async () => {
    const answer = await answerWith(`${HEAD}\r\ncut`, (socket) => socket.end());
    expect(answer).toEqual({ framing: 'close', headers: ['X-A', 'b'], text: 'cut', isWhole: true });
  });

  it('is not whole if the connection of the server was reset', async () => {
    const answer = await answerWith(`${HEAD}\r\ncut`, (socket) => socket.resetAndDestroy());
    expect(answer).toMatchObject({ framing: 'close', isWhole: false });
  });

  it.each([
    ['length', 'Content-Length: 5\r\n\r\nwhole'],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'],
  ])('keeps its %s', async (framing, rest) => {
    const answer = await answerWith(`${HEAD}${rest}`);
    expect(answer).toMatchObject({ framing, text: 'whole', isWhole: true });
  });
});

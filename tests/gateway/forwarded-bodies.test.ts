import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, expect, it } from 'vitest';

import { FORWARD_PROOF, FORWARD_TO } from '../../src/adapters/upstream/forward-protocol';
import { pause } from '../../src/utils/pause';
import { heldBufferBytes } from '../support/held-bytes';
import { startForwardingRig } from './forwarding-rig';

const PORT = 31_211;
/** As a daemon of an earlier version sends it, which proves the whole request only. */
const UNPROVEN = `${FORWARD_TO}: 127.0.0.1:1\r\n${FORWARD_PROOF}: ${'0'.repeat(64)}\r\n`;
const CONNECTIONS = 24;
const BODY_BYTES = 8 * 1024 * 1024;
/** What bodies of senders that have proven nothing may occupy. */
const MAX_HELD_BYTES = 64 * 1024 * 1024;
const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

// Guards against anybody who fills the memory of a daemon: bodies are read before it is known that a peer sent them.
it.each([
  { who: 'without a proof', headers: '' },
  { who: 'whose proof needs the body', headers: UNPROVEN },
])('bodies of requests that no peer sent are bounded together ($who)', async ({ headers }) => {
  const rig = await startForwardingRig(`127.0.0.1:${PORT}`);
  const before = heldBufferBytes();
  // All but the last byte, so that nothing is answered.
  const part = Buffer.alloc(BODY_BYTES - 1, 'x');
  const sockets: Socket[] = Array.from({ length: CONNECTIONS }, () => {
    const socket = connect(PORT, '127.0.0.1');
    socket.on('error', () => undefined);
    const host = `Host: a.example\r\n${headers}`;
    socket.write(`POST / HTTP/1.1\r\n${host}Content-Length: ${BODY_BYTES}\r\n\r\n`);
    socket.write(part);
    return socket;
  });
  closers.push(() => {
    for (const socket of sockets) socket.destroy();
    rig.close();
  });
  await pause(2_000);
  expect(heldBufferBytes() - before).toBeLessThan(MAX_HELD_BYTES);
  // A peer proves its head, so that its body is read all the same.
  const sent = await rig.send('127.0.0.1:1', part);
  expect(sent).toMatchObject({ result: { kind: 'not-sent' }, hasPeerFailed: false });
});

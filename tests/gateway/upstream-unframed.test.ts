import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { createUpstream } from '../../src/adapters/upstream/upstream';
import { readAnswer } from '../support/read-answer';
import type { ReadAnswer } from '../support/read-answer';

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** A server that handles the first bytes of each connection with `answer`. */
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

const PROGRAM = `
  const server = require('node:net').createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(${JSON.stringify('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na')});
      setTimeout(() => socket.write(' part', () => socket.resetAndDestroy()), 30);
    });
  });
  server.listen(0, '127.0.0.1', () => console.log(server.address().port));
`;

/**
 * Runs a server in a child process, because this process's event loop is blocked while it answers.
 */
function serveInChildProcess(): Promise<string> {
  const child = spawn(process.execPath, ['-e', PROGRAM], { stdio: ['ignore', 'pipe', 'inherit'] });
  closers.push(() => child.kill());
  return new Promise((resolve) => {
    child.stdout.once('data', (port: Buffer) => {
      resolve(`127.0.0.1:${String(port).trim()}`);
    });
  });
}

/** Blocks the event loop until the rest of the answer and the reset have arrived. */
function blockEventLoop(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 300);
}

async function fetchBody(
  address: string,
  onHead: () => void = () => undefined,
): Promise<ReadAnswer> {
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
  onHead();
  return readAnswer(result);
}

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

describe('an answer without a length', () => {
  it('is complete when the server closes its connection', async () => {
    const address = await serve((socket) => socket.end(`${HEAD}all of it`));
    expect(await fetchBody(address)).toEqual({ text: 'all of it', isWhole: true });
  });

  it('is incomplete when its last bytes and the reset are read at the same moment', async () => {
    const address = await serveInChildProcess();
    expect((await fetchBody(address, blockEventLoop)).isWhole).toBe(false);
  });

  it('is incomplete when its connection is reset', async () => {
    const address = await serve((socket) => {
      socket.write(`${HEAD}a part`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    expect((await fetchBody(address)).isWhole).toBe(false);
  });
});

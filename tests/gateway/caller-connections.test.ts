import { createServer, IncomingMessage, ServerResponse } from 'node:http';
import type { Server } from 'node:http';
import { connect, Socket } from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { createCallerConnections } from '../../src/app/gateway/caller-connections';
import type { CallerConnections } from '../../src/app/gateway/caller-connections';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';
/** Longer than a connection stays open without a request at a stop. */
const STILL_MS = 1_300;
/** More than a caller's side takes before it is read, and little enough for the kernel to take all at once. */
const LONG_BYTES = 300_000;
const MAX_LINGER_MS = 3_000;
const MALFORMED = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

let server: Server;
let connections: CallerConnections;
let responses: ServerResponse[];
let late: number;
let caller: Socket;
let received: string;
let isClosed: boolean;

beforeEach(async () => {
  connections = createCallerConnections();
  responses = [];
  late = 0;
  received = '';
  isClosed = false;
  server = createServer((req, res) => {
    if (connections.noteRequest(req, res)) responses.push(res);
    else late += 1;
  });
  server.on('connection', (socket) => {
    connections.noteConnection(socket);
  });
  server.on('clientError', (_, socket) => {
    if (socket instanceof Socket) connections.endWith(socket, MALFORMED);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
  caller.on('data', (chunk: Buffer) => (received += chunk.toString()));
  caller.on('error', () => undefined);
  caller.on('close', () => (isClosed = true));
});

afterEach(() => {
  caller.destroy();
  server.close();
});

async function until(check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setTimeout(resolve, 5));
}

async function send(text: string, expected: number): Promise<void> {
  caller.write(text);
  await until(() => responses.length === expected);
}

function answers(): string[] {
  return [...received.matchAll(/HTTP.1.1 (\d+)|Connection: (\S+)/g)].map(
    ([, status, connection]) => status ?? connection ?? '',
  );
}

// Guards against connections that close with one answer while others on it are outstanding.
describe('a connection with several requests at a stop', () => {
  it('closes with the last of the answers, which announces it', async () => {
    await send(REQUEST.repeat(3), 3);
    connections.beginStop();
    for (const res of responses) res.end('x');
    await until(() => isClosed);
    expect(answers()).toEqual(['200', 'keep-alive', '200', 'keep-alive', '200', 'close']);
  });

  // Guards against an answer that announces the close while finished ones behind it wait for their turn.
  it.each(['stop', 'close'])(
    'sends answers that were finished before earlier ones (%s)',
    async (how) => {
      await send(REQUEST.repeat(3), 3);
      const [first, second, third] = responses;
      third?.end('x');
      second?.end('x');
      if (how === 'stop') connections.beginStop();
      else if (first?.req.socket) connections.closeAfterAnswers(first.req.socket);
      first?.end('x');
      await until(() => isClosed);
      expect(answers().filter((text) => text === '200')).toHaveLength(3);
    },
  );

  // Guards against a connection that is closed unread, as its time passed while the process did not run.
  it('reads what arrived while the process stood still before it closes as idle', async () => {
    await send(REQUEST.repeat(2), 2);
    const [first, second] = responses;
    second?.end('x');
    connections.beginStop();
    first?.end('x');
    await until(() => answers().filter((text) => text === '200').length === 2);
    caller.write(REQUEST);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STILL_MS);
    await until(() => isClosed || responses.length === 3);
    responses[2]?.end('x');
    await until(() => isClosed);
    expect(answers().filter((text) => text === '200')).toHaveLength(3);
  });

  it('answers requests that are read after the stop began', async () => {
    await send(REQUEST, 1);
    connections.beginStop();
    await send(REQUEST.repeat(2), 3);
    for (const res of responses) res.end('x');
    await until(() => isClosed);
    expect(answers()).toEqual(['200', 'keep-alive', '200', 'keep-alive', '200', 'close']);
  });

  it('does not serve a request behind an answer that announced the end', async () => {
    await send(REQUEST, 1);
    connections.beginStop();
    responses[0]?.write('x');
    caller.write(REQUEST);
    await until(() => late === 1);
    responses[0]?.end('x');
    await until(() => isClosed);
    expect(answers()).toEqual(['200', 'close']);
  });

  it('answers a request on a connection that was promised to stay open', async () => {
    await send(REQUEST, 1);
    responses[0]?.write('x');
    connections.beginStop();
    responses[0]?.end('x');
    await until(() => connections.inFlight() === 0);
    await send(REQUEST, 2);
    responses[1]?.end('x');
    await until(() => isClosed);
    expect(answers()).toEqual(['200', 'keep-alive', '200', 'close']);
  });
});

/** Processor time for requests that are pipelined on some connections and then answered, milliseconds. */
function costMs(sockets: number, perSocket: number): number {
  const tracked = createCallerConnections();
  const begin = process.cpuUsage();
  for (let n = 0; n < sockets; n++) {
    const socket = new Socket();
    tracked.noteConnection(socket);
    const reqs = Array.from({ length: perSocket }, () => new IncomingMessage(socket));
    const all = reqs.map((req) => new ServerResponse(req));
    for (const res of all) tracked.noteRequest(res.req, res);
    tracked.beginStop();
    for (const res of all) res.emit('close');
    socket.destroy();
  }
  const { user, system } = process.cpuUsage(begin);
  return (user + system) / 1_000;
}

// Guards against one caller that holds all others, as each request costs more the more of its connection are unanswered.
it('costs no more for pipelined requests than for others', () => {
  costMs(20, 800);
  expect(costMs(1, 16_000)).toBeLessThan(4 * costMs(20, 800));
});

// Guards against idle connections that close although a request is about to arrive on them.
it('only connections without anything unanswered count as idle', async () => {
  await send(REQUEST, 1);
  connections.closeIdle();
  responses[0]?.end('x');
  await until(() => connections.inFlight() === 0);
  caller.write(REQUEST.slice(0, 8));
  await new Promise((resolve) => setTimeout(resolve, 50));
  connections.closeIdle();
  await send(REQUEST.slice(8), 2);
  responses[1]?.end('x');
  await until(() => connections.inFlight() === 0);
  connections.closeIdle();
  await until(() => isClosed);
  expect(answers().filter((one) => one === '200')).toHaveLength(2);
});

// Guards against an error response that is taken for the answer to the request before.
it('what is no request is refused once the requests before it are answered', async () => {
  await send(`${REQUEST}no request at all\r\n\r\n`, 1);
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(received).toBe('');
  responses[0]?.end('x');
  await until(() => isClosed);
  expect(answers()).toEqual(['200', 'keep-alive', '400', 'close']);
});

describe('a connection that closes with a long answer', () => {
  /** The caller sends something more once the daemon has closed its side, and reads then. */
  async function sendMoreAndRead(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, 100));
    caller.write(REQUEST);
    await new Promise((resolve) => setTimeout(resolve, 100));
    caller.resume();
    await until(() => isClosed);
  }

  /** The answer to a caller that reads nothing until it has sent something more. */
  async function readLate(body: Buffer, framing: Readonly<Record<string, string | number>>) {
    caller.pause();
    await send(REQUEST, 1);
    const [res] = responses;
    if (!res) throw new Error('no request');
    connections.closeAfterAnswers(res.req.socket);
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, framing).end(body);
    await sendMoreAndRead();
  }

  // Guards against an answer that is cut and looks whole: bytes that arrive after a close make the kernel drop what it has not delivered (MIXED, LOST).
  it.each([
    { what: 'with a length', framing: { 'Content-Length': LONG_BYTES } },
    { what: 'that ends with it', framing: {} },
  ])('delivers it whole although its caller sends another request: $what', async ({ framing }) => {
    await readLate(Buffer.alloc(LONG_BYTES, 'x'), framing);
    expect(received.split('\r\n\r\n')[1]).toHaveLength(LONG_BYTES);
    expect(answers()).toEqual(['200', 'close']);
  });

  it('delivers a long answer whole although its caller asked again before it read it', async () => {
    caller.pause();
    await send(REQUEST, 1);
    responses[0]
      ?.writeHead(200, { 'Content-Length': LONG_BYTES })
      .end(Buffer.alloc(LONG_BYTES, 'x'));
    await until(() => connections.inFlight() === 0);
    await send(REQUEST, 2);
    const [, last] = responses;
    if (!last) throw new Error('no request');
    connections.closeAfterAnswers(last.req.socket);
    last.end('y');
    await sendMoreAndRead();
    expect(received.split('\r\n\r\n')[1]?.replace(/[^x]/g, '')).toHaveLength(LONG_BYTES);
    expect(received.endsWith('y')).toBe(true);
  });

  // Guards against a request that is run and cannot be answered, as it crosses the close (LOST).
  it.each(['with the last answer', 'as idle'])('takes no further request: %s', async (how) => {
    caller.allowHalfOpen = true;
    await send(REQUEST, 1);
    const [res] = responses;
    if (!res) throw new Error('no request');
    const { socket } = res.req;
    if (how !== 'as idle') connections.closeAfterAnswers(socket);
    res.end(Buffer.alloc(LONG_BYTES, 'x'));
    await until(() => connections.inFlight() === 0);
    connections.closeIdle();
    caller.write(REQUEST);
    await until(() => late + responses.length === 2);
    expect(late).toBe(1);
  });

  // Guards against a daemon that reads for nothing, as much as a caller likes to send.
  it('is closed at once if its caller sends on and on', async () => {
    await send(REQUEST, 1);
    const [res] = responses;
    if (!res) throw new Error('no request');
    const { socket } = res.req;
    connections.closeAfterAnswers(socket);
    caller.pause();
    res.end(Buffer.alloc(LONG_BYTES, 'x'));
    const startedAt = performance.now();
    const sending = setInterval(() => caller.write(REQUEST.repeat(1_000)), 10);
    await until(() => socket.destroyed);
    clearInterval(sending);
    expect(performance.now() - startedAt).toBeLessThan(MAX_LINGER_MS / 3);
  });

  // Guards against connections that stay for as long as their callers like.
  it('is closed some time later if its caller neither reads nor closes', async () => {
    caller.pause();
    await send(REQUEST, 1);
    const [res] = responses;
    if (!res) throw new Error('no request');
    const { socket } = res.req;
    connections.closeAfterAnswers(socket);
    res.end(Buffer.alloc(LONG_BYTES, 'x'));
    const startedAt = performance.now();
    await until(() => socket.destroyed);
    expect(performance.now() - startedAt).toBeLessThan(MAX_LINGER_MS);
  });
});

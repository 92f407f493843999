/** Tests slow readers and the limits of the HTTP server for callers. */

import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { once } from 'node:events';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import type { MemberRecord } from '../stand-ins/engine/record';
import { callJson } from '../stand-ins/shared/client';
import { parseAddress } from '../src/utils/address';
import { until } from './support/processes';
import { CALLER_KEY, chat, documentFor, startSystem, submit, untilServing } from './support/system';
import type { DaemonProcess, System } from './support/system';

const MAX_CONNECTIONS = 30;
const MAX_BODY_BYTES = 20_000;
/** Far more tokens than the buffers of the two connections can hold. */
const LONG_STREAM = 'tokens=150000';
const DEADLINE_MS = 600_000;

let system: System;
let daemon: DaemonProcess;

beforeAll(async () => {
  system = await startSystem({
    daemons: 1,
    daemonArgs: [
      ...['--max-connections', String(MAX_CONNECTIONS)],
      ...['--max-body-bytes', String(MAX_BODY_BYTES), '--max-header-bytes', '4096'],
    ],
  });
  const [first] = system.daemons;
  if (first === undefined) throw new Error('the system started without a daemon');
  daemon = first;
  await submit(daemon, documentFor(system));
  await untilServing(system);
  await callJson({
    address: rank0Address(),
    method: 'POST',
    path: '/faults',
    body: { tokenMs: 0 },
  });
});

afterAll(() => system.stop());

function rank0Address(): string {
  return system.engines[0]?.members[0]?.address ?? '';
}

async function countEndedRuns(): Promise<number> {
  const { body } = await callJson({ address: rank0Address(), method: 'GET', path: '/record' });
  return (body as MemberRecord).runs.filter(({ end }) => end !== undefined).length;
}

function post(text: string, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`http://${daemon.callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${CALLER_KEY}`, ...headers },
    body: text,
  });
}

async function statusAndCode(res: Response): Promise<[number, string | undefined]> {
  const { error } = (await res.json()) as { error?: { code?: string } };
  return [res.status, error?.code];
}

/** Starts a long stream and leaves its response unread. */
function startLongStream(): Promise<IncomingMessage> {
  const { host, port } = parseAddress(daemon.callers);
  const headers = {
    authorization: `Bearer ${CALLER_KEY}`,
    'nutmegstack-deadline': String(Date.now() + DEADLINE_MS),
  };
  const messages = [{ role: 'user', content: LONG_STREAM }];
  return new Promise((resolve, reject) => {
    const path = '/v1/chat/completions';
    const req = request({ host, port, path, method: 'POST', headers, agent: false }, resolve);
    req.on('error', reject);
    req.end(JSON.stringify({ model: 'query', messages, stream: true }));
  });
}

/** Reads a response to its end: its length, and whether it ends with the end mark of a stream. */
async function readAll(res: IncomingMessage): Promise<{ bytes: number; whole: boolean }> {
  let bytes = 0;
  let tail = '';
  for await (const part of res as AsyncIterable<Buffer>) {
    bytes += part.byteLength;
    tail = (tail + part.toString('latin1')).slice(-32);
  }
  return { bytes, whole: tail.endsWith('data: [DONE]\n\n') };
}

describe('a caller that reads slowly', () => {
  it('delays only its own stream and gets all of it', async () => {
    const before = await countEndedRuns();
    const slow = await startLongStream();
    const fast = await readAll(await startLongStream());
    expect(fast.whole).toBe(true);
    for (let i = 0; i < 20; i += 1) expect((await chat(daemon, {})).status).toBe(200);
    // The slow stream hasn't ended at the engine: nothing on the path has buffered all of it.
    expect((await countEndedRuns()) - before).toBe(21);
    expect(await readAll(slow)).toEqual(fast);
  });
});

describe('limits', () => {
  it('refuse a body that is too large with 413', async () => {
    const messages = [{ role: 'user', content: 'x'.repeat(MAX_BODY_BYTES) }];
    const res = await post(JSON.stringify({ model: 'query', messages }));
    expect(await statusAndCode(res)).toEqual([413, 'body-too-large']);
    expect(res.headers.get('nutmegstack-outcome')).toBe('not-run');
  });

  it('refuse a header that is too large with 431', async () => {
    const res = await post('{}', { 'x-padding': 'x'.repeat(5000) });
    expect(res.status).toBe(431);
    await res.text();
  });

  it('refuse malformed JSON with 400', async () => {
    expect((await statusAndCode(await post('{"model":')))[0]).toBe(400);
  });

  it('close connections beyond the maximum', async () => {
    const { host, port } = parseAddress(daemon.callers);
    const sockets: Socket[] = [];
    let closedCount = 0;
    for (let i = 0; i < MAX_CONNECTIONS + 10; i += 1) {
      const socket = connect(port, host);
      socket.on('error', () => undefined);
      socket.on('close', () => (closedCount += 1));
      sockets.push(socket);
      await once(socket, 'connect');
    }
    await until(
      () => Promise.resolve(closedCount >= 10 ? true : undefined),
      'ten connections to be closed',
    );
    for (const socket of sockets) socket.destroy();
    const isServed = async () => {
      const res = await chat(daemon, {}).catch(() => undefined);
      return res?.status === 200 ? true : undefined;
    };
    expect(await until(isServed, 'callers to be served again')).toBe(true);
  });
});

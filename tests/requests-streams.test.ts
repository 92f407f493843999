/** Concurrent streams: backpressure of slow callers, draining, and late answers on reused connections. */

import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { once } from 'node:events';
import { Subject, firstValueFrom } from 'rxjs';
import { afterEach, describe, expect, it } from 'vitest';

import { chatBody, sendChat } from './support/requests-client';
import {
  END_MARK,
  answerNormally,
  createEngine,
  frame,
  startSse,
  completionBody,
} from './support/requests-engine';
import type { EngineCall, Script } from './support/requests-engine';
import { KEYS, createFixture, fakeGroups, testGroup } from './support/requests-fixture';

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

const FRAME = frame('x'.repeat(64 * 1024));
const FRAMES = 400;

/** Writes frames as fast as backpressure allows. */
async function flood({ res }: EngineCall, onWritten: (bytes: number) => void): Promise<void> {
  res.setMaxListeners(0);
  for (let i = 0; i < FRAMES; i += 1) {
    onWritten(FRAME.length);
    if (!res.write(FRAME)) await Promise.race([once(res, 'drain'), once(res, 'close')]);
  }
  res.end(frame('', 'stop') + END_MARK);
}

/** Requests a stream without reading it. */
function openStream(url: string): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const headers = { authorization: `Bearer ${KEYS.armor}` };
    const path = `${url}/v1/chat/completions`;
    const req = request(path, { method: 'POST', headers, agent: false }, resolve);
    req.on('error', reject);
    req.end(chatBody({ stream: true, user: 'slow' }));
  });
}

describe('streams', () => {
  it('a slow caller delays only its own stream and eventually receives all of it', async () => {
    let written = 0;
    const script: Script = async (call) => {
      if (call.body.user !== 'slow') return answerNormally(call);
      startSse(call);
      await flood(call, (bytes) => (written += bytes));
    };
    const engine = await createEngine(script);
    const groups = fakeGroups([testGroup('g0', engine.address)]);
    const fixture = await createFixture({ groups });
    cleanups.push(fixture.close, engine.close);

    const slow = await openStream(fixture.url);
    for (let i = 0; i < 20; i += 1) {
      expect((await sendChat(fixture.url, { stream: true })).isComplete).toBe(true);
    }
    const total = FRAME.length * FRAMES;
    expect(written).toBeLessThan(total / 2);
    let read = 0;
    slow.on('data', (chunk: Buffer) => (read += chunk.length));
    await once(slow, 'end');
    expect(read).toBeGreaterThan(total);
    expect(slow.complete).toBe(true);
  });

  it('finish before draining ends, while new requests are refused', async () => {
    const finish = new Subject<undefined>();
    const started = new Subject<undefined>();
    const engine = await createEngine(async (call) => {
      const awaited = firstValueFrom(finish);
      startSse(call);
      call.res.write(frame('hello '), () => {
        started.next(undefined);
      });
      await awaited;
      call.res.end(frame('world', 'stop') + END_MARK);
    });
    const groups = fakeGroups([testGroup('g0', engine.address)]);
    const { url, requests, close } = await createFixture({ groups });
    cleanups.push(close, engine.close);
    const firstFrameSent = firstValueFrom(started);
    const open = sendChat(url, { stream: true });
    await firstFrameSent;
    expect(requests.inFlight()).toBe(1);
    const drained = requests.drain();
    expect((await sendChat(url)).status).toBe(503);
    finish.next(undefined);
    const [response] = await Promise.all([open, drained]);
    expect(response).toMatchObject({ status: 200, isComplete: true });
    expect(response.text).toContain('[DONE]');
    expect(requests.inFlight()).toBe(0);
  });

  it('a late second answer on a reused connection is not taken as the next answer', async () => {
    const sockets = new Set<Socket>();
    const attempts: string[] = [];
    // Answers each request twice, so that the second copy arrives with the next request.
    const server = createServer((socket) => {
      sockets.add(socket);
      let text = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        text += chunk.toString();
        if (!text.includes('"messages"') || !text.endsWith('}')) return;
        const attempt = /nutmegstack-attempt: (\S+)/i.exec(text)?.[1] ?? '';
        const question = /"content":"([^"]*)"/.exec(text)?.[1] ?? '';
        text = '';
        attempts.push(attempt);
        const body = completionBody(question);
        const head = `HTTP/1.1 200 OK\r\nnutmegstack-group: g0\r\nnutmegstack-epoch: 1\r\n`;
        const tail = `nutmegstack-attempt: ${attempt}\r\ncontent-length: ${body.length}\r\n\r\n`;
        socket.write(head + tail + body);
        setTimeout(() => socket.write(head + tail + body), 5);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const groups = fakeGroups([testGroup('g0', `127.0.0.1:${port}`)]);
    const fixture = await createFixture({ groups });
    cleanups.push(fixture.close, () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    });
    for (let i = 0; i < 30; i += 1) {
      const content = `question ${i}`;
      const response = await sendChat(fixture.url, { messages: [{ role: 'user', content }] });
      if (response.status === 200) expect(response.text).toBe(completionBody(content));
      else expect(response.headers['nutmegstack-outcome']).toBe('unknown');
    }
    expect(attempts.length).toBeGreaterThanOrEqual(30);
  });
});

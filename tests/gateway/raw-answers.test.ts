import { afterAll, beforeAll, describe, expect, it, vi } from 'vitest';

import { HEADERS } from '../../platform/names';
import { describeRoute } from '../../stand-ins/users-platform/document';
import { LLM_SERVICE, PLAIN_SERVICE } from '../../stand-ins/users-platform/start';
import type { RawAnswer } from '../../stand-ins/users-platform/statements';
import { pause } from '../../src/utils/pause';
import { callRaw, looksWhole, rawRequest, readChunks } from '../support/raw-caller';
import type { RawReply, RawRequest } from '../support/raw-caller';
import { FIXTURE_KEY, startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';
import { SMALL } from './support';

const FIRST_PORT = 31_400;
/** A request whose answer is lost is answered long before its time-out. */
const LOST_MS = 2_000;
/** Time for a daemon to pass an event on, and to be ready again after a restart. */
const PASSED_ON_MS = 200;
const READY_MS = 10_000;
const STREAM = { maxGapMs: 250, maxAttempts: 1 };
const ROUTES = [
  describeRoute('safe', 'safe', PLAIN_SERVICE, { maxAttempts: 1 }),
  describeRoute('unsafe', 'unsafe', PLAIN_SERVICE, { maxAttempts: 1 }),
  describeRoute('once', 'streaming', LLM_SERVICE, STREAM),
  describeRoute('resumable', 'streaming', LLM_SERVICE, { ...STREAM, resumable: true }),
];
const SIGNED = `${HEADERS.signature}: s\r\n`;
const HEAD = `HTTP/1.1 200 OK\r\n${SIGNED}`;
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({
    ...{ firstPort: FIRST_PORT, daemons: 1, plainServers: 2, routes: ROUTES },
  });
});

afterAll(() => {
  fixture.close();
});

/** The response to a request whose server answers with these bytes. */
function callFor(
  path: string,
  answer: RawAnswer,
  req: Partial<RawRequest> = {},
): Promise<RawReply> {
  fixture.platform.statements.raw.set(path, [answer]);
  return callRaw(fixture.address(0), { path, key: FIXTURE_KEY, model: SMALL, ...req });
}

const framingHeaders = ({ headers }: RawReply): (string | undefined)[] =>
  ['content-length', 'transfer-encoding', 'connection'].map((name) => headers.get(name));

describe('an answer that ends with its connection', () => {
  // Guards against the end of the daemon's process as the end of an answer, and against a length that no server gave (MIXED).
  it.each(['/safe/cut', '/unsafe/cut'])(
    'is passed on in chunks once its server has ended it: %s',
    async (path) => {
      for (const status of ['200 OK', '500 Oops'])
        for (const body of ['cut', 'whole']) {
          const bytes = `HTTP/1.1 ${status}\r\n${SIGNED}\r\n${body}`;
          const reply = await callFor(path, { bytes, end: 'close' }, { isLast: true });
          expect([reply.status, readChunks(reply.body)]).toEqual([parseInt(status), body]);
          expect(framingHeaders(reply)).toEqual([undefined, 'chunked', 'close']);
        }
    },
  );

  // Guards against an answer that is cut behind its head, and gets an end of the daemon's own (MIXED, ORDER).
  it.each(['/safe/cut', '/unsafe/cut', '/once/cut', '/resumable/cut'])(
    'is lost if it ends with its head: %s',
    async (path) => {
      const reply = await callFor(path, { bytes: `${HEAD}\r\n`, end: 'close' }, { isLast: true });
      expect(reply.status).toBe(502);
    },
  );

  it('is passed on as a failure although it ends with its head', async () => {
    const bytes = `HTTP/1.1 500 Oops\r\n${SIGNED}\r\n`;
    const reply = await callFor('/unsafe/cut', { bytes, end: 'close' }, { isLast: true });
    expect([reply.status, readChunks(reply.body)]).toEqual([500, '']);
  });

  it.each(['/safe/cut', '/unsafe/cut'])('is lost if its connection is reset: %s', async (path) => {
    const answer: RawAnswer = { bytes: `${HEAD}\r\ncut`, end: 'reset' };
    const reply = await callFor(path, answer, { isLast: true });
    expect(reply.status).toBe(502);
  });

  // Guards against requests that are read, perhaps run, and not answered (LOST).
  it('does not cost the answers to requests behind it on the same connection', async () => {
    const behind = rawRequest({
      path: '/unsafe/behind',
      key: FIXTURE_KEY,
      model: SMALL,
      isLast: true,
    });
    const answer: RawAnswer = { bytes: `${HEAD}\r\ncut`, end: 'close' };
    const reply = await callFor('/unsafe/cut', answer, { behind });
    expect(reply.status).toBe(200);
    expect(reply.body.startsWith('3\r\ncut\r\n0\r\n\r\nHTTP/1.1 200 OK')).toBe(true);
  });
});

describe('an answer whose head cannot be sent on', () => {
  // Guards against what Node throws as it writes the head: it reaches nobody, or ends the daemon with all that it holds (LOST).
  it.each([
    ['/unsafe/cut', 'a header name with a space', `${HEAD}X-A b: c\r\n`],
    ['/once/cut', 'a header name with a space', `${HEAD}X-A b: c\r\n`],
    ['/unsafe/cut', 'a status of 000', `HTTP/1.1 000 OK\r\n${SIGNED}`],
    ['/once/cut', 'a status of 000', `HTTP/1.1 000 OK\r\n${SIGNED}`],
    ['/unsafe/cut', 'a status of 600', `HTTP/1.1 600 OK\r\n${SIGNED}`],
    ['/once/cut', 'a status of 999', `HTTP/1.1 999 OK\r\n${SIGNED}`],
  ])('is lost at once: %s, %s', async (path, _, head) => {
    for (const body of ['', EVENTS.slice(0, 15)]) {
      const bytes = `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
      const sentAt = performance.now();
      const reply = await callFor(path, { bytes, end: 'close' }, { isLast: true });
      expect(reply.status).toBe(502);
      expect(performance.now() - sentAt).toBeLessThan(LOST_MS);
      expect(reply.body).not.toContain('unexpected');
    }
  });
});

describe('an answer without a body', () => {
  // Guards against a length of the daemon's own, which says that the server's answer has an empty body.
  it.each([
    ['HEAD', '200 OK\r\nContent-Length: 5'],
    ['HEAD', '200 OK'],
    ['POST', '204 No Content'],
    ['POST', '304 Not Modified\r\nContent-Length: 5'],
  ])('has no length of the daemon: %s, %s', async (method, head) => {
    const bytes = `HTTP/1.1 ${head}\r\n${SIGNED}\r\n`;
    const reply = await callFor('/unsafe/cut', { bytes, end: 'close' }, { method, isLast: true });
    expect([reply.status, reply.body]).toEqual([parseInt(head), '']);
    expect(framingHeaders(reply)).toEqual([undefined, undefined, 'close']);
  });
});

describe('a stream that ends with its connection', () => {
  const streams = ['/once/cut', '/resumable/cut'];

  // Guards against a last chunk before the server has ended the stream, which makes a cut one look whole (ORDER).
  it.each(streams)('is passed on in chunks until its server ends it: %s', async (path) => {
    for (const body of [EVENTS.slice(0, 15), EVENTS]) {
      const answer: RawAnswer = { bytes: `${HEAD}\r\n${body}`, end: 'close' };
      const reply = await callFor(path, answer, { isLast: true });
      expect([reply.status, readChunks(reply.body)]).toEqual([200, body]);
      expect(framingHeaders(reply)).toEqual([undefined, 'chunked', 'close']);
    }
  });

  it.each(['reset', 'close'] as const)('is cut if its server cuts an event (%s)', async (end) => {
    for (const path of streams) {
      const bytes = `${HEAD}\r\n${EVENTS.slice(0, end === 'reset' ? 15 : 20)}`;
      const reply = await callFor(path, { bytes, end }, { isLast: true });
      expect([reply.status, looksWhole(reply)]).toEqual([200, false]);
      expect(reply.body).toContain(EVENTS.slice(0, 15));
    }
  });

  // A caller of HTTP/1.0 reads no chunks: it can be told of a cut by a reset alone.
  it.each(streams)('is reset over HTTP/1.0 if its connection is reset: %s', async (path) => {
    const body = EVENTS.slice(0, 15);
    const answer: RawAnswer = { bytes: `${HEAD}\r\n${body}`, end: 'reset' };
    const reply = await callFor(path, answer, { version: '1.0' });
    expect([reply.status, reply.body, reply.end]).toEqual([200, body, 'reset']);
  });

  it('does not cost the answers to requests behind it on the same connection', async () => {
    const behind = rawRequest({ path: '/unsafe/x', key: FIXTURE_KEY, model: SMALL, isLast: true });
    const answer: RawAnswer = { bytes: `${HEAD}\r\n${EVENTS}`, end: 'close' };
    const reply = await callFor('/once/cut', answer, { behind });
    expect(reply.status).toBe(200);
    expect(reply.body).toMatch(/\r\n0\r\n\r\nHTTP\/1.1 200 OK/);
  });

  // Guards against the orderly close of a killed process's connections, which looked like the end of the stream (MIXED).
  it.each(streams)('does not look whole if the daemon is killed: %s', async (path) => {
    const answer: RawAnswer = { bytes: `${HEAD}\r\n${EVENTS.slice(0, 15)}`, end: 'none' };
    const reply = callFor(path, answer);
    await vi.waitFor(() => {
      expect(fixture.platform.statements.raw.get(path)).toEqual([]);
    });
    await pause(PASSED_ON_MS);
    fixture.restart(0);
    const cut = await reply;
    expect([cut.status, looksWhole(cut)]).toEqual([200, false]);
    expect(cut.body).toContain(EVENTS.slice(0, 15));
    await vi.waitFor(async () => {
      expect(await fixture.isReady(0)).toBe(true);
    }, READY_MS);
  });
});

describe('a stream that is broken off', () => {
  // Guards against a partial answer that looks whole to callers who take the end of the connection for its end (ORDER).
  it.each(['1.0', '1.1'] as const)(
    'does not end as a whole one does, over HTTP/%s',
    async (version) => {
      const bytes = `${HEAD}Transfer-Encoding: chunked\r\n\r\nf\r\n${EVENTS.slice(0, 15)}\r\n`;
      const reply = await callFor('/once/cut', { bytes, end: 'close' }, { version });
      expect(reply.status).toBe(200);
      if (reply.headers.get('transfer-encoding') === 'chunked')
        expect(reply.body.endsWith('0\r\n\r\n')).toBe(false);
      else expect(reply.end).toBe('reset');
    },
  );
});

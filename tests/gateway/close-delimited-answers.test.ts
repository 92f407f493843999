import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { HEADERS } from '../../platform/names';
import { describeRoute } from '../../stand-ins/users-platform/document';
import { LLM_SERVICE, PLAIN_SERVICE } from '../../stand-ins/users-platform/start';
import type { RawAnswer } from '../../stand-ins/users-platform/statements';
import { callRaw } from '../support/raw-caller';
import type { RawReply, RawRequest } from '../support/raw-caller';
import { FIXTURE_KEY, startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';
import { SMALL } from './support';

const FIRST_PORT = 31_400;
const STREAM = { maxGapMs: 250, maxAttempts: 1 };
const ROUTES = [
  describeRoute('safe', 'safe', PLAIN_SERVICE, { maxAttempts: 1 }),
  describeRoute('unsafe', 'unsafe', PLAIN_SERVICE, { maxAttempts: 1 }),
  describeRoute('once', 'streaming', LLM_SERVICE, STREAM),
  describeRoute('resumable', 'streaming', LLM_SERVICE, { ...STREAM, resumable: true }),
];
const HEAD = `HTTP/1.1 200 OK\r\n${HEADERS.signature}: s\r\n`;
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

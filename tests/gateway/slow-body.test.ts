import { connect } from 'node:net';
import { text } from 'node:stream/consumers';

import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { HEADERS } from '../../platform/names';
import { DEFAULT_ROUTES } from '../../stand-ins/users-platform/document';
import { FIXTURE_KEY, startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';
import { SMALL } from './support';

const FIRST_PORT = 25_300;
const TIMEOUT_MS = 1_000;
/** A request has its final answer this long after its route's time-out. */
const ANSWER_SLACK_MS = 500;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({
    ...{ firstPort: FIRST_PORT, daemons: 1, plainServers: 2 },
    routes: DEFAULT_ROUTES.map((route) => ({ ...route, timeoutMs: TIMEOUT_MS })),
  });
});

afterAll(() => {
  fixture.close();
});

const FRAMINGS = {
  'with a length': ['Content-Length: 10', 'ev'],
  chunked: ['Transfer-Encoding: chunked', '5\r\neve'],
} as const;

/** Sends a request without the rest of its body; resolves with what is answered. */
async function sendPart(
  path: string,
  framing: keyof typeof FRAMINGS,
): Promise<{ readonly reply: string; readonly ms: number }> {
  const [header, part] = FRAMINGS[framing];
  const [host = '', port] = fixture.address(0).split(':');
  const sentAt = performance.now();
  const socket = connect(Number(port), host);
  const head = [
    `POST ${path} HTTP/1.1`,
    'Host: a.example',
    `Authorization: Bearer ${FIXTURE_KEY}`,
    `${HEADERS.requestId}: part-${path}-${framing}`,
    `${HEADERS.waitMs}: 8000`,
    `${HEADERS.model}: ${SMALL}`,
    header,
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n${part}`);
  const reply = await text(socket);
  return { reply, ms: performance.now() - sentAt };
}

describe('a request whose body does not arrive', () => {
  // Guards against a wait for the rest of a body that no time-out ends.
  it.each([
    { path: '/safe/x', framing: 'with a length' },
    { path: '/unsafe/x', framing: 'chunked' },
    { path: '/stream/x', framing: 'with a length' },
  ] as const)('is answered at its time-out ($path, $framing)', async ({ path, framing }) => {
    const { reply, ms } = await sendPart(path, framing);
    expect(reply).toMatch(/^HTTP\/1.1 408 /);
    expect(ms).toBeLessThanOrEqual(TIMEOUT_MS + ANSWER_SLACK_MS);
    expect(fixture.platform.runs).toEqual([]);
  });
});

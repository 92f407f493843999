import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { pause } from '../../src/utils/pause';
import { startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';

const FIRST_PORT = 25_500;
const DAEMONS = 4;
/** By then every daemon knows that neither it nor a peer reaches a server. */
const KNOWN_MS = 2_000;
const AT_ONCE_MS = 300;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({
    ...{ firstPort: FIRST_PORT, daemons: DAEMONS, plainServers: 2, isCuttable: true },
    waitMs: 6_000,
    ...(process.env.LOGS !== undefined && { logs: process.env.LOGS }),
  });
});

afterAll(() => {
  fixture.close();
});

describe('daemons of which none reaches a server', () => {
  // Guards against streams that wait for a slot until their time-out though none can become free.
  it.each(['/safe/x', '/stream/x'])('refuse requests at once (%s)', async (path) => {
    for (let n = 0; n < DAEMONS; n++) fixture.cutOff(n, 'reset');
    await pause(KNOWN_MS);
    const sent = await fixture.sendRequests(path, 5, 2_000);
    for (let n = 0; n < DAEMONS; n++) fixture.cutOff(n, undefined);
    const times = sent.map(({ sentAt, answeredAt }) => Math.round(answeredAt - sentAt));
    expect(Math.max(...times), times.join(' ')).toBeLessThanOrEqual(AT_ONCE_MS);
    expect(sent.map(({ reply }) => reply?.status)).toEqual(sent.map(() => 503));
    await pause(KNOWN_MS);
  });
});

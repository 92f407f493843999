import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { DEFAULT_ROUTES } from '../../stand-ins/users-platform/document';
import { pause } from '../../src/utils/pause';
import { startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';

const FIRST_PORT = 25_100;
const TIMEOUT_MS = 1_000;
/** The daemon stands still for nearly as long as the time-out. */
const STILL_MS = 900;
/** A request has its final answer this long after its route's time-out. */
const ANSWER_SLACK_MS = 500;
const WAIT_MS = 6_000;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({
    ...{ firstPort: FIRST_PORT, daemons: 1, plainServers: 2, waitMs: WAIT_MS },
    routes: DEFAULT_ROUTES.map((route) => ({ ...route, timeoutMs: TIMEOUT_MS })),
  });
});

afterAll(() => {
  fixture.close();
});

describe('a request that arrives while the daemon stands still', () => {
  // Guards against time-outs that count from the moment at which the daemon got round to reading.
  it.each(['/safe/x', '/unsafe/x', '/stream/x'])('keeps its time-out (%s)', async (path) => {
    const goOn = fixture.platform.pauses.begin(fixture.platform.serversOf({}));
    fixture.signal(0, 'SIGSTOP');
    await pause(50);
    const sending = fixture.sendRequests(path, 20, 100);
    await pause(STILL_MS);
    fixture.signal(0, 'SIGCONT');
    const sent = await sending;
    goOn();
    const times = sent.map(({ sentAt, answeredAt }) => Math.round(answeredAt - sentAt));
    expect(Math.max(...times), times.join(' ')).toBeLessThanOrEqual(TIMEOUT_MS + ANSWER_SLACK_MS);
    expect(sent.every(({ reply }) => reply !== undefined)).toBe(true);
  });
});

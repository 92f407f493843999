import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import {
  MAX_SENDS_AFTER_CRASHES,
  refusedFrom,
  sendsAfterCrashes,
  SETTLE_MS,
} from '../support/server-rules';
import { servedShare, startFixture } from './gateway-fixture';
import type { GatewayFixture, SentRequest } from './gateway-fixture';

const FIRST_PORT = 26_100;
const DAEMONS = 3;
const SENDING_MS = 20_000;
/** Requests a second and daemon that crash no server. */
const OTHERS_PER_S = 10;
/** Each fatal body is sent once a second, at another daemon each time. */
const FATAL_BODIES = ['events=9&crash=a', 'events=9&crash=b'];
const FATAL_PER_S = FATAL_BODIES.length / DAEMONS;
/** For other requests: more than this share is served once the fatal ones are refused. */
const MIN_SERVED = 0.95;
/** Servers that one fatal request may end before all daemons refuse it. */
const MAX_CRASHES = 4;
const SOON_MS = 500;
/** Final, or not run and to be sent again later. */
const REFUSALS = [400, 503];

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await startFixture({
    firstPort: FIRST_PORT,
    daemons: DAEMONS,
    plainServers: 6,
    domains: [11, 11, 11, 11],
  });
});

afterEach(() => {
  fixture.close();
});

function fatalBody(n: number): string {
  return FATAL_BODIES[n % FATAL_BODIES.length] ?? '';
}

function crashTimes(body: string): number[] {
  return fixture.platform.crashes.filter((one) => one.body === body).map(({ at }) => at);
}

/** Arrivals of the body at servers later than the platform allows. */
function lateArrivals(body: string, sent: readonly SentRequest[]): number {
  const { statements } = fixture.platform;
  const ids = new Set(sent.filter((one) => one.body === body).map(({ requestId }) => requestId));
  return sendsAfterCrashes(
    crashTimes(body),
    statements.arrivals.filter(({ requestId }) => ids.has(requestId)).map(({ at }) => at),
  );
}

function hasArrived(requestId: string): boolean {
  return fixture.platform.statements.arrivals.some((one) => one.requestId === requestId);
}

describe('a request that crashes each server that runs it', () => {
  // Guards against a request that is forgotten with each attempt of its caller and ends server after server.
  it.each([
    { what: 'a stream', path: '/stream/x' },
    { what: 'a safe call', path: '/safe/x' },
  ])('is refused by all daemons once it has crashed three: $what', async ({ path }) => {
    const [others, fatal] = await Promise.all([
      fixture.sendRequests(path, OTHERS_PER_S, SENDING_MS, (n) => `events=3&of=${n}`),
      fixture.sendRequests(path, FATAL_PER_S, SENDING_MS, fatalBody),
    ]);
    for (const body of FATAL_BODIES) {
      expect(lateArrivals(body, fatal)).toBeLessThanOrEqual(MAX_SENDS_AFTER_CRASHES);
      expect(crashTimes(body).length).toBeGreaterThan(0);
      expect(crashTimes(body).length).toBeLessThanOrEqual(MAX_CRASHES);
      const refused = fatal.filter(
        (one) => one.body === body && one.sentAt > refusedFrom(crashTimes(body)),
      );
      // Of those that reach a server all the same, `lateArrivals` allows a few: a trial ends its server.
      const notRun = refused.filter(({ requestId }) => !hasArrived(requestId));
      expect(refused.length - notRun.length).toBeLessThanOrEqual(MAX_SENDS_AFTER_CRASHES);
      for (const { sentAt, answeredAt, reply } of notRun) {
        expect(REFUSALS).toContain(reply?.status);
        expect(answeredAt - sentAt).toBeLessThan(SOON_MS);
      }
    }
    const lastCrashAt = Math.max(...FATAL_BODIES.flatMap(crashTimes));
    const undisturbed = others.filter(({ sentAt }) => sentAt > lastCrashAt + SETTLE_MS);
    expect(undisturbed.length).toBeGreaterThan(0);
    expect(servedShare(undisturbed)).toBeGreaterThan(MIN_SERVED);
  });
});

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import {
  CRASHES_TO_RECOGNISE_PART,
  MAX_SENDS_AFTER_CRASHES,
  MIN_SHARE_OF_USUAL,
  refusedFrom,
  sendsAfterCrashes,
  SERVED_AGAIN_MS,
  SETTLE_MS,
} from '../support/server-rules';
import { servedShare, startFixture } from './gateway-fixture';
import type { GatewayFixture, SentRequest } from './gateway-fixture';

const FIRST_PORT = 26_400;
const DAEMONS = 3;
const PATH = '/stream/x';
const USUAL_MS = 2_000;
const SENDING_MS = 15_000;
/** Requests a second and daemon that crash no server; every other one shares parts with the fatal ones. */
const OTHERS_PER_S = 10;
const FATAL_PER_S = 0.9;
const FATAL_PART = 'crash1:40';
/** Fewer requests than this are no measure of how many are served. */
const MIN_REQUESTS = 20;
const SOON_MS = 500;
/** Final, or not run and to be sent again later. */
const REFUSALS = [400, 503];

let fixture: GatewayFixture;

beforeEach(async () => {
  fixture = await startFixture({
    firstPort: FIRST_PORT,
    daemons: DAEMONS,
    plainServers: 3,
    domains: [11, 11, 11, 11],
  });
});

afterEach(() => {
  fixture.close();
});

function sendOthers(ms: number): Promise<readonly SentRequest[]> {
  return fixture.sendRequests(
    PATH,
    OTHERS_PER_S,
    ms,
    () => 'events=10',
    (n) => (n % 2 === 0 ? `shared1:100,shared2:50,own${n}:10` : `apart${n % 20}:100,own${n}:10`),
  );
}

/** Prompts of the fatal requests: the fatal part stands at `place` among the parts that others share. */
function fatalParts(place: number, n: number): string {
  const shared = ['shared1:100', 'shared2:50'];
  return [...shared.slice(0, place), FATAL_PART, ...shared.slice(place), `fatal${n}:10`].join();
}

describe('a part of prompts that crashes each server that answers them', () => {
  // Guards against requests that are no two alike, and that end server after server by a part they have in common.
  it.each([{ place: 0 }, { place: 1 }, { place: 2 }])(
    'is recognised after five servers, and spares requests that share other parts (place $place)',
    async ({ place }) => {
      const usual = servedShare(await sendOthers(USUAL_MS));
      const [others, fatal] = await Promise.all([
        sendOthers(SENDING_MS),
        fixture.sendRequests(
          PATH,
          FATAL_PER_S,
          SENDING_MS,
          (n) => `events=30&n=${n}`,
          (n) => fatalParts(place, n),
        ),
      ]);
      const { crashes, statements } = fixture.platform;
      const ids = new Set(fatal.map(({ requestId }) => requestId));
      const arrivals = statements.arrivals.filter(({ requestId }) => ids.has(requestId));
      const crashedAt = crashes.map(({ at }) => at).sort((a, b) => a - b);
      expect(crashedAt.length).toBeGreaterThan(0);
      const late = sendsAfterCrashes(
        crashedAt,
        arrivals.map(({ at }) => at),
        CRASHES_TO_RECOGNISE_PART,
      );
      expect(late, `${crashedAt.length} servers ended`).toBeLessThanOrEqual(
        MAX_SENDS_AFTER_CRASHES,
      );

      const lastAllowedAt = Math.min(
        crashedAt.at(-1) ?? 0,
        refusedFrom(crashedAt, CRASHES_TO_RECOGNISE_PART) - SETTLE_MS,
      );
      const settled = others.filter(({ sentAt }) => sentAt > lastAllowedAt + SERVED_AGAIN_MS);
      for (const first of ['shared1', 'apart']) {
        const sent = settled.filter(({ parts }) => parts.startsWith(first));
        expect(sent.length).toBeGreaterThanOrEqual(MIN_REQUESTS);
        expect(servedShare(sent), first).toBeGreaterThanOrEqual(MIN_SHARE_OF_USUAL * usual);
      }

      const refused = fatal.filter(
        ({ sentAt, requestId }) =>
          sentAt > lastAllowedAt + SETTLE_MS &&
          !arrivals.some((one) => one.requestId === requestId),
      );
      expect(refused.length).toBeGreaterThan(0);
      for (const { sentAt, answeredAt, reply } of refused) {
        expect(REFUSALS).toContain(reply?.status);
        expect(answeredAt - sentAt).toBeLessThan(SOON_MS);
      }
    },
  );
});

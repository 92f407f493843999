import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { HEADERS } from '../../platform/names';
import { brandAs } from '../../src/core/ids';
import type { ServerName } from '../../src/core/ids';
import { allowedBy, mostInSpan, SETTLE_MS } from '../support/server-rules';
import { SMALL } from './support';
import { startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';

const FIRST_PORT = 25_000;
const DAEMONS = 5;
const LIMIT_PER_S = 1.6;
const ASKING_MS = 12_000;
/** Upper bound for a refusal without waiting. */
const SOON_MS = 500;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({ firstPort: FIRST_PORT, daemons: DAEMONS, plainServers: 3 });
});

afterAll(() => {
  fixture.close();
});

/** Arrivals at the server after the settling time, in milliseconds since `from`. */
function settledArrivals(server: ServerName, from: number): number[] {
  const all = fixture.platform.statements.arrivals.filter((one) => one.server === server);
  return all.map(({ at }) => at - from).filter((at) => at >= SETTLE_MS);
}

function announce(servers: readonly ServerName[], headers: Readonly<Record<string, string>>): void {
  for (const server of servers) fixture.platform.statements.responseHeaders.set(server, headers);
}

/** Checks each server's arrivals against the limit and returns the total count. */
function countWithinLimit(servers: readonly ServerName[], from: number): number {
  const times = servers.map((server) => settledArrivals(server, from));
  for (const ofServer of times)
    expect(mostInSpan(ofServer)).toBeLessThanOrEqual(allowedBy(LIMIT_PER_S));
  return times.flat().length;
}

/**
 * A server that receives nothing is within every limit, so at least half of the allowed total must
 * be used.
 */
function minExpected(servers: number): number {
  return (servers * LIMIT_PER_S * (ASKING_MS - SETTLE_MS)) / 2_000;
}

describe('servers that name a rate limit', () => {
  // Guards against daemons that forward answers with a limit but keep sending as before.
  it('receive no more than that from all daemons together, as head of a group', async () => {
    const heads = fixture.heads(SMALL).slice(0, 1);
    announce(heads, { [HEADERS.limit]: String(LIMIT_PER_S) });
    const from = performance.now();
    const sent = await fixture.sendRequests('/stream/x', 6, ASKING_MS);
    announce(heads, {});
    expect(countWithinLimit(heads, from)).toBeGreaterThan(minExpected(1));
    // The other group has capacity for all requests.
    expect(sent.filter(({ reply }) => reply?.status !== 200)).toEqual([]);
  });

  // Guards against the same for a plain service, and against callers kept waiting in vain.
  it('receive no more than that as servers of a plain service, and other requests are refused at once', async () => {
    const servers = [0, 1, 2].map((n) => brandAs<ServerName>(`plain-${n}`));
    announce(servers, { [HEADERS.limit]: String(LIMIT_PER_S) });
    const from = performance.now();
    const sent = await fixture.sendRequests('/unsafe/x', 6, ASKING_MS);
    announce(servers, {});
    expect(countWithinLimit(servers, from)).toBeGreaterThan(minExpected(3));
    const ran = new Set(fixture.platform.runs.map(({ requestId }) => requestId));
    const refused = sent.filter(({ reply }) => reply?.status === 503);
    expect(refused.length).toBeGreaterThan(0);
    for (const { requestId, sentAt, answeredAt, reply } of refused) {
      expect(ran.has(requestId)).toBe(false);
      expect(answeredAt - sentAt).toBeLessThan(SOON_MS);
      expect(Number(reply?.headers['retry-after'])).toBeGreaterThan(0);
    }
  });
});

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
/** A refusal that waits for nothing takes no longer. */
const SOON_MS = 500;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({ firstPort: FIRST_PORT, daemons: DAEMONS, plainServers: 3 });
});

afterAll(() => {
  fixture.close();
});

/** Arrivals at the server in ms since `from`, from the end of the time to settle on. */
function settledArrivals(server: ServerName, from: number): number[] {
  const all = fixture.platform.statements.arrivals.filter((one) => one.server === server);
  return all.map(({ at }) => at - from).filter((at) => at >= SETTLE_MS);
}

function says(servers: readonly ServerName[], headers: Readonly<Record<string, string>>): void {
  for (const server of servers) fixture.platform.statements.says.set(server, headers);
}

/** Requests at each of the servers, held against the limit, and the number of all. */
function countKept(servers: readonly ServerName[], from: number): number {
  const times = servers.map((server) => settledArrivals(server, from));
  for (const ofServer of times)
    expect(mostInSpan(ofServer)).toBeLessThanOrEqual(allowedBy(LIMIT_PER_S));
  return times.flat().length;
}

/** A server that gets nothing keeps every limit: half of what all take is to be used. */
function leastUsed(servers: number): number {
  return (servers * LIMIT_PER_S * (ASKING_MS - SETTLE_MS)) / 2_000;
}

describe('servers that name how many requests a second they take', () => {
  // Guards against each daemon passing on answers with a limit and sending as before.
  it('get no more than that from all daemons together, as the head of a group', async () => {
    const heads = fixture.heads(SMALL).slice(0, 1);
    says(heads, { [HEADERS.limit]: String(LIMIT_PER_S) });
    const from = performance.now();
    const asked = await fixture.sendRequests('/stream/x', 6, ASKING_MS);
    says(heads, {});
    expect(countKept(heads, from)).toBeGreaterThan(leastUsed(1));
    // The other group has room for all.
    expect(asked.filter(({ reply }) => reply?.status !== 200)).toEqual([]);
  });

  // Guards against the same at servers of a plain service, and against callers that wait for what can't be.
  it('get no more than that as all servers of a plain service, and the rest is refused at once', async () => {
    const servers = [0, 1, 2].map((n) => brandAs<ServerName>(`plain-${n}`));
    says(servers, { [HEADERS.limit]: String(LIMIT_PER_S) });
    const from = performance.now();
    const asked = await fixture.sendRequests('/unsafe/x', 6, ASKING_MS);
    says(servers, {});
    expect(countKept(servers, from)).toBeGreaterThan(leastUsed(3));
    const ran = new Set(fixture.platform.runs.map(({ requestId }) => requestId));
    const refused = asked.filter(({ reply }) => reply?.status === 503);
    expect(refused.length).toBeGreaterThan(0);
    for (const { requestId, sentAt, answeredAt, reply } of refused) {
      expect(ran.has(requestId)).toBe(false);
      expect(answeredAt - sentAt).toBeLessThan(SOON_MS);
      expect(Number(reply?.headers['retry-after'])).toBeGreaterThan(0);
    }
  });
});

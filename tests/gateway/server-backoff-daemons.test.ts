import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { brandAs } from '../../src/core/ids';
import type { ServerName } from '../../src/core/ids';
import { startFixture } from './gateway-fixture';
import type { SentRequest, GatewayFixture } from './gateway-fixture';
import { MOST_IN_REST, mostInRest } from '../support/server-rules';
import { SMALL } from './support';

const FIRST_PORT = 25_300;
const DAEMONS = 3;
const BACKOFF_S = 3;
const ASKING_MS = 7_000;
const SOON_MS = 500;
/** By then each daemon has sent to all of the servers. */
const KNOWN_MS = 1_000;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({ firstPort: FIRST_PORT, daemons: DAEMONS, plainServers: 3 });
});

afterAll(() => {
  fixture.close();
});

function plainServers(): ServerName[] {
  return [0, 1, 2].map((n) => brandAs<ServerName>(`plain-${n}`));
}

function retryAfterOf(sent: SentRequest | undefined): number {
  return Number(sent?.reply?.headers['retry-after']);
}

/** Sends requests while the servers refuse every one with a Retry-After. */
async function sendWhileShedding(
  servers: readonly ServerName[],
  path: string,
  perS: number,
): Promise<readonly SentRequest[]> {
  const { responseHeaders: says, shedding } = fixture.platform.statements;
  for (const server of servers) {
    says.set(server, { 'Retry-After': String(BACKOFF_S) });
    shedding.add(server);
  }
  const sent = await fixture.sendRequests(path, perS, ASKING_MS);
  for (const server of servers) {
    says.delete(server);
    shedding.delete(server);
  }
  return sent;
}

/** For each daemon, the most requests that reached the server within one requested backoff. */
function maxDuringBackoff(server: ServerName, sent: readonly SentRequest[]): number[] {
  const daemonOf = new Map(sent.map(({ requestId, daemon }) => [requestId, daemon]));
  const arrivals = fixture.platform.statements.arrivals.filter((one) => one.server === server);
  return Array.from({ length: DAEMONS }, (_, daemon) => {
    const times = arrivals.flatMap(({ requestId, at }) =>
      daemonOf.get(requestId) === daemon ? [at] : [],
    );
    return mostInRest(times, BACKOFF_S);
  });
}

describe('a server that refuses a daemon with a Retry-After', () => {
  // Guards against a Retry-After that counts as one failure but does not affect later requests.
  it.each([
    { what: 'a server of a plain service', path: '/safe/x' },
    { what: 'the head of a group', path: '/stream/x' },
  ])('gets its backoff: $what', async ({ path }) => {
    const isStream = path === '/stream/x';
    const servers = isStream ? fixture.heads(SMALL).slice(0, 1) : plainServers().slice(0, 2);
    const sent = await sendWhileShedding(servers, path, 10);
    for (const server of servers) {
      const found = maxDuringBackoff(server, sent);
      expect(Math.max(...found)).toBeLessThanOrEqual(MOST_IN_REST);
    }
    expect(
      fixture.platform.statements.arrivals.some(({ server }) => servers.includes(server)),
    ).toBe(true);
    // The other servers have capacity for all, once the daemons know which ones refuse.
    const first = Math.min(...sent.map(({ sentAt }) => sentAt));
    const later = sent.filter(({ sentAt }) => sentAt > first + KNOWN_MS);
    expect(later.filter(({ reply }) => reply?.status !== 200)).toEqual([]);
  });

  // Guards against telling callers to return before any server accepts requests.
  it('makes callers retry no sooner if all servers of the service are backing off', async () => {
    const servers = plainServers();
    const sent = await sendWhileShedding(servers, '/unsafe/x', 5);
    for (const server of servers) {
      expect(Math.max(...maxDuringBackoff(server, sent))).toBeLessThanOrEqual(MOST_IN_REST);
    }
    const ran = new Set(fixture.platform.runs.map(({ requestId }) => requestId));
    const untouched = sent.filter(
      ({ requestId }) =>
        !fixture.platform.statements.arrivals.some((one) => one.requestId === requestId),
    );
    expect(untouched.length).toBeGreaterThan(0);
    for (const { requestId, sentAt, answeredAt, reply } of untouched) {
      expect(reply?.status).toBe(503);
      expect(ran.has(requestId)).toBe(false);
      expect(answeredAt - sentAt).toBeLessThan(SOON_MS);
    }
    expect(retryAfterOf(untouched[0])).toBeGreaterThan(1);
  });
});

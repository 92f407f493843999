import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { brandAs } from '../../src/core/ids';
import type { ServerName } from '../../src/core/ids';
import { startFixture } from './gateway-fixture';
import type { SentRequest, GatewayFixture } from './gateway-fixture';
import { MOST_IN_REST, mostInRest } from '../support/server-rules';
import { SMALL } from './support';

const FIRST_PORT = 25_300;
const DAEMONS = 3;
const REST_S = 3;
const ASKING_MS = 7_000;
const SOON_MS = 500;
/** Each daemon has met all of the servers by then. */
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

function retryAfterOf(asked: SentRequest | undefined): number {
  return Number(asked?.reply?.headers['retry-after']);
}

/** The servers turn every request away and ask for rest, for as long as requests come. */
async function askShedding(
  servers: readonly ServerName[],
  path: string,
  perS: number,
): Promise<readonly SentRequest[]> {
  const { says, shedding } = fixture.platform.statements;
  for (const server of servers) {
    says.set(server, { 'Retry-After': String(REST_S) });
    shedding.add(server);
  }
  const asked = await fixture.sendRequests(path, perS, ASKING_MS);
  for (const server of servers) {
    says.delete(server);
    shedding.delete(server);
  }
  return asked;
}

/** By daemon: most requests that came to the server within the rest that an answer had asked for. */
function mostInRests(server: ServerName, asked: readonly SentRequest[]): number[] {
  const daemonOf = new Map(asked.map(({ requestId, daemon }) => [requestId, daemon]));
  const arrivals = fixture.platform.statements.arrivals.filter((one) => one.server === server);
  return Array.from({ length: DAEMONS }, (_, daemon) => {
    const times = arrivals.flatMap(({ requestId, at }) =>
      daemonOf.get(requestId) === daemon ? [at] : [],
    );
    return mostInRest(times, REST_S);
  });
}

describe('a server that turns a daemon away and asks for rest', () => {
  // Guards against a server's Retry-After that counts as one failure and reaches no further decision.
  it.each([
    { what: 'a server of a plain service', path: '/safe/x' },
    { what: 'the head of a group', path: '/stream/x' },
  ])('gets it: $what', async ({ path }) => {
    const isStream = path === '/stream/x';
    const servers = isStream ? fixture.heads(SMALL).slice(0, 1) : plainServers().slice(0, 2);
    const asked = await askShedding(servers, path, 10);
    for (const server of servers) {
      const found = mostInRests(server, asked);
      expect(Math.max(...found)).toBeLessThanOrEqual(MOST_IN_REST);
    }
    expect(
      fixture.platform.statements.arrivals.some(({ server }) => servers.includes(server)),
    ).toBe(true);
    // The others have room for all, once it is known which they are.
    const first = Math.min(...asked.map(({ sentAt }) => sentAt));
    const later = asked.filter(({ sentAt }) => sentAt > first + KNOWN_MS);
    expect(later.filter(({ reply }) => reply?.status !== 200)).toEqual([]);
  });

  // Guards against callers that are told to come back before any server wants to see them.
  it('has callers told to come back no sooner, where all servers of the service rest', async () => {
    const servers = plainServers();
    const asked = await askShedding(servers, '/unsafe/x', 5);
    for (const server of servers) {
      expect(Math.max(...mostInRests(server, asked))).toBeLessThanOrEqual(MOST_IN_REST);
    }
    const ran = new Set(fixture.platform.runs.map(({ requestId }) => requestId));
    const untouched = asked.filter(
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

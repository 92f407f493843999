import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { brandAs } from '../../src/core/ids';
import type { ServerName } from '../../src/core/ids';
import { rateOf } from './cold-model';
import { startFixture } from './gateway-fixture';
import type { GatewayFixture, SentRequest } from './gateway-fixture';
import { SMALL } from './support';

const FIRST_PORT = 26_700;
const DAEMONS = 5;
const COLD_PER_S = 4;
/** Bound with the factor 1.5 and the slack 5, and what is assigned of it. */
const BOUND = 11;
const BUDGET = 8;
const COLD_MS = 6_000;
/** By then all daemons know that a server has become cold. */
const KNOWN_MS = 600;
/** A server that was serving gets its senders a second later, which then send for the first time. */
const ASSIGNED_MS = 2_000;
const SOON_MS = 500;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({
    ...{ firstPort: FIRST_PORT, daemons: DAEMONS, plainServers: 3, coldPerS: COLD_PER_S },
    settings: { coldFactor: 1.5, coldSlack: 5 },
  });
});

afterAll(() => {
  fixture.close();
});

/** Sends requests while the servers are cold, and checks what each of them receives. */
async function sendToCold(
  servers: readonly ServerName[],
  path: string,
  perS: number,
): Promise<readonly SentRequest[]> {
  const from = performance.now();
  fixture.platform.setCold(servers, COLD_MS);
  const sent = await fixture.sendRequests(path, perS, COLD_MS);
  for (const server of servers) {
    const arrivals = fixture.platform.statements.arrivals.filter((one) => one.server === server);
    const times = arrivals.map(({ at }) => at - from).filter((ms) => ms >= KNOWN_MS);
    const cold = times.filter((ms) => ms < COLD_MS);
    const { most, perSecond } = rateOf(cold, ASSIGNED_MS, COLD_MS);
    expect(most).toBeLessThanOrEqual(BOUND);
    expect(perSecond).toBeGreaterThan(BUDGET / 2);
  }
  return sent;
}

function expectRefusedAtOnce(sent: readonly SentRequest[]): void {
  const refused = sent.filter(({ reply }) => reply?.status !== 200);
  expect(refused.length).toBeGreaterThan(0);
  for (const { sentAt, answeredAt, reply } of refused) {
    expect(reply?.status).toBe(503);
    expect(answeredAt - sentAt).toBeLessThan(SOON_MS);
    expect(Number(reply?.headers['retry-after'])).toBeGreaterThan(0);
    expect(Number(reply?.headers['retry-after'])).toBeLessThan(COLD_MS / 1_000);
  }
}

describe('cold servers', () => {
  // Guards against daemons that send to the head of a group as if it were warm, and against
  // requests that wait for it although another group has capacity.
  it('receive no more than the bound as head of a group, and another group takes the rest', async () => {
    const sent = await sendToCold(fixture.heads(SMALL).slice(0, 1), '/stream/x', 8);
    expect(sent.filter(({ reply }) => reply?.status !== 200)).toEqual([]);
  });

  // Guards against requests that wait in vain where all groups of a model are cold.
  it('receive no more than the bound if all groups of the model are cold', async () => {
    const sent = await sendToCold(fixture.heads(SMALL), '/stream/x', 8);
    const refused = sent.filter(({ reply }) => reply?.status !== 200);
    expect(refused.length).toBeGreaterThan(0);
    for (const { reply } of refused) {
      expect(reply?.status).toBe(503);
      expect(Number(reply?.headers['retry-after'])).toBeLessThan(COLD_MS / 1_000);
    }
  });

  // Guards against the same for a plain service.
  it('receive no more than the bound as plain servers, and the rest is refused at once', async () => {
    const servers = [0, 1, 2].map((n) => brandAs<ServerName>(`plain-${n}`));
    expectRefusedAtOnce(await sendToCold(servers, '/unsafe/x', 10));
  });

  // Guards against a limit that stays after the server is warm.
  it('receive everything again once they are warm', async () => {
    await fixture.sendRequests('/unsafe/x', 1, 2_500);
    const sent = await fixture.sendRequests('/unsafe/x', 10, 1_000);
    expect(sent.filter(({ reply }) => reply?.status !== 200)).toEqual([]);
  });
});

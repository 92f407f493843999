import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { brandAs } from '../../src/core/ids';
import type { ServerName } from '../../src/core/ids';
import { pause } from '../../src/utils/pause';
import { SILENT, startProxy } from '../soak/proxy';
import type { Proxy } from '../soak/proxy';
import { startFixture } from './gateway-fixture';
import type { GatewayFixture, SentRequest } from './gateway-fixture';

const FIRST_PORT = 25_800;
const PROXY = '127.0.0.1:25799';
const DAEMONS = 3;
/** The daemon that reaches the store by way of the proxy. */
const CUT_OFF = 2;
/** The target is a second; the platform allows five. */
const KNOWN_MS = 1_000;
const RUN_MS = 3_000;

let proxy: Proxy;
let fixture: GatewayFixture;

const zoneOf = (n: number): string => `zone-${n % 2}`;

beforeAll(async () => {
  proxy = await startProxy(PROXY, `127.0.0.1:${FIRST_PORT}`);
  fixture = await startFixture({
    ...{ firstPort: FIRST_PORT, daemons: DAEMONS, plainServers: 2, zoneOf },
    storeAddressOf: (n, address) => (n === CUT_OFF ? PROXY : address),
  });
});

afterAll(() => {
  fixture.close();
  proxy.close();
});

function serversOf(zone: string): ReadonlySet<ServerName> {
  const engines = [...fixture.platform.fleet.rows().values()].filter((row) => row.zone === zone);
  const plain = [0, 1].filter((n) => zoneOf(n) === zone);
  return new Set([
    ...engines.map(({ name }) => name),
    ...plain.map((n) => brandAs<ServerName>(`plain-${n}`)),
  ]);
}

/** Sends streams and calls of all daemons for `RUN_MS`; returns when each of them reached the zone. */
async function sendAll(zone: string): Promise<{
  readonly from: number;
  readonly sent: readonly SentRequest[];
  readonly arrivals: readonly number[];
}> {
  const from = performance.now();
  const paths = ['/stream/x', '/safe/x', '/unsafe/x'];
  const sent = await Promise.all(paths.map((path) => fixture.sendRequests(path, 10, RUN_MS)));
  const servers = serversOf(zone);
  const arrivals = fixture.platform.statements.arrivals
    .filter(({ server, at }) => servers.has(server) && at >= from)
    .map(({ at }) => at - from);
  return { from, sent: sent.flat(), arrivals };
}

const statuses = (sent: readonly SentRequest[]): (number | undefined)[] => [
  ...new Set(sent.map(({ reply }) => reply?.status)),
];

/** Evacuates the zone of domain 0, checks that all daemons follow, and likewise ends the evacuation. */
async function expectFollowed(): Promise<void> {
  fixture.platform.evacuate('zone-0', true);
  const during = await sendAll('zone-0');
  expect(during.arrivals.filter((ms) => ms > KNOWN_MS)).toEqual([]);
  expect(statuses(during.sent)).toEqual([200]);
  fixture.platform.evacuate('zone-0', false);
  await pause(KNOWN_MS);
  const after = await sendAll('zone-0');
  expect(after.arrivals.length).toBeGreaterThan(0);
  expect(statuses(after.sent)).toEqual([200]);
  const daemons = after.sent.filter(({ requestId }) => {
    const servers = serversOf('zone-0');
    return fixture.platform.statements.arrivals.some(
      (one) => one.requestId === requestId && servers.has(one.server),
    );
  });
  expect(new Set(daemons.map(({ daemon }) => daemon)).size).toBe(DAEMONS);
}

describe('servers of an evacuated zone', () => {
  // Guards against requests to a zone that the operator evacuated, and against a zone left out for good.
  it('get no requests until the evacuation ends', expectFollowed);

  // Guards against a daemon that learns of an evacuation only from the store.
  it.each([
    { how: 'whose connection to the store became silent', isAway: false },
    { how: 'that the store does not answer', isAway: true },
  ])('get none from a daemon $how', async ({ isAway }) => {
    if (isAway) proxy.disturb(SILENT);
    else proxy.mute();
    await expectFollowed();
    proxy.disturb(undefined);
  });

  // Guards against a daemon that knows only what the store told it before it was cut off.
  it.each([
    { how: 'with the store', isAway: false },
    { how: 'without the store', isAway: true },
  ])('get none from a daemon that starts afterwards $how', async ({ isAway }) => {
    fixture.platform.evacuate('zone-0', true);
    await pause(KNOWN_MS);
    if (isAway) proxy.disturb(SILENT);
    const from = performance.now();
    fixture.restart(CUT_OFF);
    let sent: readonly SentRequest[] = [];
    const isServing = (): boolean =>
      sent.some(({ daemon, reply }) => daemon === CUT_OFF && reply?.status === 200);
    while (!isServing()) sent = [...sent, ...(await fixture.sendRequests('/stream/x', 10, 500))];
    const servers = serversOf('zone-0');
    const { arrivals } = fixture.platform.statements;
    expect(arrivals.filter(({ server, at }) => servers.has(server) && at > from)).toEqual([]);
    fixture.platform.evacuate('zone-0', false);
    proxy.disturb(undefined);
  });

  // Guards against callers that wait in vain, or are told to come back at no finite time.
  it('leave requests refused at once if there are no others', async () => {
    for (const zone of ['zone-0', 'zone-1']) fixture.platform.evacuate(zone, true);
    await pause(KNOWN_MS);
    for (const path of ['/stream/x', '/safe/x', '/unsafe/x']) {
      const sent = await fixture.sendRequests(path, 5, 1_000);
      for (const { reply, sentAt, answeredAt } of sent) {
        expect(reply?.status).toBe(503);
        const retryAfter = Number(reply?.headers['retry-after']);
        expect(retryAfter).toBeGreaterThanOrEqual(1);
        expect(retryAfter).toBeLessThan(5);
        expect(answeredAt - sentAt).toBeLessThan(400);
      }
    }
    for (const zone of ['zone-0', 'zone-1']) fixture.platform.evacuate(zone, false);
    await pause(KNOWN_MS);
    expect(statuses(await fixture.sendRequests('/stream/x', 5, 1_000))).toEqual([200]);
  });
});

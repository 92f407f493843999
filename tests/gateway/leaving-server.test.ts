import { afterAll, beforeAll, describe, expect, it } from 'vitest';

import { HEADERS } from '../../platform/names';
import { brandAs } from '../../src/core/ids';
import type { ServerName } from '../../src/core/ids';
import { startFixture } from './gateway-fixture';
import type { GatewayFixture } from './gateway-fixture';
import { SMALL } from './support';

const FIRST_PORT = 25_600;
const DAEMONS = 3;

let fixture: GatewayFixture;

beforeAll(async () => {
  fixture = await startFixture({ firstPort: FIRST_PORT, daemons: DAEMONS, plainServers: 3 });
});

afterAll(() => {
  fixture.close();
});

describe('a server that announces in its answers that it is leaving', () => {
  /** By then all peers know of it; the platform allows two seconds. */
  const KNOWN_MS = 1_000;

  // Guards against draining a server only once the platform's list shows that it leaves.
  it.each([
    { what: 'a server of a plain service', path: '/safe/x' },
    { what: 'the head of a group', path: '/stream/x' },
  ])('gets no more requests from any daemon: $what', async ({ path }) => {
    const isStream = path === '/stream/x';
    const servers = isStream
      ? fixture.heads(SMALL).slice(0, 1)
      : [0, 1].map((n) => brandAs<ServerName>(`plain-${n}`));
    const { responseHeaders: says, arrivals } = fixture.platform.statements;
    for (const server of servers) says.set(server, { [HEADERS.leaving]: '1' });
    const from = performance.now();
    const sent = await fixture.sendRequests(path, 10, 4_000);
    const late = arrivals.filter(
      ({ server, at }) => servers.includes(server) && at > from + KNOWN_MS,
    );
    expect(late).toEqual([]);
    expect(sent.filter(({ reply }) => reply?.status !== 200)).toEqual([]);
  });
});

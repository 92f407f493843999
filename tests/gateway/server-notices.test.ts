import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { dialect } from '../../platform/ingress';
import { HEADERS } from '../../platform/names';
import { createServers } from '../../platform/servers';
import { createThrottle } from '../../src/app/gateway/throttle';
import type { LeavingServers } from '../../src/app/gateway/leaving-servers';
import { createServerNotices } from '../../src/app/gateway/server-notices';
import { brandAs } from '../../src/core/ids';
import type { DaemonId, EpochTime, GroupId, Epoch, InstanceId } from '../../src/core/ids';
import type { ResponseHeaders } from '../../src/ports/gateway';
import { at, instance, makeColdServers, makeContext, makeRateLimits, makeServer } from './support';

const SERVER = instance('s1');

function setUp() {
  let ms = 0;
  const clock = { now: () => at(ms), epoch: () => brandAs<EpochTime>(ms) };
  const ctx = makeContext({ clock, settings: { id: brandAs<DaemonId>('d0') } });
  const rateLimits = makeRateLimits(ctx);
  const leftServers: InstanceId[] = [];
  const leaving = {
    note: (server: InstanceId) => leftServers.push(server),
  } as unknown as LeavingServers;
  const coldTimes: number[] = [];
  const cold = { noteColdMs: (_: InstanceId, coldMs: number) => coldTimes.push(coldMs) };
  const throttle = createThrottle(ctx, rateLimits, makeColdServers(ctx));
  const options = { dialect, limits: rateLimits, throttle, leaving, cold };
  const notices = createServerNotices(ctx, options);
  const read = (statusCode: number, headers: Record<string, string>): void => {
    notices.read(SERVER, { statusCode, headers }, at(ms - 10));
  };
  return {
    statements: notices,
    limits: rateLimits,
    allowances: throttle,
    left: leftServers,
    coldTimes,
    read,
    wait: (more: number) => (ms += more),
  };
}

describe('notices of a server in an answer', () => {
  it('apply to later requests, whatever the status of the answer', () => {
    const { read, limits: rateLimits, allowances: throttle, left: leftServers, wait } = setUp();
    wait(100);
    read(500, { [HEADERS.limit]: '2' });
    expect(rateLimits.tokens(SERVER)).toBe(0);
    read(503, { 'retry-after': '3', [HEADERS.limit]: '2' });
    expect(throttle.isBackingOff(SERVER)).toBe(true);
    read(200, { [HEADERS.leaving]: '1', [HEADERS.limit]: '2' });
    expect(leftServers).toEqual([SERVER]);
  });

  // Guards against a server that became cold and is known to be from its row only.
  it('tell for how long the server stays cold, unless another one answered', () => {
    const { read, coldTimes } = setUp();
    read(200, { [HEADERS.coldMs]: '700' });
    read(421, { [HEADERS.coldMs]: '900' });
    read(200, {});
    expect(coldTimes).toEqual([700]);
  });

  it('are not attributed to the intended server if another one answered', () => {
    const { read, limits: rateLimits, allowances: throttle, left: leftServers } = setUp();
    read(421, { [HEADERS.limit]: '2', [HEADERS.leaving]: '1', 'retry-after': '3' });
    expect(rateLimits.tokens(SERVER)).toBe(Infinity);
    expect(throttle.isBackingOff(SERVER)).toBe(false);
    expect(leftServers).toEqual([]);
  });

  it('do not end a limit if they are unreadable', () => {
    const { read, limits: rateLimits, wait } = setUp();
    read(200, { [HEADERS.limit]: '2' });
    wait(5_000);
    read(200, { [HEADERS.limit]: 'many' });
    expect(rateLimits.tokens(SERVER)).not.toBe(Infinity);
    read(200, {});
    expect(rateLimits.tokens(SERVER)).toBe(Infinity);
  });

  it('do not end a limit by an answer to an order, which need not name it', () => {
    const { statements: notices, limits: rateLimits, wait } = setUp();
    const headOf = (headers: Record<string, string>): ResponseHeaders => ({
      server: SERVER,
      facts: dialect.parseResponse(202, headers),
    });
    notices.apply(headOf({ [HEADERS.limit]: '2' }));
    expect(rateLimits.tokens(SERVER)).toBe(0);
    wait(5_000);
    notices.apply(headOf({}));
    expect(rateLimits.tokens(SERVER)).not.toBe(Infinity);
  });
});

describe('answers to orders and report requests', () => {
  let server: Server | undefined;

  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  // Guards against a leader that learns of a leaving server only from answers to callers' requests.
  it('are read for notices of the server', async () => {
    server = createServer((req, res) => {
      req.resume();
      res.writeHead(200, { [HEADERS.leaving]: '1', [HEADERS.limit]: '4' }).end('{}');
    });
    await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const target = makeServer('s1', { address: `127.0.0.1:${port}` });
    const servers = createServers();
    const heads: ResponseHeaders[] = [];
    servers.heads.subscribe((head) => heads.push(head));
    await servers.report(target, 1_000);
    const group = { group: brandAs<GroupId>('g'), epoch: brandAs<Epoch>(1) };
    await servers.order(target, { kind: 'leave', ...group });
    expect(heads).toHaveLength(2);
    for (const { server: id, facts } of heads) {
      expect(id).toBe(target.id);
      expect(facts).toMatchObject({ isLeaving: true, limitPerS: 4 });
    }
  });
});

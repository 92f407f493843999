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
import type { ServerHead } from '../../src/ports/gateway';
import { at, instance, makeContext, makeRateLimits, makeServer } from './support';

const SERVER = instance('s1');

function setUp() {
  let ms = 0;
  const clock = { now: () => at(ms), epoch: () => brandAs<EpochTime>(ms) };
  const ctx = makeContext({ clock, settings: { id: brandAs<DaemonId>('d0') } });
  const limits = makeRateLimits(ctx);
  const left: InstanceId[] = [];
  const leaving = { note: (server: InstanceId) => left.push(server) } as unknown as LeavingServers;
  const allowances = createThrottle(ctx, limits);
  const statements = createServerNotices(ctx, { dialect, limits, throttle: allowances, leaving });
  const read = (statusCode: number, headers: Record<string, string>): void => {
    statements.read(SERVER, { statusCode, headers }, at(ms - 10));
  };
  return { statements, limits, allowances, left, read, wait: (more: number) => (ms += more) };
}

describe('what a server says of itself in an answer', () => {
  it('reaches the decisions on later requests, whatever the answer was', () => {
    const { read, limits, allowances, left, wait } = setUp();
    wait(100);
    read(500, { [HEADERS.limit]: '2' });
    expect(limits.tokens(SERVER)).toBe(0);
    read(503, { 'retry-after': '3', [HEADERS.limit]: '2' });
    expect(allowances.isBackingOff(SERVER)).toBe(true);
    read(200, { [HEADERS.leaving]: '1', [HEADERS.limit]: '2' });
    expect(left).toEqual([SERVER]);
  });

  it('is no word of the server that was meant, where another one answered', () => {
    const { read, limits, allowances, left } = setUp();
    read(421, { [HEADERS.limit]: '2', [HEADERS.leaving]: '1', 'retry-after': '3' });
    expect(limits.tokens(SERVER)).toBe(Infinity);
    expect(allowances.isBackingOff(SERVER)).toBe(false);
    expect(left).toEqual([]);
  });

  it('ends no limit where it can not be understood', () => {
    const { read, limits, wait } = setUp();
    read(200, { [HEADERS.limit]: '2' });
    wait(5_000);
    read(200, { [HEADERS.limit]: 'many' });
    expect(limits.tokens(SERVER)).not.toBe(Infinity);
    read(200, {});
    expect(limits.tokens(SERVER)).toBe(Infinity);
  });

  it('ends no limit by an answer to an order, which need not name it', () => {
    const { statements, limits, wait } = setUp();
    const headOf = (headers: Record<string, string>): ServerHead => ({
      server: SERVER,
      facts: dialect.readAnswer(202, headers),
    });
    statements.apply(headOf({ [HEADERS.limit]: '2' }));
    expect(limits.tokens(SERVER)).toBe(0);
    wait(5_000);
    statements.apply(headOf({}));
    expect(limits.tokens(SERVER)).not.toBe(Infinity);
  });
});

describe('answers to orders and questions', () => {
  let server: Server | undefined;

  afterEach(() => {
    server?.closeAllConnections();
    server?.close();
  });

  // Guards against a leader that hears of a server's leaving from its callers' answers alone.
  it('are read for what the server says of itself', async () => {
    server = createServer((req, res) => {
      req.resume();
      res.writeHead(200, { [HEADERS.leaving]: '1', [HEADERS.limit]: '4' }).end('{}');
    });
    await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const target = makeServer('s1', { address: `127.0.0.1:${port}` });
    const servers = createServers();
    const heads: ServerHead[] = [];
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

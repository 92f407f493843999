import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';

import { createEngine } from '../src/adapters/engine';
import type { OrderAuthority } from '../src/ports/engine';

const BY = { domain: 'd', fencing: 1, deadline: 1 } as unknown as OrderAuthority;
const ORDER = { kind: 'preload', model: 'm' } as never;
const REPORT = {
  instance: 'e',
  incarnation: '1',
  state: 'idle',
  weights: [],
  inFlight: 0,
  queued: 0,
  fencing: 0,
  leaving: false,
};

let server: Server | undefined;
const engine = createEngine({ timeoutMs: 300 });

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

function listen(listener: RequestListener): Promise<string> {
  const started = createServer(listener);
  server = started;
  return new Promise((resolve) => {
    started.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(started.address() as AddressInfo).port}`);
    });
  });
}

describe('engine port over HTTP', () => {
  it('gives the report', async () => {
    const address = await listen((_req, res) => res.end(JSON.stringify(REPORT)));
    expect((await engine.report(address))._unsafeUnwrap()).toEqual(REPORT);
  });

  it('tells a refusal from a loss', async () => {
    const address = await listen((_req, res) => {
      res.writeHead(409).end('{"error":"stale-fencing"}');
    });
    const err = (await engine.order(address, ORDER, BY))._unsafeUnwrapErr();
    expect(err).toMatchObject({ code: 'conflict', step: 'order-preload', peer: address });
  });

  it('says that an order may have taken effect when the connection breaks', async () => {
    const address = await listen((req) => {
      req.resume().on('end', () => req.socket.destroy());
    });
    const err = (await engine.order(address, ORDER, BY))._unsafeUnwrapErr();
    expect(err.code).toBe('backend-lost');
  });

  it('says that an engine which does not answer in time is unavailable', async () => {
    const address = await listen(() => undefined);
    expect((await engine.report(address))._unsafeUnwrapErr().code).toBe('unavailable');
  });

  it('says that nothing was ordered where nobody listens', async () => {
    const address = await listen(() => undefined);
    await new Promise((resolve) => server?.close(resolve));
    expect((await engine.order(address, ORDER, BY))._unsafeUnwrapErr().code).toBe('unavailable');
  });

  it.each([
    ['no JSON', 'hello'],
    ['no report', '{"state":"dancing"}'],
  ])('takes %s for no report', async (_what, body) => {
    const address = await listen((_req, res) => res.end(body));
    expect((await engine.report(address))._unsafeUnwrapErr().code).toBe('bad-answer');
  });

  it('reads no endless report', async () => {
    const address = await listen((_req, res) => {
      res.end(Buffer.alloc(1_000_000, 32));
    });
    expect((await engine.report(address)).isErr()).toBe(true);
  });

  it('takes no address that is none', async () => {
    expect((await engine.report('not an address'))._unsafeUnwrapErr().code).toBe('unavailable');
  });
});

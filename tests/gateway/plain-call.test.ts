import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { Subject } from 'rxjs';
import { describe, expect, it, vi } from 'vitest';

import type { UpstreamCall, UpstreamResult } from '../../src/adapters/upstream/upstream';
import { NO_EVACUATIONS } from '../../src/app/gateway/evacuations';
import type { Exchange } from '../../src/app/gateway/exchange';
import { createPlainCalls } from '../../src/app/gateway/plain-call';
import type { PlainDeps } from '../../src/app/gateway/plain-call';
import type { Route } from '../../src/core/gateway/types';
import { later } from '../../src/core/ids';
import { fail } from '../../src/utils/errors';
import { createFakeClock, fakeTime } from './fake-time';
import { HEALTHY_LINKS, instance, makeContext, makeQuarantine, makeRoute } from './support';
import { makeServer, makeThrottle, SERVICE } from './support';

fakeTime();

const TIMEOUT_MS = 1_000;

/** One call at a server. */
class ServerCall extends EventEmitter {
  statusCode = 200;
  readonly rawHeaders: string[] = [];
  readonly headers = {};
  complete = false;
  isClosed = false;

  constructor(
    readonly server: string,
    private readonly settle: (result: UpstreamResult) => void,
  ) {
    super();
  }

  close(byPeer = false): void {
    this.isClosed = true;
    this.emit('close');
    const error = fail('backend-lost', 'closed', { step: 'first-byte' });
    this.settle({ kind: 'lost', error, ...(byPeer && { byPeer }) });
  }

  async answer(body: string): Promise<void> {
    if (this.isClosed) return;
    this.settle({
      ...{ kind: 'answered', res: this as unknown as IncomingMessage, reused: false },
      framing: 'length',
      ...{ hasFailed: () => false, destroy: () => undefined },
    });
    await vi.advanceTimersByTimeAsync(0);
    this.emit('data', Buffer.from(body));
    this.complete = true;
    this.emit('end');
    await vi.advanceTimersByTimeAsync(0);
  }
}

interface WorldOptions {
  readonly servers: number;
  readonly retries: number;
  readonly route?: Partial<Route>;
}

/** One call to a service with servers that a test lets answer. */
async function call({ servers: count, retries: retriesAtStart, route = {} }: WorldOptions) {
  const ctx = makeContext({ clock: createFakeClock() });
  const found = Array.from({ length: count }, (_, n) => makeServer(`s${n}`));
  const ids = new Map(found.map(({ id, address }) => [address, id]));
  const calls: ServerCall[] = [];
  const world = { ctx, calls, retries: retriesAtStart, status: 0, body: '' };
  const send = ({ address, signal, beforeSend }: UpstreamCall): Promise<UpstreamResult> =>
    new Promise((resolve) => {
      const error = beforeSend();
      if (error) {
        resolve({ kind: 'not-sent', error });
        return;
      }
      const sent = new ServerCall(ids.get(address) ?? '', resolve);
      signal.addEventListener('abort', () => {
        sent.close();
      });
      calls.push(sent);
    });
  const throttle = makeThrottle(ctx);
  const mayRetry = (): boolean => {
    if (world.retries === 0) return false;
    world.retries -= 1;
    return true;
  };
  const deps = {
    ...{ ctx, upstream: { send }, throttle, evacuations: NO_EVACUATIONS },
    serverRegistry: {
      servers: new Map(found.map((server) => [server.id, server])),
      changes: new Subject(),
    },
    retries: { noteRequest: () => undefined, mayRetry, hasRetry: () => world.retries > 0 },
    dialect: { forward: () => [], reply: () => [] },
    notices: { read: () => ({ isSigned: true, isNotExecuted: false }) },
    ...{ quarantine: makeQuarantine(ctx), serverLinks: HEALTHY_LINKS },
  } as unknown as PlainDeps;
  const res = {
    headersSent: false,
    writeHead: (status: number) => (world.status = status),
    end: (body: Buffer) => (world.body = body.toString()),
  };
  const now = ctx.clock.now();
  const exchange = {
    ...{ req: { headers: {}, rawHeaders: [] }, res, body: Buffer.alloc(0) },
    route: makeRoute({ kind: 'safe', timeoutMs: TIMEOUT_MS, ...route }),
    ...{ service: SERVICE, facts: { requestId: 'request-1' }, caller: {}, priority: 1 },
    ...{ arrivedAt: now, deadline: later(now, TIMEOUT_MS), answerBy: later(now, TIMEOUT_MS) },
    gone: new AbortController().signal,
  } as unknown as Exchange;
  void createPlainCalls(deps).call(exchange);
  await vi.advanceTimersByTimeAsync(0);
  const [first] = calls;
  if (!first) throw new Error('nothing was sent');
  return { world, first, throttle };
}

const pass = (ms: number): Promise<unknown> => vi.advanceTimersByTimeAsync(ms);
const answersOf = ({ status, body }: { readonly status: number; readonly body: string }) =>
  [status, body] as const;

describe('a safe call whose first server is slow', () => {
  // Guards against answers that are thrown away for a retry that is not to be had.
  it.each([
    { lack: 'retry', servers: 2, retries: 0 },
    { lack: 'other server', servers: 1, retries: 1 },
    { lack: 'further attempt', servers: 2, retries: 1, route: { maxAttempts: 1 } },
    { lack: 'permission to run twice', servers: 2, retries: 1, route: { kind: 'unsafe' as const } },
  ])('is answered by it, without a $lack', async ({ servers, retries, route }) => {
    const { world, first } = await call({ servers, retries, ...(route && { route }) });
    await pass(700);
    expect([first.isClosed, world.retries]).toEqual([false, retries]);
    await first.answer('whole');
    expect(answersOf(world)).toEqual([200, 'whole']);
    expect(world.calls).toHaveLength(1);
  });

  // Guards against the same while the others accept no requests.
  it('is answered by it if the other servers are backing off', async () => {
    const { world, first, throttle } = await call({ servers: 2, retries: 1 });
    const other = first.server === 's0' ? 's1' : 's0';
    throttle.noteBackoff(instance(other), 5_000);
    await pass(700);
    await first.answer('whole');
    expect(answersOf(world)).toEqual([200, 'whole']);
  });

  // Guards against calls that wait out their time at a silent server.
  it('is sent to another one in time if a retry is left', async () => {
    const { world, first } = await call({ servers: 2, retries: 1 });
    await pass(400);
    expect(first.isClosed).toBe(false);
    await pass(100);
    expect([first.isClosed, world.retries, world.calls.length]).toEqual([true, 0, 2]);
    await world.calls[1]?.answer('whole');
    expect(answersOf(world)).toEqual([200, 'whole']);
  });

  // Guards against calls that ask for a retry only once, and retries too late to bring an answer.
  it('is sent to another one as soon as a retry is left, unless too little time is', async () => {
    const { world, first } = await call({ servers: 2, retries: 0 });
    await pass(480);
    world.retries = 1;
    await pass(50);
    expect([first.isClosed, world.retries]).toEqual([true, 0]);

    const late = await call({ servers: 2, retries: 0 });
    await pass(600);
    late.world.retries = 1;
    await pass(300);
    expect([late.first.isClosed, late.world.retries]).toEqual([false, 1]);
  });

  // Guards against calls without an end.
  it('fails at its deadline if no server answers', async () => {
    const { world } = await call({ servers: 2, retries: 0 });
    await pass(1_050);
    expect(world.status).toBe(504);
  });
});

// Guards against a failure because the peer that passed the call on ended, where its server is the last one.
it('a safe call whose peer ends is sent to the same server again', async () => {
  const { world, first } = await call({ servers: 1, retries: 1 });
  first.close(true);
  await pass(0);
  await world.calls[1]?.answer('whole');
  expect(answersOf(world)).toEqual([200, 'whole']);
});

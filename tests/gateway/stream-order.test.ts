import { BehaviorSubject, Subject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import type { IncomingMessage, ServerResponse } from 'node:http';

import { createArrivals } from '../../src/app/gateway/arrivals';
import type { Exchange } from '../../src/app/gateway/exchange';
import { createGroupRegistry } from '../../src/app/gateway/group-registry';
import { createOrganisationUse } from '../../src/app/gateway/organisation-use';
import type { ServerRegistry } from '../../src/app/gateway/server-registry';
import { createStreamCalls } from '../../src/app/gateway/stream-call';
import type { StreamDeps } from '../../src/app/gateway/stream-call';
import { createWaitQueue } from '../../src/app/gateway/wait-queue';
import type { RouteTable } from '../../src/core/gateway/routes';
import { later } from '../../src/core/ids';
import type { ForwardFacts } from '../../src/ports/gateway';
import { fail } from '../../src/utils/errors';
import { ENGINE, inGroup, makeContext, makeRoute, makeServer, makeThrottle } from './support';
import { SERVICE, SMALL } from './support';

const RUNNING = 40;

/** Stream calls to one group; each request that is sent ends at once with a broken connection. */
function setUp() {
  const ctx = makeContext();
  const head = makeServer('1', { model: SMALL, ...inGroup('g', 0, 'open') });
  const registry = { servers: new Map([[head.id, head]]), changes: new Subject<void>() };
  const table = { config: { services: [] }, service: () => ({ name: SERVICE, engine: ENGINE }) };
  const throttle = makeThrottle(ctx);
  const groupRegistry = createGroupRegistry(
    ctx,
    registry as unknown as ServerRegistry,
    new BehaviorSubject<RouteTable | undefined>(table as unknown as RouteTable),
    throttle,
  );
  const use = createOrganisationUse(ctx.clock);
  const sent: ForwardFacts[] = [];
  const error = fail('unavailable', 'broken', { step: 'send' });
  const deps = {
    ...{ ctx, groupRegistry, throttle, use, daemons: () => 2, arrivals: createArrivals(ctx) },
    waitQueue: createWaitQueue(ctx, groupRegistry, use),
    dialect: { forward: (_: unknown, facts: ForwardFacts) => (sent.push(facts), []) },
    upstream: { send: () => Promise.resolve({ kind: 'lost', error }) },
    refusedCallers: { hasReturned: () => false, noteRefused: () => undefined },
    retries: { noteRequest: () => undefined, mayRetry: () => false },
  } as unknown as StreamDeps;
  const streams = createStreamCalls(deps);
  const call = async (priority: number) => {
    const answer = { status: 0, retryAfter: 0 };
    const res = {
      writeHead: (status: number, headers: Record<string, string>) => {
        Object.assign(answer, { status, retryAfter: Number(headers['Retry-After']) });
      },
      end: () => undefined,
    } as unknown as ServerResponse;
    const arrivedAt = ctx.clock.now();
    const [slotBy, answerBy] = [later(arrivedAt, 1_300), later(arrivedAt, 5_000)];
    await streams.call({
      ...{ res, priority, arrivedAt, slotBy, answerBy, deadline: answerBy, service: SERVICE },
      ...{ req: { rawHeaders: [] } as unknown as IncomingMessage, body: Buffer.alloc(0) },
      ...{ route: makeRoute({ kind: 'stream' }), caller: { kind: 'anonymous' } },
      facts: { model: SMALL, promptTokens: 100, maxOutputTokens: 10 },
      gone: new AbortController().signal,
    } satisfies Exchange);
    return { ...answer, ms: ctx.clock.now() - arrivedAt };
  };
  /** The loads of another daemon whose urgent requests need more slots than there are. */
  const overload = (): void => {
    groupRegistry.noteSent(head.id, 0);
    groupRegistry.noteEnded(head.id, 0, 1_000);
    groupRegistry.applyLoads(
      { running: [[head.id, RUNNING, 0]], paces: [], waiting: [[SMALL, 1, 9, 90]] },
      { coversMost: true, isLeaderless: false, ageMs: 200 },
    );
  };
  return { call, sent, overload };
}

describe('a stream whose model has requests of several priorities', () => {
  // Guards against engines that admit in order of arrival what the daemons ordered by priority,
  // and against a header that changes requests of a single priority.
  it('carries its priority to the engine, 9 at most, and none while there is only one', async () => {
    const { call, sent } = setUp();
    for (const priority of [3, 3, 14, 0]) await call(priority);
    expect(sent.map(({ priority }) => priority)).toEqual([undefined, undefined, 9, 0]);
  });

  // Guards against a wait of 1.3 s that ends in a refusal.
  it('is refused at once if more urgent requests need all slots, and told when to return', async () => {
    const { call, sent, overload } = setUp();
    overload();
    const { status, retryAfter, ms } = await call(2);
    expect(status).toBe(503);
    expect(retryAfter).toBeGreaterThanOrEqual(1);
    expect(ms).toBeLessThan(20);
    expect(sent).toEqual([]);
  });
});

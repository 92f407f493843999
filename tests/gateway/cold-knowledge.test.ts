import { BehaviorSubject, Subject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { createColdAssignments } from '../../src/app/gateway/cold-assignments';
import { createColdPeriods } from '../../src/app/gateway/cold-periods';
import { createColdServers } from '../../src/app/gateway/cold-servers';
import { createRouteTable } from '../../src/core/gateway/routes';
import type { RouteTable } from '../../src/core/gateway/routes';
import type { BackendServer } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { EpochTime, FencingNumber, InstanceId } from '../../src/core/ids';
import { fencingFloor } from '../../src/core/store-era';
import type { StoreEra } from '../../src/core/store-era';
import { at, instance, makeConfig, makeContext, makeServer, SERVICE } from './support';

const COLD_MS = 4_000;
const SPEC = { name: SERVICE, healthPath: '/', maxConns: 9, coldPerS: 17, coldStartMs: 20_000 };
const TABLE = createRouteTable(makeConfig({ services: [SPEC] }));

/** One daemon's view of rows, in virtual time. */
function createView({ hasConfig = true } = {}) {
  let now = 10_000;
  const clock = { now: () => at(now), epoch: () => brandAs<EpochTime>(now) };
  const ctx = makeContext({ clock, tunables: { coldFactor: 1.5, coldSlack: 5 } });
  const servers = new Map<InstanceId, BackendServer>();
  const changes = new Subject<void>();
  const routes = new BehaviorSubject<RouteTable | undefined>(hasConfig ? TABLE : undefined);
  const assignments = createColdAssignments(ctx, {
    leadership: { heldFencing: () => undefined },
    fleet: { live: () => [], candidates: () => new Map() },
    isStopping: () => false,
    publish: () => undefined,
  });
  const serverRegistry = { servers, changes };
  return {
    routes,
    periods: createColdPeriods(ctx, serverRegistry, routes),
    cold: createColdServers(ctx, { serverRegistry, routes, assignments }),
    pass: (ms: number) => {
      now += ms;
    },
    /** Shows the process of server `s1` that started at `born`, in place of an earlier one. */
    show: (born: number, more: Partial<BackendServer> = {}): InstanceId => {
      const id = instance(`s1@${born}`);
      const startedAt = brandAs<EpochTime>(born);
      servers.clear();
      servers.set(id, { ...makeServer('s1'), id, startedAt, ...more });
      changes.next();
      return id;
    },
  };
}

describe('a server that restarts', () => {
  // Guards against a request that connects while the server restarts and reaches its cold process
  // without being counted, as the earlier process had no limit.
  it('gets no request whose connection was opened for its earlier process', () => {
    const { cold, show } = createView();
    const before = show(1_000, { coldMs: 0 });
    cold.tick();
    cold.takeToken(before);
    show(9_900, { coldMs: COLD_MS });
    expect(cold.noteSent(before)).toBe(false);
    cold.returnToken(before);
  });

  // Guards against senders that are assigned while other daemons still send to the server as to its
  // earlier process, at the same address and without a limit.
  it('is assigned senders only once no request for its earlier process counts', () => {
    const { periods, show, pass } = createView();
    show(1_000, { coldMs: 0 });
    periods.tick();
    pass(500);
    const after = show(10_400, { coldMs: COLD_MS });
    expect(periods.limited(after)?.earlierUntil).toBe(11_550);
    periods.tick();
    expect(periods.limited(after)?.earlierUntil).toBe(11_550);
  });
});

describe('a row that does not state how long its server stays cold', () => {
  // Guards against a daemon that starts, reads the rows before the configuration, and sends without
  // a limit to servers that have just started.
  it('is read again once the configuration is known', () => {
    const { cold, routes, show } = createView({ hasConfig: false });
    const server = show(9_000);
    cold.noteTraffic();
    cold.tick();
    routes.next(TABLE);
    expect(cold.tokens(server)).toBe(0);
    cold.tick();
    expect(cold.tokens(server)).toBe(0);
    expect(cold.limit(server)?.endMs).toBe(20_000);
  });

  // Guards against senders that are assigned while others still send without a limit.
  it('gives no senders at once to a server that took requests before callers were known', () => {
    const { periods, show, pass } = createView();
    const server = show(9_000);
    periods.tick();
    expect(periods.limited(server)).toBeUndefined();
    pass(500);
    periods.noteTraffic();
    periods.tick();
    expect(periods.limited(server)?.earlierUntil).toBe(11_550);
  });
});

describe('a row that is read twice with other values', () => {
  // Guards against a server that becomes cold again and is not limited, because its row has the
  // number of the report before.
  it('extends the period, and does not shorten it', () => {
    const { cold, show } = createView();
    const server = show(1_000, { reportNumber: 7, coldMs: 0 });
    cold.tick();
    show(1_000, { reportNumber: 7, coldMs: COLD_MS });
    cold.tick();
    expect(cold.limit(server)?.endMs).toBe(COLD_MS + 1_000);
    show(1_000, { reportNumber: 7, coldMs: 100 });
    cold.tick();
    expect(cold.limit(server)?.endMs).toBe(COLD_MS + 1_000);
  });
});

describe('assignments of senders', () => {
  // Guards against a leader from before a restore of the store whose late message adds its senders
  // to those of the current leader.
  it('of a leader in an earlier era of the store stay outdated', () => {
    const ctx = makeContext();
    const assignments = createColdAssignments(ctx, {
      leadership: { heldFencing: () => undefined },
      fleet: { live: () => [], candidates: () => new Map() },
      isStopping: () => false,
      publish: () => undefined,
    });
    const era = brandAs<StoreEra>(1);
    const message = { kind: 'cold-senders' as const, servers: [] };
    assignments.receive({ ...message, fencing: fencingFloor(era) }, 'peer');
    ctx.store.noteEra(era, 'peer');
    const fencing = brandAs<FencingNumber>(3);
    expect(assignments.isOutdated({ ...message, fencing })).toBe(true);
  });
});

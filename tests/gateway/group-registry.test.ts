import { BehaviorSubject, Subject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { createClock } from '../../src/adapters/runtime';
import { createGroupRegistry } from '../../src/app/gateway/group-registry';
import type { Throttle } from '../../src/app/gateway/throttle';
import type { ServerRegistry } from '../../src/app/gateway/server-registry';
import type { RouteTable } from '../../src/core/gateway/routes';
import { brandAs, later } from '../../src/core/ids';
import type { Epoch, GroupId, InstanceId } from '../../src/core/ids';
import { ENGINE, instance, makeContext, makeThrottle, makeServer, SERVICE, SMALL } from './support';

const TICK_MS = 50;
const GROUP = brandAs<GroupId>('group-1');
const TABLE = {
  config: { services: [{ name: SERVICE, engine: ENGINE }] },
  service: () => ({ name: SERVICE, engine: ENGINE }),
} as unknown as RouteTable;

function openGroup() {
  const membership = {
    group: GROUP,
    epoch: brandAs<Epoch>(1),
    state: 'open' as const,
  };
  return [0, 1, 2].map((rank) =>
    makeServer(`s${rank}`, { model: SMALL, membership: { ...membership, rank } }),
  );
}

const HEAD = instance('s0');
const NEEDS = {
  ...{ service: SERVICE, model: SMALL, maxPauseMs: 250 },
  tried: new Set<GroupId>(),
};
/** Load facts of a fresh update that covers all daemons. */
const FRESH_LOADS = { coversMost: true, isLeaderless: false, ageMs: 200 };

/** A registry with the servers of one open group, on a manual clock. */
function setUp(limits: Partial<Throttle> = {}) {
  const clock = createClock();
  let now = clock.now();
  const changes = new Subject<void>();
  const servers = new Map(openGroup().map((server) => [server.id, server]));
  const routes = new BehaviorSubject<RouteTable | undefined>(undefined);
  const ctx = makeContext({ clock: { ...clock, now: () => now } });
  const serverRegistry = { servers, changes } as unknown as ServerRegistry;
  const registry = createGroupRegistry(ctx, serverRegistry, routes, {
    ...makeThrottle(ctx),
    ...limits,
  });
  const heads = () => registry.candidates(NEEDS).map(({ head }) => head);
  /** Advances time with regular ticks. */
  const run = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      now = later(now, TICK_MS);
      registry.tick();
    }
  };
  /** Advances time without ticks, as if the process were not scheduled. */
  const pauseProcess = (ms: number): void => {
    now = later(now, ms);
  };
  const stalls: InstanceId[] = [];
  registry.stalls.subscribe(({ head }) => stalls.push(head));
  return { registry, servers, changes, routes, heads, run, stand: pauseProcess, stalls };
}

/** Like `setUp`, with routes and loads known, so that the group can be used. */
function setUpServing() {
  const parts = setUp();
  parts.routes.next(TABLE);
  parts.changes.next();
  parts.registry.applyLoads({ running: [], paces: [], waiting: [] }, FRESH_LOADS);
  parts.run(100);
  return parts;
}

describe('the free capacity of a group', () => {
  // Guards against a jump of the load of a group whose head has just become warm, and against
  // grants among all daemons of what is one daemon's own part of a limit.
  it('is scaled after a cold period, and is marked as own during one', () => {
    const find = (limits: Partial<Throttle>) => {
      const { registry, routes } = setUp(limits);
      routes.next(TABLE);
      return registry.candidates(NEEDS)[0];
    };
    const warm = find({});
    const warming = find({ warmUpFactor: () => 0.5 });
    expect(warming?.freeCapacity).toBe(0.5 * (warm?.freeCapacity ?? 0));
    expect(warm).not.toHaveProperty('isOwnShare');
    const cold = find({ tokens: () => 2, coldLimit: () => ({ perSecond: 2, endMs: 900 }) });
    expect(cold).toMatchObject({ freeCapacity: 2, isOwnShare: true });
  });
});

describe('groups available to streams', () => {
  it('are known once servers and configuration are, in either order', () => {
    const serversFirst = setUp();
    serversFirst.changes.next();
    expect(serversFirst.heads()).toEqual([]);
    serversFirst.routes.next(TABLE);
    expect(serversFirst.heads()).toEqual([instance('s0')]);

    const configFirst = setUp();
    configFirst.routes.next(TABLE);
    configFirst.changes.next();
    expect(configFirst.heads()).toEqual([instance('s0')]);
  });
});

describe('a group that its head has left', () => {
  // Guards against streams that hang in an ended group and make the next group of its head seem silent.
  it('is given up with its streams, unlike one whose entry has expired', () => {
    const { registry, servers, changes, run } = setUpServing();
    const givenUp: unknown[] = [];
    registry.evacuated.subscribe((stall) => givenUp.push(stall));
    const head = servers.get(HEAD);
    servers.delete(HEAD);
    changes.next();
    run(TICK_MS);
    expect(givenUp).toEqual([]);
    if (head) servers.set(HEAD, head);
    changes.next();
    run(TICK_MS);
    const next = { epoch: brandAs<Epoch>(2), state: 'open' as const, rank: 0 };
    servers.set(
      HEAD,
      makeServer('s0', {
        model: SMALL,
        membership: { ...next, group: brandAs<GroupId>('group-2') },
      }),
    );
    changes.next();
    run(TICK_MS);
    expect(givenUp).toEqual([{ group: GROUP, head: HEAD, evidence: 'ended' }]);
  });
});

describe('a group with silent streams', () => {
  it('is reported as stalled once the silence exceeds the expected pauses', () => {
    const { registry, run, stalls } = setUpServing();
    registry.noteSent(HEAD, 100);
    registry.notePrefilled(HEAD, 100);
    registry.noteEvent(HEAD, undefined);
    run(450);
    expect(stalls).toEqual([]);
    run(200);
    expect(stalls).toEqual([HEAD]);
  });

  it('is not reported while unread events may be pending after a pause of the process', () => {
    const { registry, run, stand: pauseProcess, stalls } = setUpServing();
    registry.noteSent(HEAD, 100);
    registry.notePrefilled(HEAD, 100);
    registry.noteEvent(HEAD, undefined);
    pauseProcess(800);
    run(50);
    expect(stalls).toEqual([]);
    run(600);
    expect(stalls).toEqual([HEAD]);
  });

  it('gets more time for its first event while the loads of other daemons are unknown', () => {
    const { registry, routes, changes, run, stalls } = setUp();
    routes.next(TABLE);
    changes.next();
    run(100);
    registry.noteSent(HEAD, 100);
    run(1_900);
    expect(stalls).toEqual([]);
    run(200);
    expect(stalls).toEqual([HEAD]);
  });
});

describe('a suspended group', () => {
  // Guards against requests that wait, and are refused, although the group serves again.
  it('is available again, and waiting requests are told, once it gives an event', () => {
    const { registry, heads, run } = setUpServing();
    registry.noteSent(HEAD, 100);
    registry.notePrefilled(HEAD, 100);
    registry.noteEvent(HEAD, undefined);
    run(700);
    registry.suspect(GROUP, 'lost', 'found by leader-1');
    expect(heads()).toEqual([]);
    let changed = 0;
    registry.changes.subscribe(() => (changed += 1));
    registry.noteEvent(HEAD, 700);
    expect([heads(), changed]).toEqual([[HEAD], 1]);
    registry.noteEvent(HEAD, 50);
    expect(changed).toBe(1);
  });

  // Guards against other daemons that go on avoiding it, as they learn of its events from nobody else.
  it('is announced as resumed by an event after a silence, not after the leader found it lost', () => {
    const { registry } = setUpServing();
    const resumed: unknown[] = [];
    registry.resumed.subscribe((stall) => resumed.push(stall));
    registry.suspect(GROUP, 'lost', 'found by leader-1');
    registry.noteEvent(HEAD, 700);
    expect(resumed).toEqual([]);
    registry.suspect(GROUP, 'silent', 'silent for 500 ms');
    registry.noteEvent(HEAD, 700);
    registry.noteEvent(HEAD, 50);
    expect(resumed).toEqual([{ group: GROUP, head: HEAD }]);
  });

  it('is available again once it gave an event to another daemon', () => {
    const { registry, heads } = setUpServing();
    registry.suspect(GROUP, 'lost', 'found by leader-1');
    registry.noteAlive({ group: GROUP, head: HEAD });
    expect(heads()).toEqual([HEAD]);
  });
});

describe('a slow group', () => {
  it("is known from other daemons' measurements, for as long as they report it", () => {
    const { registry } = setUpServing();
    const slowdown = () => registry.candidates(NEEDS)[0]?.slowdown;
    registry.applyLoads({ running: [], paces: [[HEAD, 3.5]], waiting: [] }, FRESH_LOADS);
    expect(slowdown()).toBe(3.5);
    registry.applyLoads({ running: [], paces: [], waiting: [] }, FRESH_LOADS);
    expect(slowdown()).toBe(1);
  });

  it('is reported by a daemon that measured its events', () => {
    const { registry, run } = setUpServing();
    registry.noteSent(HEAD, 100);
    registry.notePrefilled(HEAD, 100);
    registry.noteEvent(HEAD, undefined);
    for (let n = 0; n < 20; n++) {
      run(200);
      registry.noteEvent(HEAD, 200);
    }
    expect(registry.paces()[0]?.[1]).toBeGreaterThan(2);
    expect(registry.quiet()).toEqual([[HEAD, 0]]);
  });
});

describe('the load of a model', () => {
  // Without a daemon's own requests a small fleet, and without arrivals every fleet, misses refused callers.
  it('includes requests that run, wait and arrive at this daemon and at the others', () => {
    const { registry } = setUpServing();
    registry.noteSent(HEAD, 100);
    registry.applyLoads(
      { running: [[HEAD, 5, 0]], paces: [], waiting: [[SMALL, 2, 3, 8]] },
      FRESH_LOADS,
    );
    const samples = registry.loadSamples(() => ({ waiting: 1, perSecond: 2 }));
    const load = { running: 6, waiting: 4, perSecond: 10, slots: 18, batchSize: 18 };
    expect(samples.get(SMALL)).toEqual(load);
  });
});

import { BehaviorSubject, Subject } from 'rxjs';
import { describe, expect, it } from 'vitest';

import { createClock } from '../../src/adapters/runtime';
import { createGroupRegistry } from '../../src/app/gateway/group-registry';
import type { ServerRegistry } from '../../src/app/gateway/server-registry';
import type { RouteTable } from '../../src/core/gateway/routes';
import { brandAs, later } from '../../src/core/ids';
import type { Epoch, GroupId, InstanceId } from '../../src/core/ids';
import { ENGINE, instance, makeContext, makeThrottle, makeServer, SERVICE, SMALL } from './support';

const TICK_MS = 50;
const TABLE = {
  config: { services: [{ name: SERVICE, engine: ENGINE }] },
  service: () => ({ name: SERVICE, engine: ENGINE }),
} as unknown as RouteTable;

function openGroup() {
  const membership = {
    group: brandAs<GroupId>('group-1'),
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
  tried: new Set<InstanceId>(),
};
/** Loads of all, just told. */
const HEARD = { coversMost: true, isLeaderless: false, ageMs: 200 };

/** A board with the servers of one open group in the roster, and a clock of its own. */
function setUp() {
  const clock = createClock();
  let now = clock.now();
  const changes = new Subject<void>();
  const servers = new Map(openGroup().map((server) => [server.id, server]));
  const routes = new BehaviorSubject<RouteTable | undefined>(undefined);
  const ctx = makeContext({ clock: { ...clock, now: () => now } });
  const roster = { servers, changes } as unknown as ServerRegistry;
  const board = createGroupRegistry(ctx, roster, routes, makeThrottle(ctx));
  const heads = () => board.candidates(NEEDS).map(({ head }) => head);
  /** The process runs, and looks about it as often as it should. */
  const run = (ms: number): void => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      now = later(now, TICK_MS);
      board.tick();
    }
  };
  /** The process does not run. */
  const stand = (ms: number): void => {
    now = later(now, ms);
  };
  const stalls: InstanceId[] = [];
  board.stalls.subscribe(({ head }) => stalls.push(head));
  return { board, changes, routes, heads, run, stand, stalls };
}

/** As `setUp`, with the group in use by this daemon. */
function setUpServing() {
  const parts = setUp();
  parts.routes.next(TABLE);
  parts.changes.next();
  parts.board.applyLoads({ running: [], paces: [], waiting: [] }, HEARD);
  parts.run(100);
  return parts;
}

describe('the groups that streams may be sent to', () => {
  it('are known as soon as servers and configuration are, whichever came first', () => {
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

describe('a group whose streams are silent', () => {
  it('is seen to stand still once they were for longer than any pause', () => {
    const { board, run, stalls } = setUpServing();
    board.noteSent(HEAD, 100);
    board.notePrefilled(HEAD, 100);
    board.noteEvent(HEAD, undefined);
    run(450);
    expect(stalls).toEqual([]);
    run(200);
    expect(stalls).toEqual([HEAD]);
  });

  it('is not where this process did not run: events that came meanwhile are not read yet', () => {
    const { board, run, stand, stalls } = setUpServing();
    board.noteSent(HEAD, 100);
    board.notePrefilled(HEAD, 100);
    board.noteEvent(HEAD, undefined);
    stand(800);
    run(50);
    expect(stalls).toEqual([]);
    run(600);
    expect(stalls).toEqual([HEAD]);
  });

  it('is given time for its first event by a daemon that has just started: others fill it unseen', () => {
    const { board, routes, changes, run, stalls } = setUp();
    routes.next(TABLE);
    changes.next();
    run(100);
    board.noteSent(HEAD, 100);
    run(1_900);
    expect(stalls).toEqual([]);
    run(200);
    expect(stalls).toEqual([HEAD]);
  });
});

describe('a group that is slow', () => {
  it('is known as such by what other daemons saw, and no longer than they see it', () => {
    const { board } = setUpServing();
    const pace = () => board.candidates(NEEDS)[0]?.slowdown;
    board.applyLoads({ running: [], paces: [[HEAD, 3.5]], waiting: [] }, HEARD);
    expect(pace()).toBe(3.5);
    board.applyLoads({ running: [], paces: [], waiting: [] }, HEARD);
    expect(pace()).toBe(1);
  });

  it('is told of by a daemon that saw its events', () => {
    const { board, run } = setUpServing();
    board.noteSent(HEAD, 100);
    board.notePrefilled(HEAD, 100);
    board.noteEvent(HEAD, undefined);
    for (let n = 0; n < 20; n++) {
      run(200);
      board.noteEvent(HEAD, 200);
    }
    expect(board.paces()[0]?.[1]).toBeGreaterThan(2);
    expect(board.quiet()).toEqual([[HEAD, 0]]);
  });
});

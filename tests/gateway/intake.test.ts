import { Socket } from 'node:net';

import { beforeEach, describe, expect, it } from 'vitest';

import { createIntake } from '../../src/app/gateway/intake';
import type { Intake } from '../../src/app/gateway/intake';
import { createClock } from '../../src/adapters/runtime';
import { createLogger } from '../../src/adapters/telemetry/logger';
import { later } from '../../src/core/ids';
import type { MonoTime } from '../../src/core/ids';
import { at, makeContext } from './support';

/** As of a request that half a second remains for. */
const startWithinMs = 500;

let now: MonoTime;
let blockedSince: MonoTime | undefined;
let lines: string[];
let turnEnds: (() => void)[];
let intake: Intake;
let outcomes: string[];
/** Markers sent and not accepted. */
let markers: number;

beforeEach(() => {
  now = at(1_000);
  blockedSince = undefined;
  lines = [];
  turnEnds = [];
  outcomes = [];
  markers = 0;
  const ctx = {
    ...makeContext({ clock: { ...createClock(), now: () => now } }),
    logger: createLogger({ write: (line) => lines.push(line) }),
  };
  intake = createIntake(ctx, {
    atEndOfTurn: (done) => turnEnds.push(done),
    blockedSince: () => blockedSince,
    sendMarker: () => {
      markers += 1;
      return true;
    },
  });
});

/** Lets the current turn of the event loop take `ms` and end. */
function endTurn(ms: number): void {
  now = later(now, ms);
  for (const done of turnEnds.splice(0)) done();
}

function waitedMs(socket: Socket): number {
  let arrivedAt = now;
  const serve = (earliest: MonoTime): void => {
    arrivedAt = earliest;
  };
  intake.take(socket, { startWithinMs, serve, refuse: () => undefined });
  endTurn(0);
  endTurn(0);
  return now - arrivedAt;
}

// Guards against requests of which nobody knows how long they waited before they were read.
describe('the longest wait of a request before it is read', () => {
  it('is nothing while the process is idle', () => {
    const socket = new Socket();
    intake.noteConnection(socket);
    endTurn(0);
    expect(waitedMs(socket)).toBe(0);
    endTurn(0);
    endTurn(0);
    now = later(now, 5_000);
    expect(waitedMs(socket)).toBe(0);
  });

  it('counts all turns in which connections were waiting', () => {
    const sockets = Array.from({ length: 8 }, () => new Socket());
    for (const socket of sockets) {
      intake.noteConnection(socket);
      endTurn(25);
    }
    expect(waitedMs(sockets[7] ?? new Socket())).toBe(200);
  });

  it('counts from the last turn that found no connection waiting', () => {
    const [first, second] = [new Socket(), new Socket()];
    intake.noteConnection(first);
    endTurn(100);
    expect(waitedMs(first)).toBe(100);
    endTurn(100);
    intake.noteConnection(second);
    endTurn(50);
    expect(waitedMs(second)).toBeLessThanOrEqual(150);
  });

  it('counts two turns for a request over a kept connection', () => {
    const [kept, other] = [new Socket(), new Socket()];
    intake.noteConnection(kept);
    for (let n = 0; n < 20; n++) {
      endTurn(30);
      intake.noteConnection(other);
    }
    expect(waitedMs(kept)).toBe(30);
  });

  it('counts the time in which the process did not run', () => {
    blockedSince = at(200);
    expect(waitedMs(new Socket())).toBe(800);
  });

  it('is logged once for a series of turns', () => {
    arrive(10, 24);
    endTurns(2);
    expect(lines.filter((line) => line.includes('requests were read late'))).toHaveLength(1);
    expect(lines.join()).toContain('"longestMs":240');
  });
});

/** Reads `count` requests over one connection in the current turn. */
function takeMany(count: number): void {
  const socket = new Socket();
  for (let n = 0; n < count; n++)
    intake.take(socket, {
      startWithinMs,
      serve: () => outcomes.push(`served ${n}`),
      refuse: () => outcomes.push(`refused ${n}`),
    });
}

interface Arrival {
  /** Time within which each request is to be worked on. */
  readonly limitMs?: number;
  /** Time that the work on each request takes. */
  readonly workMs?: number;
}

/** Lets `times` connections arrive, one a turn of `ms`, each with a request. */
function arrive(
  times: number,
  ms: number,
  { limitMs = startWithinMs, workMs = 0 }: Arrival = {},
): void {
  for (let n = 0; n < times; n++) {
    const socket = new Socket();
    intake.noteConnection(socket);
    endTurn(ms);
    intake.take(socket, {
      startWithinMs: limitMs,
      serve: () => {
        now = later(now, workMs);
        outcomes.push(`served ${n}`);
      },
      refuse: () => outcomes.push(`refused ${n}`),
    });
  }
}

function endTurns(times: number, ms = 0): void {
  for (let n = 0; n < times; n++) endTurn(ms);
}

// Guards against callers who wait unread behind the work on others.
describe('a daemon that takes requests in', () => {
  it('accepts what waits before it works on any of it', () => {
    arrive(5, 1);
    expect(outcomes).toEqual([]);
    endTurns(2);
    expect(outcomes).toEqual(['served 0', 'served 1', 'served 2', 'served 3', 'served 4']);
  });

  it('works on requests after a while though more connections wait', () => {
    arrive(30, 1);
    expect(outcomes).not.toEqual([]);
  });

  it('works on a few at a time', () => {
    const socket = new Socket();
    for (let n = 0; n < 20; n++)
      intake.take(socket, {
        startWithinMs,
        serve: () => outcomes.push('served'),
        refuse: () => undefined,
      });
    endTurn(0);
    expect(outcomes.length).toBeLessThan(10);
    endTurns(3);
    expect(outcomes).toHaveLength(20);
  });
});

// Guards against a daemon that serves all its callers, each too late.
describe('a daemon that gets more than it can serve', () => {
  it('closes new connections unread until it has worked off what it has', () => {
    const states: boolean[] = [];
    intake.saturated.subscribe((isSaturated) => states.push(isSaturated));
    arrive(80, 5, { limitMs: 4_800, workMs: 30 });
    expect(states).toEqual([false, true]);
    endTurns(80);
    expect(states).toEqual([false, true, false]);
  });

  it('serves the newest first, and refuses those that have waited for too long', () => {
    takeMany(160);
    endTurns(5, 90);
    expect(outcomes.at(-1)).toBe('served 144');
    endTurns(2, 90);
    expect(outcomes.at(-1)).toMatch(/^refused/);
  });

  it('closes new connections unread once those that were read take longer than they have', () => {
    const states: boolean[] = [];
    intake.saturated.subscribe((isSaturated) => states.push(isSaturated));
    takeMany(250);
    endTurns(2, 60);
    expect(states).toEqual([false]);
    endTurns(1, 60);
    expect(states).toEqual([false, true]);
  });

  it('serves as many requests if it works on them fast enough', () => {
    const states: boolean[] = [];
    intake.saturated.subscribe((isSaturated) => states.push(isSaturated));
    takeMany(90);
    endTurns(14, 5);
    expect(states).toEqual([false]);
    expect(outcomes).toHaveLength(90);
  });

  it('does not count a turn that was held for seconds', () => {
    const states: boolean[] = [];
    intake.saturated.subscribe((isSaturated) => states.push(isSaturated));
    takeMany(20);
    endTurns(1, 5);
    endTurns(1, 3_000);
    arrive(20, 1);
    endTurns(6, 1);
    expect(states).toEqual([false]);
    expect(outcomes.filter((one) => one.startsWith('served'))).toHaveLength(40);
  });

  // Guards against connections that are closed unread since the process got little processor time.
  it('does not count turns that are held one after the other while few connections come', () => {
    const states: boolean[] = [];
    intake.saturated.subscribe((isSaturated) => states.push(isSaturated));
    arrive(19, 300, { limitMs: 4_800 });
    endTurns(6, 1);
    expect(states).toEqual([false]);
    expect(outcomes).toHaveLength(19);
  });

  // Guards against a daemon that has just started and closes connections unread before it knows what it can serve.
  it('closes none while it has worked off all that it read', () => {
    const states: boolean[] = [];
    intake.saturated.subscribe((isSaturated) => states.push(isSaturated));
    arrive(40, 30, { limitMs: 4_800 });
    endTurns(6, 1);
    expect(states).toEqual([false]);
    expect(outcomes).toHaveLength(40);
  });

  // Guards against connections that are closed unread although all that came meanwhile is served at once.
  it('closes none while it works off what comes faster than it waits', () => {
    const states: boolean[] = [];
    intake.saturated.subscribe((isSaturated) => states.push(isSaturated));
    takeMany(60);
    arrive(24, 15);
    endTurns(6, 1);
    expect(states).toEqual([false]);
    expect(outcomes).toHaveLength(84);
  });

  it('counts connections as accepted that arrived before a marker', () => {
    const states: boolean[] = [];
    intake.saturated.subscribe((isSaturated) => states.push(isSaturated));
    for (let n = 0; n < 30; n++) {
      arrive(1, 30);
      if (markers > 0) intake.noteMarker();
      markers = 0;
    }
    expect(states).toEqual([false]);
  });

  it('serves what waited while the process did not run', () => {
    blockedSince = at(200);
    arrive(3, 1);
    endTurns(2);
    expect(outcomes).toEqual(['served 0', 'served 1', 'served 2']);
  });
});

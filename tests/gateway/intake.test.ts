import { Socket } from 'node:net';

import { beforeEach, describe, expect, it } from 'vitest';

import { createIntake } from '../../src/app/gateway/intake';
import type { Intake } from '../../src/app/gateway/intake';
import { createClock } from '../../src/adapters/runtime';
import { createLogger } from '../../src/adapters/telemetry/logger';
import { later } from '../../src/core/ids';
import type { MonoTime } from '../../src/core/ids';
import { at, makeContext } from './support';

let now: MonoTime;
let blockedSince: MonoTime | undefined;
let lines: string[];
let turnEnds: (() => void)[];
let intake: Intake;

beforeEach(() => {
  now = at(1_000);
  blockedSince = undefined;
  lines = [];
  turnEnds = [];
  const ctx = {
    ...makeContext({ clock: { ...createClock(), now: () => now } }),
    logger: createLogger({ write: (line) => lines.push(line) }),
  };
  intake = createIntake(ctx, {
    atEndOfTurn: (done) => turnEnds.push(done),
    blockedSince: () => blockedSince,
  });
});

/** Lets the current turn of the event loop take `ms` and end. */
function endTurn(ms: number): void {
  now = later(now, ms);
  for (const done of turnEnds.splice(0)) done();
}

function waitedMs(socket: Socket): number {
  return now - intake.noteRequest(socket);
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
    const sockets = Array.from({ length: 40 }, () => new Socket());
    for (const socket of sockets) {
      intake.noteConnection(socket);
      endTurn(25);
    }
    expect(waitedMs(sockets[39] ?? new Socket())).toBe(1_000);
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
    for (let n = 0; n < 10; n++) {
      const socket = new Socket();
      intake.noteConnection(socket);
      endTurn(60);
      waitedMs(socket);
    }
    endTurn(0);
    endTurn(0);
    expect(lines.filter((line) => line.includes('requests were read late'))).toHaveLength(1);
    expect(lines.join()).toContain('"longestMs":600');
  });
});

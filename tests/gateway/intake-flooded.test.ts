import { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';

import { createClock } from '../../src/adapters/runtime';
import { createIntake } from '../../src/app/gateway/intake';
import { acceptLimitMs } from '../../src/core/gateway/overload';
import { later } from '../../src/core/ids';
import { at, makeContext } from './support';

/** Of each request; twice as much arrives as can be served. */
const WORK_MS = 20;

describe('a daemon with more new connections than turns', () => {
  // Guards against requests on kept connections that starve while the daemon closes new ones.
  it('works on 150 requests a second beside a connection in each turn', () => {
    let now = at(1_000);
    const turnEnds: (() => void)[] = [];
    const intake = createIntake(makeContext({ clock: { ...createClock(), now: () => now } }), {
      atEndOfTurn: (done) => turnEnds.push(done),
      blockedSince: () => undefined,
    });
    const state = { isClosing: false };
    intake.saturated.subscribe((next) => (state.isClosing = next));
    const kept = new Socket();
    const startedAt = now;
    const counts = { read: 0, served: 0, refused: 0 };
    const serve = (): void => {
      counts.served += 1;
      now = later(now, 4);
    };
    const refuse = (): void => {
      counts.refused += 1;
    };
    while (now < later(startedAt, 3_000)) {
      for (; counts.read < (now - startedAt) * 0.15; counts.read++)
        intake.take(kept, { startWithinMs: 600, serve, refuse });
      const isFlooded = now >= later(startedAt, 500);
      if (isFlooded && state.isClosing) intake.noteDropped();
      else if (isFlooded) intake.noteConnection(new Socket());
      now = later(now, 1);
      turnEnds.shift()?.();
    }
    expect(counts.served).toBeGreaterThan(0.9 * counts.read);
  });

  // Guards against callers who hang on unread while more requests come over kept connections than can be served.
  it('closes those first that wait for long', () => {
    const state = { isSaturated: true, hasKept: true };
    const limits = [0, 90, 150].map((acceptedAfterMs) =>
      acceptLimitMs({ ...state, acceptedAfterMs }),
    );
    expect(limits).toEqual([8, 8, 80]);
  });

  // Guards against a daemon that closes unread what waits in its listener when the listener is about to close.
  it.each([0, 1_000])(
    'closes none unread at the end of a stop, %i ms after the first',
    (stopMs) => {
      let now = at(1_000);
      const turnEnds: (() => void)[] = [];
      const intake = createIntake(makeContext({ clock: { ...createClock(), now: () => now } }), {
        atEndOfTurn: (done) => turnEnds.push(done),
        blockedSince: () => undefined,
      });
      const closedAt: number[] = [];
      const counts = { read: 0, served: 0 };
      const serve = (): void => {
        counts.served += 1;
        now = later(now, WORK_MS);
      };
      const state = { isClosing: false };
      intake.saturated.subscribe((next) => (state.isClosing = next));
      for (let ms = 0; ms < 1_500 || counts.served < counts.read; ms += 10) {
        if (ms === stopMs) intake.acceptLast();
        if (state.isClosing) closedAt.push(ms);
        else if (ms < 1_500) {
          const socket = new Socket();
          intake.noteConnection(socket);
          intake.take(socket, { startWithinMs: 5_000, serve, refuse: () => undefined });
          counts.read += 1;
        }
        now = later(now, 10);
        turnEnds.shift()?.();
      }
      expect(closedAt.filter((ms) => ms >= stopMs)).toEqual([]);
      expect(closedAt.length > 0).toBe(stopMs > 0);
    },
  );
});

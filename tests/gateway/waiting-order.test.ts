import { describe, expect, it } from 'vitest';

import { createRandom } from '../../src/adapters/runtime';
import { compareWaiting, smoothHoldMs } from '../../src/core/gateway/waiting-order';
import type { WaitingRequest } from '../../src/core/gateway/waiting-order';
import type { MonoTime } from '../../src/core/ids';
import { at } from './support';

const OBJECTIVE_MS = 400;

function request(arrivedAt: number, more: Partial<WaitingRequest> = {}): WaitingRequest {
  return {
    priority: 1,
    arrivedAt: at(arrivedAt),
    onTimeUntil: at(arrivedAt + OBJECTIVE_MS),
    holdMs: 1_000,
    ...more,
  };
}

describe('of two waiting requests', () => {
  it('the one of higher priority goes first if both are on time or both late, however long', () => {
    const urgent = request(800, { priority: 0, holdMs: 9_000 });
    expect(compareWaiting(urgent, request(700), at(1_000))).toBeLessThan(0);
    expect(compareWaiting(urgent, request(700), at(2_000))).toBeLessThan(0);
  });

  // Guards against late answers, worth a quarter of one on time, at the cost of answers on time.
  it('one that can still be on time goes before a late one, also a more urgent one', () => {
    expect(compareWaiting(request(700), request(0), at(1_000))).toBeLessThan(0);
    const urgent = request(0, { priority: 0 });
    expect(compareWaiting(request(700), urgent, at(1_000))).toBeLessThan(0);
  });

  it('a short one goes before a long one that arrived slightly earlier, but not before one that arrived much earlier', () => {
    const short = request(200, { holdMs: 0 });
    expect(compareWaiting(short, request(150), at(300))).toBeLessThan(0);
    expect(compareWaiting(request(200, { holdMs: 0 }), request(50), at(300))).toBeGreaterThan(0);
  });

  it('late ones go in order of arrival', () => {
    const short = request(200, { holdMs: 0 });
    expect(compareWaiting(short, request(50), at(2_000))).toBeGreaterThan(0);
  });
});

type Compare = (a: WaitingRequest, b: WaitingRequest, now: MonoTime) => number;

const LONG_MS = 1_800;
const SHORT_MS = 400;

/** Offers long and short requests at 1.3 times the capacity of 36 slots for 60 s; counts those on time, by kind. */
function countOnTime(compare: Compare): Readonly<Record<'long' | 'short', number>> {
  const random = createRandom(7);
  const onTime = { long: 0, short: 0 };
  let waiting: WaitingRequest[] = [];
  let slotEnds: number[] = [];
  for (let now = 0; now < 60_000; now += 10) {
    slotEnds = slotEnds.filter((end) => end > now);
    if (random.next() < 0.2) waiting.push(request(now, { holdMs: LONG_MS }));
    if (random.next() < 0.27) waiting.push(request(now, { holdMs: SHORT_MS }));
    waiting.sort((a, b) => compare(a, b, at(now)));
    for (const { holdMs, onTimeUntil } of waiting.splice(0, 36 - slotEnds.length)) {
      slotEnds.push(now + holdMs);
      if (now < onTimeUntil) onTime[holdMs === LONG_MS ? 'long' : 'short'] += 1;
    }
    waiting = waiting.filter(({ arrivedAt }) => now < arrivedAt + 1_300);
  }
  return onTime;
}

describe('requests of two lengths at overload', () => {
  const inOrderOfArrival: Compare = (a, b, now) => {
    const late = Number(now >= a.onTimeUntil) - Number(now >= b.onTimeUntil);
    return late || a.arrivedAt - b.arrivedAt;
  };

  it('are on time more often than in order of arrival, without starving the long ones', () => {
    const before = countOnTime(inOrderOfArrival);
    const after = countOnTime(compareWaiting);
    expect(after.long + after.short).toBeGreaterThan(1.1 * (before.long + before.short));
    expect(after.long).toBeGreaterThan(0.85 * before.long);
  });
});

describe('the mean holding time', () => {
  it('starts at the first sample and follows later ones', () => {
    expect(smoothHoldMs(undefined, 500)).toBe(500);
    expect(smoothHoldMs(500, 1_500)).toBe(600);
  });
});

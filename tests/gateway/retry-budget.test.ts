import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createFleetBudget, noteFirstSend, takeRetry } from '../../src/core/gateway/retry-budget';
import type { FleetAllowance } from '../../src/core/gateway/retry-budget';
import { at } from './support';

const ALLOWANCE: FleetAllowance = { ratio: 0.2, slack: 40, windowMs: 10_000, daemons: 4 };

interface Step {
  readonly ms: number;
  readonly isFirst: boolean;
}

/** Times of first attempts and of permitted retries; each step that is no first attempt asks for a retry. */
function simulate(steps: readonly Step[], allowance: FleetAllowance, startedAt: number) {
  let budget = createFleetBudget(at(startedAt));
  let now = 0;
  const firsts: number[] = [];
  const retries: number[] = [];
  for (const { ms, isFirst } of steps) {
    now += ms;
    if (isFirst) {
      budget = noteFirstSend(budget, allowance, at(now));
      firsts.push(now);
      continue;
    }
    const taken = takeRetry(budget, allowance, at(now));
    if (!taken) continue;
    budget = taken;
    retries.push(now);
  }
  return { firsts, retries };
}

describe('the retry budget of one daemon', () => {
  it('allows its part of half the fixed number at once, a window after its start', () => {
    let budget = createFleetBudget(at(-ALLOWANCE.windowMs));
    let taken = 0;
    for (let next = takeRetry(budget, ALLOWANCE, at(0)); next;) {
      taken += 1;
      budget = next;
      next = takeRetry(budget, ALLOWANCE, at(0));
    }
    expect(taken).toBe(5);
  });

  it('is empty when its process starts, and grows with its requests', () => {
    let budget = createFleetBudget(at(0));
    expect(takeRetry(budget, ALLOWANCE, at(0))).toBeUndefined();
    for (let n = 0; n < 5; n++) budget = noteFirstSend(budget, ALLOWANCE, at(0));
    expect(takeRetry(budget, ALLOWANCE, at(0))).toBeDefined();
  });

  it('stays within the allowance of the fleet when most daemons restart', () => {
    const fleet: FleetAllowance = { ratio: 0.2, slack: 350, windowMs: 10_000, daemons: 83 };
    let retries = 0;
    let firsts = 0;
    for (let daemon = 0; daemon < 83; daemon++) {
      // Each daemon is killed once in the window and asks for a retry after every second request.
      for (const [from, to] of [
        [0, 4_000],
        [4_500, 10_000],
      ] as const) {
        let budget = createFleetBudget(at(from === 0 ? -fleet.windowMs : from));
        for (let now = from; now < to; now += 180) {
          budget = noteFirstSend(budget, fleet, at(now));
          firsts += 1;
          const taken = firsts % 2 === 0 ? takeRetry(budget, fleet, at(now)) : undefined;
          if (!taken) continue;
          budget = taken;
          retries += 1;
        }
      }
    }
    expect(retries).toBeLessThanOrEqual(0.2 * firsts + 350);
  });

  /** One of 195 daemons, with four or five requests per second; its part of the fixed number is below two. */
  const LARGE_FLEET: FleetAllowance = {
    ratio: 0.15,
    burstRatio: 0.04,
    slack: 350,
    windowMs: 10_000,
    daemons: 195,
  };

  it('allows two or three retries at once in a large fleet, when a group is lost', () => {
    let budget = createFleetBudget(at(0));
    for (let now = 0; now < 20_000; now += 225) {
      budget = noteFirstSend(budget, LARGE_FLEET, at(now));
    }
    let taken = 0;
    for (let next = takeRetry(budget, LARGE_FLEET, at(20_000)); next;) {
      taken += 1;
      next = takeRetry(next, LARGE_FLEET, at(20_000));
    }
    expect(taken).toBeGreaterThanOrEqual(2);
    expect(taken).toBeLessThanOrEqual(3);
  });

  it('stays within the limit as users count it in a large fleet, even when requests cease', () => {
    const step = fc.record({ ms: fc.integer({ min: 0, max: 250 }), isFirst: fc.boolean() });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 600 }), (steps) => {
        const { firsts, retries } = simulate(steps, LARGE_FLEET, 0);
        const count = (times: readonly number[], from: number): number =>
          times.filter((time) => time >= from && time < from + LARGE_FLEET.windowMs).length;
        const part = LARGE_FLEET.slack / LARGE_FLEET.daemons;
        for (const start of retries) {
          const counted = [0, 0.5, 1].map((back) =>
            count(firsts, start - back * LARGE_FLEET.windowMs),
          );
          const allowed = Math.max(1, part) + 1 + 0.2 * Math.max(...counted);
          expect(count(retries, start)).toBeLessThanOrEqual(allowed);
        }
      }),
      { seed: 12, numRuns: 200 },
    );
  });

  it('stays within the allowance in every window, whatever the order of attempts', () => {
    const step = fc.record({ ms: fc.integer({ min: 0, max: 400 }), isFirst: fc.boolean() });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
        const { firsts, retries } = simulate(steps, ALLOWANCE, -ALLOWANCE.windowMs);
        for (const start of retries) {
          const inWindow = (time: number): boolean => time >= start && time < start + 10_000;
          const allowed = 10 + 1 + 0.2 * firsts.filter(inWindow).length;
          expect(retries.filter(inWindow).length).toBeLessThanOrEqual(allowed);
        }
      }),
      { seed: 11, numRuns: 200 },
    );
  });
});

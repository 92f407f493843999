import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { createFleetBudget, noteFirstSend, takeRetry } from '../../src/core/gateway/retry-budget';
import type { FleetAllowance } from '../../src/core/gateway/retry-budget';
import { at } from './support';

const ALLOWANCE: FleetAllowance = { ratio: 0.2, slack: 40, windowMs: 10_000, daemons: 4 };

describe('the retries of one daemon', () => {
  it('are its part of half the fixed number at once', () => {
    let budget = createFleetBudget(at(0), ALLOWANCE);
    let taken = 0;
    for (let next = takeRetry(budget, ALLOWANCE, at(0)); next;) {
      taken += 1;
      budget = next;
      next = takeRetry(budget, ALLOWANCE, at(0));
    }
    expect(taken).toBe(5);
  });

  it('stay inside the allowance in every window, whatever the order of sends', () => {
    const step = fc.record({ ms: fc.integer({ min: 0, max: 400 }), isFirst: fc.boolean() });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
        let budget = createFleetBudget(at(0), ALLOWANCE);
        let now = 0;
        const firsts: number[] = [];
        const retries: number[] = [];
        for (const { ms, isFirst } of steps) {
          now += ms;
          if (isFirst) {
            budget = noteFirstSend(budget, ALLOWANCE, at(now));
            firsts.push(now);
            continue;
          }
          const taken = takeRetry(budget, ALLOWANCE, at(now));
          if (!taken) continue;
          budget = taken;
          retries.push(now);
        }
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

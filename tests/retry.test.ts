/** Retry decisions, the retry budget, and the outcome reported without an answer. */

import { describe, expect, it } from 'vitest';

import type { MonoTime } from '../src/core/ids';
import { combineExposure, outcomeWithoutAnswer } from '../src/core/outcome';
import { createBudget, deposit, tryWithdraw } from '../src/core/retry/budget';
import { decideRetry, retryDelayMs } from '../src/core/retry/decide';
import type { AttemptFailure, RetryFacts } from '../src/core/retry/decide';

const DELAYS = { firstMs: 20, maxMs: 1_000 };
const CTX = { now: 0 as MonoTime, random: 0.5, withdraw: () => true };

function facts(failure: AttemptFailure, more: Partial<RetryFacts> = {}): RetryFacts {
  const limits = { attempts: 1, maxAttempts: 4, deadline: 10_000 as MonoTime };
  return { failure, repeatable: true, started: false, ...limits, ...more };
}

const decide = (...args: Parameters<typeof facts>) => decideRetry(facts(...args), DELAYS, CTX).kind;

describe('retry decisions', () => {
  it.each([
    ['not-sent', 'again', 'again'],
    ['refused', 'again', 'again'],
    ['wrong-group', 'again', 'again'],
    ['lost', 'again', 'stop'],
    ['bad-answer', 'again', 'stop'],
    ['given-up', 'stop', 'stop'],
  ] as const)('after %s: %s if repeatable, %s if not', (failure, repeatable, once) => {
    expect(decide(failure)).toBe(repeatable);
    expect(decide(failure, { repeatable: false })).toBe(once);
  });

  it('never retries once the caller has a part of the answer', () => {
    expect(decide('lost', { started: true })).toBe('stop');
  });

  it('stops at the number of attempts and at the deadline', () => {
    expect(decide('refused', { attempts: 4 })).toBe('stop');
    expect(decide('refused', { deadline: 10 as MonoTime })).toBe('stop');
  });

  it('withdraws nothing from the budget for a retry that adds no load or is not allowed', () => {
    let withdrawn = 0;
    const ctx = { ...CTX, withdraw: () => (withdrawn += 1) > 0 };
    decideRetry(facts('not-sent'), DELAYS, ctx);
    decideRetry(facts('lost', { repeatable: false }), DELAYS, ctx);
    expect(withdrawn).toBe(0);
    decideRetry(facts('lost'), DELAYS, ctx);
    expect(withdrawn).toBe(1);
  });

  it('backs off exponentially up to a limit, with jitter in the second half', () => {
    const delays = [1, 2, 3, 10].map((attempts) => retryDelayMs(attempts, DELAYS, 0));
    expect(delays).toEqual([10, 20, 40, 500]);
    expect(retryDelayMs(1, DELAYS, 0.999)).toBeLessThan(20);
  });
});

describe('retry budget', () => {
  it('allows its share of the requests, however many fail', () => {
    let budget = createBudget({ share: 0.1, burst: 5 });
    let allowed = 0;
    for (let i = 0; i < 1_000; i += 1) {
      budget = deposit(budget);
      const remaining = tryWithdraw(budget);
      if (remaining === undefined) continue;
      budget = remaining;
      allowed += 1;
    }
    expect(allowed).toBeLessThanOrEqual(105);
    expect(allowed).toBeGreaterThanOrEqual(100);
  });
});

describe('outcome', () => {
  it('is not-run only if no attempt may have run', () => {
    expect(outcomeWithoutAnswer(combineExposure('none', 'refused')).kind).toBe('not-run');
    expect(outcomeWithoutAnswer(combineExposure('exposed', 'none')).kind).toBe('unknown');
    expect(outcomeWithoutAnswer(combineExposure('refused', 'exposed')).kind).toBe('unknown');
  });
});

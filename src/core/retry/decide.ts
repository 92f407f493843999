/** What may be tried again, and when. */

import { later } from '../ids';
import type { MonoTime } from '../ids';
import type { Exposure } from '../outcome';

/**
 * How an attempt failed.
 *
 * - `not-sent`: no byte left, as when no connection could be made.
 * - `refused`: the backend server said that it did not run it.
 * - `wrong-group`: refused, since the server belongs to another group or epoch by now.
 * - `lost`: sent, and the connection broke or the answer was not whole.
 * - `bad-answer`: an answer came that is not this attempt's, or an error of the server's own.
 * - `given-up`: the caller went away or the deadline passed.
 */
export type AttemptFailure =
  'not-sent' | 'refused' | 'wrong-group' | 'lost' | 'bad-answer' | 'given-up';

/** What an attempt that failed so means for the submission's exposure. */
export const EXPOSURE_BY_FAILURE: Readonly<Record<Exclude<AttemptFailure, 'given-up'>, Exposure>> =
  {
    'not-sent': 'none',
    refused: 'refused',
    'wrong-group': 'refused',
    lost: 'exposed',
    'bad-answer': 'exposed',
  };

/** How each failure is treated. */
interface RetryRule {
  readonly again: 'always' | 'if-repeatable' | 'never';
  /** Whether another attempt adds load to backend servers and so comes out of the budget. */
  readonly costs: boolean;
}

const RULES: Readonly<Record<AttemptFailure, RetryRule>> = {
  'not-sent': { again: 'always', costs: false },
  refused: { again: 'always', costs: true },
  'wrong-group': { again: 'always', costs: false },
  lost: { again: 'if-repeatable', costs: true },
  'bad-answer': { again: 'if-repeatable', costs: true },
  'given-up': { again: 'never', costs: false },
};

/** What is known when an attempt has failed. */
export interface RetryFacts {
  readonly failure: AttemptFailure;
  /** Whether running it twice does no harm. */
  readonly repeatable: boolean;
  /** Whether the caller has got a part of the answer. */
  readonly started: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  readonly maxAttempts: number;
  readonly deadline: MonoTime;
}

export interface RetryContext {
  readonly now: MonoTime;
  /** In [0, 1). */
  readonly chance: number;
  /** Takes one further attempt out of the budget; false if none is left. */
  readonly withdraw: () => boolean;
}

export interface RetryDelays {
  readonly firstMs: number;
  readonly maxMs: number;
}

export type RetryDecision =
  | { readonly kind: 'again'; readonly at: MonoTime }
  | { readonly kind: 'stop'; readonly why: 'not-allowed' | 'attempts' | 'deadline' | 'budget' };

/** Half of the delay is fixed and half is left to chance, so that callers do not come in step. */
export function retryDelayMs(attempts: number, delays: RetryDelays, chance: number): number {
  const grown = Math.min(delays.maxMs, delays.firstMs * 2 ** (attempts - 1));
  return grown * (0.5 + chance / 2);
}

function isAllowed(rule: RetryRule, facts: RetryFacts): boolean {
  if (facts.started || rule.again === 'never') return false;
  return rule.again === 'always' || facts.repeatable;
}

/** Decides on another attempt. The budget is asked last, so that nothing is withdrawn in vain. */
export function decideRetry(
  facts: RetryFacts,
  delays: RetryDelays,
  ctx: RetryContext,
): RetryDecision {
  const rule = RULES[facts.failure];
  if (!isAllowed(rule, facts)) return { kind: 'stop', why: 'not-allowed' };
  if (facts.attempts >= facts.maxAttempts) return { kind: 'stop', why: 'attempts' };
  const at = later(ctx.now, retryDelayMs(facts.attempts, delays, ctx.chance));
  if (at >= facts.deadline) return { kind: 'stop', why: 'deadline' };
  if (rule.costs && !ctx.withdraw()) return { kind: 'stop', why: 'budget' };
  return { kind: 'again', at };
}

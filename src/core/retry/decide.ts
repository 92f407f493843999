/** Decides whether a failed attempt is retried, and when. */

import { later } from '../ids';
import type { MonoTime } from '../ids';
import type { Exposure } from '../outcome';

/**
 * How an attempt failed.
 *
 * - `not-sent`: no byte was sent, for example because no connection could be made.
 * - `refused`: the backend server reported that it did not run the request.
 * - `wrong-group`: refused because the server now belongs to another group or epoch.
 * - `lost`: sent, but the connection broke or the answer was incomplete.
 * - `bad-answer`: the answer belongs to another attempt or reports a server error.
 * - `given-up`: the caller disconnected or the deadline passed.
 */
export type AttemptFailure =
  'not-sent' | 'refused' | 'wrong-group' | 'lost' | 'bad-answer' | 'given-up';

/** Whether a request may have run on a backend server, by how its attempt failed. */
export const EXPOSURE_BY_FAILURE: Readonly<Record<Exclude<AttemptFailure, 'given-up'>, Exposure>> =
  {
    'not-sent': 'none',
    refused: 'refused',
    'wrong-group': 'refused',
    lost: 'exposed',
    'bad-answer': 'exposed',
  };

/** Retry rule of one kind of failure. */
interface RetryRule {
  readonly retry: 'always' | 'if-repeatable' | 'never';
  /** Whether another attempt adds load to backend servers and so needs the retry budget. */
  readonly usesBudget: boolean;
}

const RULES: Readonly<Record<AttemptFailure, RetryRule>> = {
  'not-sent': { retry: 'always', usesBudget: false },
  refused: { retry: 'always', usesBudget: true },
  'wrong-group': { retry: 'always', usesBudget: false },
  lost: { retry: 'if-repeatable', usesBudget: true },
  'bad-answer': { retry: 'if-repeatable', usesBudget: true },
  'given-up': { retry: 'never', usesBudget: false },
};

/** A failed attempt and its request. */
export interface RetryFacts {
  readonly failure: AttemptFailure;
  /** Whether the request may safely run twice. */
  readonly repeatable: boolean;
  /** Whether a part of the answer was already sent to the caller. */
  readonly started: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  readonly maxAttempts: number;
  readonly deadline: MonoTime;
}

/** Time, randomness and budget of a decision. */
export interface RetryContext {
  readonly now: MonoTime;
  /** Random number in [0, 1) for the jitter of the delay. */
  readonly random: number;
  /** Withdraws one retry from the budget; false if it is exhausted. */
  readonly withdraw: () => boolean;
}

/** Bounds of the exponential backoff, milliseconds. */
export interface RetryDelays {
  readonly firstMs: number;
  readonly maxMs: number;
}

/** Retry at `at`, or the reason not to. */
export type RetryDecision =
  | { readonly kind: 'again'; readonly at: MonoTime }
  | { readonly kind: 'stop'; readonly why: 'not-allowed' | 'attempts' | 'deadline' | 'budget' };

/** Exponential backoff, milliseconds; half of it is random, so that retries do not synchronise. */
export function retryDelayMs(attempts: number, delays: RetryDelays, random: number): number {
  const backoffMs = Math.min(delays.maxMs, delays.firstMs * 2 ** (attempts - 1));
  return backoffMs * (0.5 + random / 2);
}

function isAllowed(rule: RetryRule, facts: RetryFacts): boolean {
  if (facts.started || rule.retry === 'never') return false;
  return rule.retry === 'always' || facts.repeatable;
}

/** Decides on a retry. The budget is checked last, so that only a retry that happens uses it. */
export function decideRetry(
  facts: RetryFacts,
  delays: RetryDelays,
  ctx: RetryContext,
): RetryDecision {
  const rule = RULES[facts.failure];
  if (!isAllowed(rule, facts)) return { kind: 'stop', why: 'not-allowed' };
  if (facts.attempts >= facts.maxAttempts) return { kind: 'stop', why: 'attempts' };
  const at = later(ctx.now, retryDelayMs(facts.attempts, delays, ctx.random));
  if (at >= facts.deadline) return { kind: 'stop', why: 'deadline' };
  if (rule.usesBudget && !ctx.withdraw()) return { kind: 'stop', why: 'budget' };
  return { kind: 'again', at };
}

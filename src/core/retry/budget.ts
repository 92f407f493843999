/**
 * Retry budget: limits retries to a share of accepted requests, so that a failure that hits many
 * requests at once cannot multiply the load. Each accepted request deposits a fraction of a token;
 * each retry withdraws one.
 */

/** Limits of a retry budget. */
export interface BudgetOptions {
  /** Tokens deposited by each accepted request; 0.1 allows one retry per ten requests. */
  readonly share?: number;
  /** Maximum number of tokens. */
  readonly burst?: number;
}

/** State of a retry budget: a token bucket that requests refill. */
export interface RetryBudget {
  readonly share: number;
  readonly burst: number;
  readonly tokens: number;
}

const DEFAULTS = { share: 0.1, burst: 20 } as const;

/** Starts full, so that the first failures after a process start can be retried. */
export function createBudget(options: BudgetOptions = {}): RetryBudget {
  const { share, burst } = { ...DEFAULTS, ...options };
  return { share, burst, tokens: burst };
}

/** Deposits the tokens of one accepted request. */
export function deposit(budget: RetryBudget): RetryBudget {
  return { ...budget, tokens: Math.min(budget.burst, budget.tokens + budget.share) };
}

/** Withdraws the token of one retry; `undefined` if there is none. */
export function tryWithdraw(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens < 1 ? undefined : { ...budget, tokens: budget.tokens - 1 };
}

/**
 * Retry budget: further attempts as a share of accepted requests, so that a failure that hits many
 * requests at once cannot multiply the load. Each accepted request pays in a share of one attempt;
 * each further attempt takes one out.
 */

export interface BudgetOptions {
  /** Paid in by each accepted request; 0.1 allows one further attempt per ten requests. */
  readonly share?: number;
  /** Most that can be saved up. */
  readonly burst?: number;
}

export interface RetryBudget {
  readonly share: number;
  readonly burst: number;
  readonly tokens: number;
}

const DEFAULTS = { share: 0.1, burst: 20 } as const;

/** Starts full, so that the first failures of a new process may be tried again. */
export function createBudget(options: BudgetOptions = {}): RetryBudget {
  const { share, burst } = { ...DEFAULTS, ...options };
  return { share, burst, tokens: burst };
}

export function deposit(budget: RetryBudget): RetryBudget {
  return { ...budget, tokens: Math.min(budget.burst, budget.tokens + budget.share) };
}

/** Undefined if nothing is left to take. */
export function tryWithdraw(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens < 1 ? undefined : { ...budget, tokens: budget.tokens - 1 };
}

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
  readonly saved: number;
}

const DEFAULTS = { share: 0.1, burst: 20 } as const;

/** Starts full, so that the first failures of a new process may be tried again. */
export function createBudget(options: BudgetOptions = {}): RetryBudget {
  const { share, burst } = { ...DEFAULTS, ...options };
  return { share, burst, saved: burst };
}

export function payIn(budget: RetryBudget): RetryBudget {
  return { ...budget, saved: Math.min(budget.burst, budget.saved + budget.share) };
}

/** Undefined if nothing is left to take. */
export function takeOut(budget: RetryBudget): RetryBudget | undefined {
  return budget.saved < 1 ? undefined : { ...budget, saved: budget.saved - 1 };
}

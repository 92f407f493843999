/** Dependencies and shared state of the request plane's modules. */

import type { RetryBudget } from '../../core/retry/budget';
import { createBudget, deposit, tryWithdraw } from '../../core/retry/budget';
import type { DaemonId } from '../../core/ids';
import type { Upstream } from '../../adapters/upstream/upstream';
import type { ObjectStore, Table } from '../../ports/platform';
import type { Clock, Logger, Random } from '../../ports/runtime';
import type { Metrics, Tracer } from '../../ports/telemetry';
import type { ConfigView, Gossip, GroupView } from '../parts';
import type { RequestSettings } from './settings';

/** What the request plane needs from the rest of the daemon. */
export interface RequestDeps {
  readonly self: DaemonId;
  readonly config: ConfigView;
  readonly groups: GroupView;
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly gossip: Gossip;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracer: Tracer;
  /** Number of live daemons, including this one, for splitting limits that all daemons share. */
  readonly daemonCount?: () => number;
  readonly settings?: Partial<RequestSettings>;
}

/** Retry budgets by model or service. */
export interface RetryBudgets {
  /** Credits the budget for a new request. */
  deposit(target: string): void;
  /** Withdraws one retry. Returns false if the budget is exhausted. */
  tryWithdraw(target: string): boolean;
}

/** Dependencies with complete settings, the upstream client and the retry budgets. */
export interface RequestContext extends Omit<RequestDeps, 'settings'> {
  readonly settings: RequestSettings;
  readonly upstream: Upstream;
  readonly retryBudgets: RetryBudgets;
}

/** Creates the retry budgets; the budget of a target is created on first use. */
export function createRetryBudgets(settings: RequestSettings): RetryBudgets {
  const budgets = new Map<string, RetryBudget>();
  const budgetOf = (target: string): RetryBudget =>
    budgets.get(target) ?? createBudget({ share: settings.retryRatio, burst: settings.retryBurst });
  return {
    deposit: (target) => {
      budgets.set(target, deposit(budgetOf(target)));
    },
    tryWithdraw: (target) => {
      const remaining = tryWithdraw(budgetOf(target));
      if (remaining !== undefined) budgets.set(target, remaining);
      return remaining !== undefined;
    },
  };
}

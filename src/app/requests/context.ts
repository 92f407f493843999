/** What the modules of the request plane share. */

import type { RetryBudget } from '../../core/retry/budget';
import { createBudget, deposit, tryWithdraw } from '../../core/retry/budget';
import type { DaemonId } from '../../core/ids';
import type { Upstream } from '../../adapters/upstream/upstream';
import type { ObjectStore, Table } from '../../ports/platform';
import type { Clock, Logger, Random } from '../../ports/runtime';
import type { Metrics, Tracer } from '../../ports/telemetry';
import type { ConfigView, Gossip, GroupView } from '../parts';
import type { RequestSettings } from './settings';

/** What the request plane needs of the rest of the daemon. */
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
  /** Daemons alive, this one included; for shares of common limits. */
  readonly daemonCount?: () => number;
  readonly settings?: Partial<RequestSettings>;
}

/** Retry budgets by model or service. */
export interface RetryBudgets {
  deposit(target: string): void;
  /** False if no further attempt is left. */
  tryWithdraw(target: string): boolean;
}

export interface RequestContext extends Omit<RequestDeps, 'settings'> {
  readonly settings: RequestSettings;
  readonly upstream: Upstream;
  readonly retryBudgets: RetryBudgets;
}

export function createRetryBudgets(settings: RequestSettings): RetryBudgets {
  const budgets = new Map<string, RetryBudget>();
  const budgetOf = (target: string): RetryBudget =>
    budgets.get(target) ?? createBudget({ share: settings.retryRatio, burst: settings.retryBurst });
  return {
    deposit: (target) => {
      budgets.set(target, deposit(budgetOf(target)));
    },
    tryWithdraw: (target) => {
      const left = tryWithdraw(budgetOf(target));
      if (left !== undefined) budgets.set(target, left);
      return left !== undefined;
    },
  };
}

/** What the modules of the request plane share. */

import type { RetryBudget } from '../../core/retry/budget';
import { createBudget, payIn, takeOut } from '../../core/retry/budget';
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
  readonly peerCount?: () => number;
  readonly settings?: Partial<RequestSettings>;
}

/** Retry budgets by model or service. */
export interface Budgets {
  payIn(target: string): void;
  /** False if no further attempt is left. */
  takeOut(target: string): boolean;
}

export interface RequestContext extends Omit<RequestDeps, 'settings'> {
  readonly settings: RequestSettings;
  readonly upstream: Upstream;
  readonly budgets: Budgets;
}

export function createBudgets(settings: RequestSettings): Budgets {
  const budgets = new Map<string, RetryBudget>();
  const budgetOf = (target: string): RetryBudget =>
    budgets.get(target) ?? createBudget({ share: settings.retryShare, burst: settings.retryBurst });
  return {
    payIn: (target) => {
      budgets.set(target, payIn(budgetOf(target)));
    },
    takeOut: (target) => {
      const left = takeOut(budgetOf(target));
      if (left !== undefined) budgets.set(target, left);
      return left !== undefined;
    },
  };
}

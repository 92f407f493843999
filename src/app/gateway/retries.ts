/** This daemon's share of the fleet's retry budget. */

import { createFleetBudget, noteFirstSend, takeRetry } from '../../core/gateway/retry-budget';
import type { FleetAllowance, FleetBudget } from '../../core/gateway/retry-budget';
import type { ServiceId } from '../../core/ids';
import type { GatewayContext } from './context';

export interface Retries {
  /** Notes a request that is sent to the service for the first time. */
  noteRequest(service: ServiceId): void;
  /** Whether `mayRetry` would return true. */
  hasRetry(service: ServiceId): boolean;
  /** Takes a retry from the budget; false if there is none. */
  mayRetry(service: ServiceId): boolean;
}

/**
 * Fraction of the budget that is used: daemons start and stop, and do not see each other's retries.
 */
const USED_SHARE = 0.75;
/** Fraction of the ratio that may accumulate from the requests of the last window. */
const BURST_SHARE = 0.2;

export function createRetries(ctx: GatewayContext, daemons: () => number): Retries {
  const budgets = new Map<ServiceId, FleetBudget>();
  const startedAt = ctx.clock.now();

  const allowance = (): FleetAllowance => {
    const { retryRatio, retrySlack, retryWindowMs } = ctx.tunables.value;
    return {
      ratio: retryRatio * USED_SHARE,
      burstRatio: retryRatio * BURST_SHARE,
      slack: retrySlack * USED_SHARE,
      windowMs: retryWindowMs,
      daemons: daemons(),
    };
  };

  const budgetOf = (service: ServiceId): FleetBudget =>
    budgets.get(service) ?? createFleetBudget(startedAt);

  return {
    noteRequest: (service) => {
      budgets.set(service, noteFirstSend(budgetOf(service), allowance(), ctx.clock.now()));
    },
    hasRetry: (service) => takeRetry(budgetOf(service), allowance(), ctx.clock.now()) !== undefined,
    mayRetry: (service) => {
      const updated = takeRetry(budgetOf(service), allowance(), ctx.clock.now());
      if (updated) budgets.set(service, updated);
      else ctx.logger.warn('retry budget spent', { step: 'retry', service });
      return updated !== undefined;
    },
  };
}

/** This daemon's part of the retries that the whole fleet may make. */

import { createFleetBudget, noteFirstSend, takeRetry } from '../../core/gateway/retry-budget';
import type { FleetAllowance, FleetBudget } from '../../core/gateway/retry-budget';
import type { ServiceId } from '../../core/ids';
import type { GatewayContext } from './context';

export interface Retries {
  /** A request is sent to the service for the first time. */
  noteRequest(service: ServiceId): void;
  /** Whether one further send may be made; counts it if so. */
  mayRetry(service: ServiceId): boolean;
}

/** Part of the allowance that is used: daemons come and go, and do not see each other's retries. */
const USED_SHARE = 0.75;
/** Part of the ratio that may be saved up from the requests of the last window. */
const CARRIED_SHARE = 0.2;

export function createRetries(ctx: GatewayContext, daemons: () => number): Retries {
  const budgets = new Map<ServiceId, FleetBudget>();
  const startedAt = ctx.clock.now();

  const allowance = (): FleetAllowance => {
    const { retryRatio, retrySlack, retryWindowMs } = ctx.tunables.value;
    return {
      ratio: retryRatio * USED_SHARE,
      burstRatio: retryRatio * CARRIED_SHARE,
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
    mayRetry: (service) => {
      const taken = takeRetry(budgetOf(service), allowance(), ctx.clock.now());
      if (taken) budgets.set(service, taken);
      else ctx.logger.warn('retry budget spent', { step: 'retry', service });
      return taken !== undefined;
    },
  };
}

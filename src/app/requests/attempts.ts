/** Retry loop: runs the attempts of a call one at a time until one succeeds or retries stop. */

import type { AttemptId, MonoTime } from '../../core/ids';
import { brandAs } from '../../core/ids';
import { combineExposure } from '../../core/outcome';
import type { Exposure } from '../../core/outcome';
import { EXPOSURE_BY_FAILURE, decideRetry } from '../../core/retry/decide';
import type { AttemptFailure, RetryDecision } from '../../core/retry/decide';
import type { StepError } from '../../utils/errors';
import type { RequestContext } from './context';
import type { DoneEnding, Ending, Failure } from './ending';
import { failedEnding } from './ending';
import type { Call } from './exchange';
import type { SendGuard } from './guard';
import { METRIC } from './names';
import { pause } from './pause';

/** An attempt that received a complete answer. */
export interface AttemptDone {
  readonly kind: 'done';
  readonly ending: DoneEnding;
}

/** An attempt that received no complete answer. */
export interface AttemptFailed extends Failure {
  readonly kind: 'failed';
  readonly failure: AttemptFailure;
  /** Whether part of the answer has reached the caller. */
  readonly started: boolean;
}

/** Outcome of one attempt. */
export type AttemptResult = AttemptDone | AttemptFailed;

/**
 * Creates a failed attempt, with the exposure that the failure implies. `given-up` is excluded: it
 * is set after an abort, and keeps the exposure of what had been sent.
 */
export function attemptFailed(
  failure: Exclude<AttemptFailure, 'given-up'>,
  error: StepError,
  started = false,
): AttemptFailed {
  return { kind: 'failed', failure, error, exposure: EXPOSURE_BY_FAILURE[failure], started };
}

/** How the attempts of a call are made; `T` is what one attempt is sent to. */
export interface AttemptPlan<T> {
  /** Model or service, for retry budgets and metrics. */
  readonly target: string;
  readonly repeatable: boolean;
  readonly guard: SendGuard;
  /** Selects the next destination, or states why there is none. `tried` holds the used keys. */
  readonly pick: (tried: ReadonlySet<string>) => Selection<T>;
  /** Makes one attempt at the destination. */
  readonly attempt: (destination: T, id: AttemptId) => Promise<AttemptResult>;
}

/** A selected destination with the key that marks it as tried, or the reason for none. */
export type Selection<T> =
  | { readonly kind: 'place'; readonly key: string; readonly destination: T }
  | { readonly kind: 'none'; readonly failure: Failure };

function decide<T>(
  ctx: RequestContext,
  call: Call,
  plan: AttemptPlan<T>,
  attempts: number,
  failed: AttemptFailed,
): RetryDecision {
  const { maxAttempts, retryDelayMs, maxRetryDelayMs } = ctx.settings;
  const { failure, started } = failed;
  const facts = { failure, started, attempts, maxAttempts, repeatable: plan.repeatable };
  return decideRetry(
    { ...facts, deadline: call.options.deadline },
    { firstMs: retryDelayMs, maxMs: maxRetryDelayMs },
    {
      now: ctx.clock.now(),
      random: ctx.random.next(),
      withdraw: () => ctx.retryBudgets.tryWithdraw(plan.target),
    },
  );
}

/** State of a call between its attempts. */
interface Progress {
  readonly tried: ReadonlySet<string>;
  readonly attempts: number;
  readonly exposure: Exposure;
  readonly lastError: StepError | undefined;
}

const NO_PROGRESS: Progress = {
  tried: new Set(),
  attempts: 0,
  exposure: 'none',
  lastError: undefined,
};

/** Builds the failure of the call: the given error with the combined exposure of all attempts. */
function summarise(progress: Progress, failure: Failure): Ending {
  return failedEnding({
    error: failure.error,
    exposure: combineExposure(progress.exposure, failure.exposure),
    retryAt: failure.retryAt,
  });
}

function advance(progress: Progress, key: string, failed: AttemptFailed): Progress {
  return {
    tried: new Set([...progress.tried, key]),
    attempts: progress.attempts + 1,
    exposure: combineExposure(progress.exposure, failed.exposure),
    lastError: failed.error,
  };
}

async function waitUntil(ctx: RequestContext, call: Call, at: MonoTime): Promise<void> {
  await pause(at - ctx.clock.now(), call.exchange.gone);
}

/** Runs attempts until one succeeds, a retry is not allowed, or no destination is left. */
export async function runAttempts<T>(
  ctx: RequestContext,
  call: Call,
  plan: AttemptPlan<T>,
): Promise<Ending> {
  ctx.retryBudgets.deposit(plan.target);
  let progress = NO_PROGRESS;
  for (;;) {
    const picked = plan.pick(progress.tried);
    if (picked.kind === 'none') {
      // When every destination was tried, the last attempt's error is more useful than `no-group`.
      const isExhausted = picked.failure.error.code === 'no-group';
      const error = (isExhausted ? progress.lastError : undefined) ?? picked.failure.error;
      return summarise(progress, { ...picked.failure, error });
    }
    const id = brandAs<AttemptId>(`${call.exchange.id}.${progress.attempts + 1}`);
    ctx.metrics.count(METRIC.attempts, { target: plan.target });
    const result = await plan.attempt(picked.destination, id);
    if (result.kind === 'done') return result.ending;
    plan.guard.onFailed(result.failure);
    const decision = decide(ctx, call, plan, progress.attempts + 1, result);
    progress = advance(progress, picked.key, result);
    if (decision.kind === 'stop') return summarise(progress, result);
    ctx.metrics.count(METRIC.retries, { target: plan.target, failure: result.failure });
    await waitUntil(ctx, call, decision.at);
  }
}

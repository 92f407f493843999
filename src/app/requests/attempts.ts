/** The attempts of one submission, one after the other, until one gives an ending. */

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

/** An attempt that gave a whole answer. */
export interface AttemptDone {
  readonly kind: 'done';
  readonly ending: DoneEnding;
}

/** An attempt that did not. */
export interface AttemptFailed extends Failure {
  readonly kind: 'failed';
  readonly failure: AttemptFailure;
  /** Whether the caller has got a part of the answer. */
  readonly started: boolean;
}

export type AttemptResult = AttemptDone | AttemptFailed;

/** A failure of the attempt. What a caller that is gone or too late had sent stays exposed. */
export function attemptFailed(
  failure: Exclude<AttemptFailure, 'given-up'>,
  error: StepError,
  started = false,
): AttemptFailed {
  return { kind: 'failed', failure, error, exposure: EXPOSURE_BY_FAILURE[failure], started };
}

/** How one kind of call is sent. */
export interface AttemptPlan<T> {
  /** Model or service, for budgets and metrics. */
  readonly target: string;
  readonly repeatable: boolean;
  readonly guard: SendGuard;
  /** The next place to send to, or why there is none. */
  readonly pick: (tried: ReadonlySet<string>) => Selection<T>;
  readonly attempt: (place: T, id: AttemptId) => Promise<AttemptResult>;
}

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
    { ...facts, deadline: call.terms.deadline },
    { firstMs: retryDelayMs, maxMs: maxRetryDelayMs },
    {
      now: ctx.clock.now(),
      chance: ctx.random.next(),
      withdraw: () => ctx.retryBudgets.tryWithdraw(plan.target),
    },
  );
}

/** What is known of a submission between its attempts. */
interface Progress {
  readonly tried: ReadonlySet<string>;
  readonly attempts: number;
  readonly exposure: Exposure;
  readonly lastError: StepError | undefined;
}

const NOTHING_TRIED: Progress = {
  tried: new Set(),
  attempts: 0,
  exposure: 'none',
  lastError: undefined,
};

/** The failure of the whole submission: its last error, and the exposure of all attempts. */
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

/** Runs attempts until one is done or no further one is allowed. */
export async function runAttempts<T>(
  ctx: RequestContext,
  call: Call,
  plan: AttemptPlan<T>,
): Promise<Ending> {
  ctx.retryBudgets.deposit(plan.target);
  let progress = NOTHING_TRIED;
  for (;;) {
    const picked = plan.pick(progress.tried);
    if (picked.kind === 'none') {
      // Where nothing is left to try, the last attempt says more than that.
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

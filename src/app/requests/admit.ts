/** Pipeline of a parsed call: admission, then the claim if one is needed, then sending. */

import type { GuardedRun } from './at-most-once';
import { runAtMostOnce } from './at-most-once';
import type { RequestContext } from './context';
import type { RequestParts } from './request-parts';
import { refusedEnding } from './ending';
import type { Ending } from './ending';
import type { Call } from './exchange';
import type { GateRequest } from './admission-gate';
import { NOOP_GUARD } from './guard';
import { METRIC } from './names';

/** A call that is ready to be admitted. */
export interface ReadyCall extends GateRequest {
  /** Whether the backend server itself runs each idempotency key at most once. */
  readonly honoursKey: boolean;
  readonly run: GuardedRun;
}

/** Runs the call under a claim if it is not repeatable and has an idempotency key. */
function runWithClaim(
  ctx: RequestContext,
  parts: RequestParts,
  call: Call,
  { honoursKey, run }: ReadyCall,
): Promise<Ending> {
  const { repeatable, idempotencyKey } = call.options;
  if (repeatable || idempotencyKey === undefined) return run(NOOP_GUARD);
  return runAtMostOnce(ctx, parts.claims, call, idempotencyKey, run, { honoursKey });
}

/** Admits the call and runs it. If admission refuses it, the refusal is returned as the ending. */
export async function admitAndRun(
  ctx: RequestContext,
  parts: RequestParts,
  ready: ReadyCall,
): Promise<Ending> {
  const { call, target } = ready;
  const span = call.exchange.span.child('admission');
  const enteredAt = ctx.clock.now();
  const verdict = await parts.gate.enter(ready);
  const labels = { target, class: call.caller.class.name };
  ctx.metrics.observe(METRIC.queueing, ctx.clock.now() - enteredAt, labels);
  span.end(verdict.kind === 'refused' ? verdict.error.code : undefined);
  if (verdict.kind === 'refused') return refusedEnding(verdict.error, verdict.retryAt);
  try {
    return await runWithClaim(ctx, parts, call, ready);
  } finally {
    parts.gate.leave(call.exchange.id);
  }
}

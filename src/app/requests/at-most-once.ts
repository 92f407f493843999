/**
 * At-most-once execution by idempotency key: acquires the claim, runs the call, then records the
 * answer.
 */

import { later } from '../../core/ids';
import type { EpochTime } from '../../core/ids';
import type { ClaimRow } from '../../core/ledger/rows';
import type { ErrorCode } from '../../utils/errors';
import { fail } from '../../utils/errors';
import type { Claim, ClaimVerdict, Claims } from './claims';
import { bodyHashOf } from './claims';
import type { RequestContext } from './context';
import { failedEnding, refusedEnding } from './ending';
import type { Ending } from './ending';
import type { Call } from './exchange';
import type { SendGuard } from './guard';
import { NOOP_GUARD } from './guard';
import { pause } from './pause';
import { replayAnswer, storeAnswer } from './stored-answer';

type NotHeld = Extract<ClaimVerdict, { kind: 'not-held' }>;

/** Sends a call; the guard is checked before each send. */
export type GuardedRun = (guard: SendGuard) => Promise<Ending>;

const NOT_HELD_CODES: Readonly<Record<NotHeld['reason'], ErrorCode>> = {
  'store-unavailable': 'store-unavailable',
  'store-unknown': 'store-unknown',
  late: 'store-unavailable',
  overloaded: 'too-many-requests',
};

function defaultRetryAt(ctx: RequestContext): EpochTime {
  return later(ctx.clock.epoch(), ctx.settings.retryAfterMs);
}

function refuseNotHeld(ctx: RequestContext, { reason }: NotHeld): Ending {
  const message = `could not acquire the claim on the idempotency key: ${reason}`;
  return refusedEnding(
    fail(NOT_HELD_CODES[reason], message, { step: 'claim' }),
    defaultRetryAt(ctx),
  );
}

function keyReused(): Ending {
  const message = 'the idempotency key was already used for a different request';
  return refusedEnding(fail('key-reused', message, { step: 'claim' }));
}

/** The key's request is still running or its outcome is unknown, so this one must not run. */
function inProgress(ctx: RequestContext, row: ClaimRow): Ending {
  const isRunning = row.state === 'claimed' && ctx.clock.epoch() < row.deadlineAt;
  const message = isRunning
    ? 'a request with this idempotency key is in progress'
    : 'a request with this idempotency key was sent, but its answer is unknown';
  const error = fail('in-progress', message, { step: 'claim', peer: row.holder });
  return failedEnding({
    error,
    exposure: 'exposed',
    retryAt: isRunning ? defaultRetryAt(ctx) : undefined,
  });
}

function answerExisting(ctx: RequestContext, call: Call, row: ClaimRow): Promise<Ending> {
  if (row.bodyHash !== bodyHashOf(call)) return Promise.resolve(keyReused());
  if (row.state === 'finished') return replayAnswer(ctx, row.answer);
  return Promise.resolve(inProgress(ctx, row));
}

/** Records how the call ended. The answer is delayed until recorded, up to `recordTimeoutMs`. */
async function record(ctx: RequestContext, claim: Claim, ending: Ending): Promise<void> {
  if (ending.kind === 'failed') {
    claim.abort();
    return;
  }
  const recorded = storeAnswer(ctx, claim.objectKey, ending).then((answer) =>
    claim.recordAnswer(answer),
  );
  await Promise.race([recorded, pause(ctx.settings.recordTimeoutMs)]);
}

async function runClaimed(ctx: RequestContext, claim: Claim, run: GuardedRun): Promise<Ending> {
  const ending = await run(claim);
  await record(ctx, claim, ending);
  return ending;
}

/** Options of {@link runAtMostOnce}. */
export interface AtMostOnceOptions {
  /** The service itself runs each key at most once, so the call may be sent without a claim. */
  readonly honoursKey: boolean;
}

/** Runs the call, or, if its key was used before, returns what is known of that request. */
export async function runAtMostOnce(
  ctx: RequestContext,
  claims: Claims,
  call: Call,
  key: string,
  run: GuardedRun,
  { honoursKey }: AtMostOnceOptions,
): Promise<Ending> {
  const span = call.exchange.span.child('claim');
  const verdict = await claims.acquire(call, key);
  span.set('verdict', verdict.kind);
  span.end();
  if (verdict.kind === 'held') return runClaimed(ctx, verdict.claim, run);
  if (verdict.kind === 'not-held')
    return honoursKey ? run(NOOP_GUARD) : refuseNotHeld(ctx, verdict);
  const isUnresolved =
    verdict.row.state !== 'finished' && verdict.row.bodyHash === bodyHashOf(call);
  if (honoursKey && isUnresolved) return run(NOOP_GUARD);
  return answerExisting(ctx, call, verdict.row);
}

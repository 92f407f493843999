/** Runs a call at most once by its idempotency key: the claim first, then the call, then the record. */

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

/** Sends a call, guarded. */
export type GuardedRun = (guard: SendGuard) => Promise<Ending>;

const NOT_HELD_CODES: Readonly<Record<NotHeld['reason'], ErrorCode>> = {
  'store-unavailable': 'store-unavailable',
  'store-unknown': 'store-unknown',
  late: 'store-unavailable',
  overloaded: 'too-many-requests',
};

function comeBack(ctx: RequestContext): EpochTime {
  return later(ctx.clock.epoch(), ctx.settings.retryAfterMs);
}

function refuseNotHeld(ctx: RequestContext, { reason }: NotHeld): Ending {
  const message = `the claim on the key could not be had: ${reason}`;
  return refusedEnding(fail(NOT_HELD_CODES[reason], message, { step: 'claim' }), comeBack(ctx));
}

function keyReused(): Ending {
  const message = 'the key was used for another request';
  return refusedEnding(fail('key-reused', message, { step: 'claim' }));
}

/** The key's request is under way, or its fate is not known: this one must not run. */
function inProgress(ctx: RequestContext, row: ClaimRow): Ending {
  const isUnderWay = row.state === 'claimed' && ctx.clock.epoch() < row.deadlineAt;
  const message = isUnderWay
    ? 'the request with this key is under way'
    : 'the request with this key was sent, and no answer is known';
  const error = fail('in-progress', message, { step: 'claim', peer: row.holder });
  return failedEnding({
    error,
    exposure: 'exposed',
    retryAt: isUnderWay ? comeBack(ctx) : undefined,
  });
}

function answerExisting(ctx: RequestContext, call: Call, row: ClaimRow): Promise<Ending> {
  if (row.bodyHash !== bodyHashOf(call)) return Promise.resolve(keyReused());
  if (row.state === 'finished') return replayAnswer(ctx, row.answer);
  return Promise.resolve(inProgress(ctx, row));
}

/** Records how the call ended. An answer waits for its record, but not for long. */
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

export interface AtMostOnceOptions {
  /** The service itself runs a key only once, so that the call may go out without a claim. */
  readonly honoursKey: boolean;
}

/** Runs the call unless its key was used before; then gives what is known of that request. */
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
  const isLost = verdict.row.state !== 'finished' && verdict.row.bodyHash === bodyHashOf(call);
  if (honoursKey && isLost) return run(NOOP_GUARD);
  return answerExisting(ctx, call, verdict.row);
}

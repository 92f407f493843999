/** Claims on idempotency keys: runs the effects of the reducer in `core/ledger`. */

import { brandAs, later } from '../../core/ids';
import type { AttemptId } from '../../core/ids';
import { createClaim, stepClaim } from '../../core/ledger/claim';
import type {
  ClaimEffect,
  ClaimEvent,
  ClaimTerms,
  NotHeldReason,
} from '../../core/ledger/claim-types';
import type { ClaimRow, StoredAnswer } from '../../core/ledger/rows';
import { claimRowKey } from '../../core/ledger/rows';
import type { AttemptFailure } from '../../core/retry/decide';
import { hashParts } from '../../utils/common';
import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import type { Json } from '../../core/json';
import { readVersionedRow } from './claim-rows';
import type { ClaimWriter } from './claim-writer';
import type { RequestContext } from './context';
import type { Call } from './exchange';
import { createCapture } from './guard';
import type { SendGuard } from './guard';
import { METRIC } from './names';

/** Outcome of acquiring a claim. */
export type ClaimVerdict =
  | { readonly kind: 'held'; readonly claim: Claim }
  | { readonly kind: 'exists'; readonly row: ClaimRow }
  | { readonly kind: 'not-held'; readonly reason: NotHeldReason | 'overloaded' };

/** A held claim. Guards sending and records the outcome of the call. */
export interface Claim extends SendGuard {
  /** Object store key for an answer that is too large for the row. */
  readonly objectKey: string;
  /** Records the answer. Resolves once the record is written or writing has failed for now. */
  recordAnswer(answer: StoredAnswer): Promise<void>;
  /** Declares that nothing more will be sent. The row is settled in the background. */
  abort(): void;
}

/** Failures that guarantee that the request was not run. */
const NOT_RUN_FAILURES: ReadonlySet<AttemptFailure> = new Set(['refused', 'wrong-group']);

/** Hash that two submissions with the same key must share. */
export function bodyHashOf(call: Call): string {
  return hashParts(call.method, call.path, call.body);
}

function rowKeyOf(call: Call, key: string): string {
  return claimRowKey(call.caller.organisation.id, hashParts(key));
}

function claimTermsOf(ctx: RequestContext, call: Call): ClaimTerms {
  const { clock, settings, self } = ctx;
  const epoch = clock.epoch();
  return {
    attempt: brandAs<AttemptId>(call.exchange.id),
    holder: self,
    bodyHash: bodyHashOf(call),
    deadline: call.options.deadline,
    deadlineAt: call.options.deadlineAt,
    expiresAt: later(call.options.deadlineAt, settings.claimRetentionMs),
    releasedUntil: later(epoch, settings.releasedRetentionMs),
  };
}

/** Context in which the effects of one claim run. */
interface ClaimRun {
  readonly ctx: RequestContext;
  readonly writer: ClaimWriter;
  readonly rowKey: string;
  /** Applies an event and returns the effects that it caused. */
  readonly dispatch: (event: ClaimEvent) => readonly ClaimEffect[];
  readonly conclude: (verdict: 'held' | Exclude<ClaimVerdict, { kind: 'held' }>) => void;
  readonly onClosed: () => void;
}

type EffectHandlers = {
  readonly [K in ClaimEffect['kind']]: (
    run: ClaimRun,
    effect: Extract<ClaimEffect, { kind: K }>,
  ) => void;
};

async function readRow({ ctx, rowKey, dispatch }: ClaimRun): Promise<void> {
  const rows = await ctx.table.read([rowKey]);
  const seen = rows.isOk() ? readVersionedRow(rows.value[0]) : undefined;
  dispatch(seen === undefined ? { kind: 'unreadable' } : { kind: 'seen', seen });
}

const EFFECTS: EffectHandlers = {
  write: ({ writer, rowKey, dispatch }, { row, version }) => {
    // Rows are plain data: branded types exist only at compile time.
    const value = row as unknown as Json;
    void writer.write({ key: rowKey, version, value }).then(dispatch);
  },
  read: (run) => {
    void readRow(run);
  },
  wait: ({ ctx, dispatch }, { until }) => {
    setTimeout(() => dispatch({ kind: 'waited' }), until - ctx.clock.now()).unref();
  },
  held: ({ conclude }) => {
    conclude('held');
  },
  exists: ({ conclude }, { row }) => {
    conclude({ kind: 'exists', row });
  },
  'not-held': ({ conclude }, { reason }) => {
    conclude({ kind: 'not-held', reason });
  },
  closed: ({ ctx, rowKey, onClosed }, { settled }) => {
    onClosed();
    if (!settled)
      ctx.logger.warn('could not settle the claim row', { step: 'record', peer: rowKey });
  },
  'may-send': () => undefined,
  'must-not-send': () => undefined,
};

function runEffect(run: ClaimRun, effect: ClaimEffect): void {
  const handler = EFFECTS[effect.kind] as (run: ClaimRun, effect: ClaimEffect) => void;
  handler(run, effect);
}

/** Creates the held claim that attempts and the end of the request use. */
function claimOf(ctx: RequestContext, call: Call, run: ClaimRun, closed: Promise<void>): Claim {
  const expiredError = (): StepError =>
    fail('deadline-exceeded', 'the claim has expired and no longer permits sending', {
      step: 'send',
      peer: run.rowKey,
    });
  return {
    objectKey: `answers/${run.rowKey}/${call.exchange.id}`,
    beforeSend: () => {
      // The monotonic clock may not advance while the machine is suspended, so check wall time too.
      if (ctx.clock.epoch() >= call.options.deadlineAt) return expiredError();
      const allowed = run.dispatch({ kind: 'send' }).some(({ kind }) => kind === 'may-send');
      return allowed ? undefined : expiredError();
    },
    onFailed: (failure) => {
      if (NOT_RUN_FAILURES.has(failure)) run.dispatch({ kind: 'refused' });
    },
    capture: () => createCapture(ctx.settings.maxAnswerBytes),
    recordAnswer: (answer) => {
      run.dispatch({ kind: 'answered', answer });
      return closed;
    },
    abort: () => {
      run.dispatch({ kind: 'give-up' });
    },
  };
}

/** The claims of this daemon. */
export interface Claims {
  /** Acquires the claim on a key. Resolves as soon as the verdict is known. */
  acquire(call: Call, key: string): Promise<ClaimVerdict>;
  /** Resolves when no claim has a pending write. */
  settled(): Promise<void>;
}

/** Creates the claims of a daemon, which share one writer. */
export function createClaims(ctx: RequestContext, writer: ClaimWriter): Claims {
  const pending = new Set<Promise<void>>();

  const startClaim = (call: Call, key: string, resolve: (verdict: ClaimVerdict) => void): void => {
    let state = createClaim(claimTermsOf(ctx, call));
    let onClosed = (): void => undefined;
    const closed = new Promise<void>((done) => (onClosed = done));
    const run: ClaimRun = {
      ctx,
      writer,
      rowKey: rowKeyOf(call, key),
      dispatch: (event) => {
        const step = stepClaim(state, event, { now: ctx.clock.now() });
        state = step.state;
        step.effects.forEach((effect) => {
          runEffect(run, effect);
        });
        return step.effects;
      },
      conclude: (verdict) => {
        clearTimeout(timer);
        const claim = claimOf(ctx, call, run, closed);
        resolve(verdict === 'held' ? { kind: 'held', claim } : verdict);
      },
      onClosed,
    };
    const timeoutMs = Math.min(
      ctx.settings.claimTimeoutMs,
      call.options.deadline - ctx.clock.now(),
    );
    const timer = setTimeout(() => run.dispatch({ kind: 'give-up' }), timeoutMs);
    pending.add(closed);
    void closed.then(() => pending.delete(closed));
    run.dispatch({ kind: 'begin' });
  };

  return {
    acquire: (call, key) =>
      new Promise((resolve) => {
        const conclude = (verdict: ClaimVerdict): void => {
          ctx.metrics.count(METRIC.claims, { verdict: verdict.kind });
          resolve(verdict);
        };
        if (writer.isOverloaded()) conclude({ kind: 'not-held', reason: 'overloaded' });
        else startClaim(call, key, conclude);
      }),
    settled: async () => {
      await Promise.all(pending);
    },
  };
}

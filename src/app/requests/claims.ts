/** Claims of requests with an idempotency key: drives the reducer of `core/ledger`. */

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
import { readSeenRow } from './claim-rows';
import type { ClaimWriter } from './claim-writer';
import type { RequestContext } from './context';
import type { Call } from './exchange';
import { createCapture } from './guard';
import type { SendGuard } from './guard';
import { METRIC } from './names';

/** What came of asking for a claim. */
export type ClaimVerdict =
  | { readonly kind: 'held'; readonly claim: Claim }
  | { readonly kind: 'exists'; readonly row: ClaimRow }
  | { readonly kind: 'not-held'; readonly reason: NotHeldReason | 'overloaded' };

/** A claim that is held. */
export interface Claim extends SendGuard {
  /** Where a large answer is to be stored. */
  readonly objectKey: string;
  /** Resolves when the record is written, or could not be for now. */
  recordAnswer(answer: StoredAnswer): Promise<void>;
  /** Nothing more will be sent; the row is settled in the background. */
  abort(): void;
}

/** Failures after which nothing has run. */
const NOT_RUN: ReadonlySet<AttemptFailure> = new Set(['refused', 'wrong-group']);

/** What two submissions with the same key must have in common. */
export function bodyHashOf(call: Call): string {
  return hashParts(call.method, call.path, call.body);
}

function rowKeyOf(call: Call, key: string): string {
  return claimRowKey(call.caller.organisation.id, hashParts(key));
}

function termsOf(ctx: RequestContext, call: Call): ClaimTerms {
  const { clock, settings, self } = ctx;
  const epoch = clock.epoch();
  return {
    attempt: brandAs<AttemptId>(call.exchange.id),
    holder: self,
    bodyHash: bodyHashOf(call),
    deadline: call.terms.deadline,
    deadlineAt: call.terms.deadlineAt,
    expiresAt: later(call.terms.deadlineAt, settings.claimRetentionMs),
    releasedUntil: later(epoch, settings.releasedRetentionMs),
  };
}

/** What one claim's effects act on. */
interface ClaimRun {
  readonly ctx: RequestContext;
  readonly writer: ClaimWriter;
  readonly rowKey: string;
  /** Takes an event; gives the effects it had. */
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
  const seen = rows.isOk() ? readSeenRow(rows.value[0]) : undefined;
  dispatch(seen === undefined ? { kind: 'unreadable' } : { kind: 'seen', seen });
}

const EFFECTS: EffectHandlers = {
  write: ({ writer, rowKey, dispatch }, { row, version }) => {
    // Rows are plain data; their brands do not exist in JSON.
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
      ctx.logger.warn('claim row could not be settled', { step: 'record', peer: rowKey });
  },
  'may-send': () => undefined,
  'must-not-send': () => undefined,
};

function runEffect(run: ClaimRun, effect: ClaimEffect): void {
  const handler = EFFECTS[effect.kind] as (run: ClaimRun, effect: ClaimEffect) => void;
  handler(run, effect);
}

/** The claim as the attempts and the end of the request use it. */
function claimOf(ctx: RequestContext, call: Call, run: ClaimRun, closed: Promise<void>): Claim {
  const tooLate = (): StepError =>
    fail('deadline-exceeded', 'claim may no longer be used', { step: 'send', peer: run.rowKey });
  return {
    objectKey: `answers/${run.rowKey}/${call.exchange.id}`,
    beforeSend: () => {
      // The monotonic clock may have stood still if the whole machine was suspended.
      if (ctx.clock.epoch() >= call.terms.deadlineAt) return tooLate();
      const allowed = run.dispatch({ kind: 'send' }).some(({ kind }) => kind === 'may-send');
      return allowed ? undefined : tooLate();
    },
    onFailed: (failure) => {
      if (NOT_RUN.has(failure)) run.dispatch({ kind: 'refused' });
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

/** Claims of this daemon. */
export interface Claims {
  /** Asks for the claim on a key. Resolves with a verdict as soon as there is one. */
  acquire(call: Call, key: string): Promise<ClaimVerdict>;
  /** Resolves when no claim has a write under way. */
  settled(): Promise<void>;
}

export function createClaims(ctx: RequestContext, writer: ClaimWriter): Claims {
  const open = new Set<Promise<void>>();

  const start = (call: Call, key: string, resolve: (verdict: ClaimVerdict) => void): void => {
    let state = createClaim(termsOf(ctx, call));
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
    const waitMs = Math.min(ctx.settings.claimTimeoutMs, call.terms.deadline - ctx.clock.now());
    const timer = setTimeout(() => run.dispatch({ kind: 'give-up' }), waitMs);
    open.add(closed);
    void closed.then(() => open.delete(closed));
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
        else start(call, key, conclude);
      }),
    settled: async () => {
      await Promise.all(open);
    },
  };
}

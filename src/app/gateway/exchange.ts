/** A caller's request with its deadlines, and the ways in which it ends. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Caller } from '../../core/gateway/routes';
import type { Framing } from '../../core/gateway/response-framing';
import { organisationNameOf } from '../../core/gateway/routes';
import type { Route } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { ConfigVersion, InstanceId, MonoTime, ServiceId } from '../../core/ids';
import type { RequestFacts } from '../../ports/gateway';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import type { GatewayContext } from './context';
import { fingerprintOf } from './quarantine/fingerprint';
import type { GroupTrace, Lack } from './stream-trace';

/** A completely received request that matches a route. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly body: Buffer;
  readonly facts: RequestFacts;
  readonly route: Route;
  /** Version of the configuration that the route is from. */
  readonly configVersion: ConfigVersion;
  readonly service: ServiceId;
  readonly caller: Caller;
  readonly priority: number;
  /** The earliest time at which it may have arrived: what it waited before it was read counts. */
  readonly arrivedAt: MonoTime;
  readonly readAt: MonoTime;
  /** The caller's own deadline. */
  readonly deadline: MonoTime;
  /** When an answer is due: at the route's time limit, or shortly before the caller's deadline. */
  readonly answerBy: MonoTime;
  /** A stream without a slot at this time is refused, since its caller would soon disconnect. */
  readonly slotBy: MonoTime;
  /** Aborted once the caller has disconnected. */
  readonly gone: AbortSignal;
  /** Whether it is not to be passed on, as the daemon may end before it does. */
  readonly isTooLate?: () => boolean;
}

/**
 * What may have happened to a request that has no answer: it was not executed, or that is unknown.
 */
export type Execution = 'not-run' | 'unknown';

/** Status of a request that has not run and never will. */
const NOT_RUN = 503;
/** An answer sent this long before the caller's deadline still arrives in time, milliseconds. */
const ANSWER_MARGIN_MS = 25;
/** Deadline of callers that name none. */
const DEFAULT_WAIT_MS = 30_000;

/**
 * Callers abandon a stream that is silent for the longest of these times, which the platform
 * specifies.
 */
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;
/** Fraction of that time that may pass before a slot is found; the rest is for the prefill. */
const SLOT_SHARE = 0.65;

function patienceMs({ targetMs, maxPauseMs }: Route): number {
  return Math.max(MIN_PATIENCE_MS, PATIENCE_OBJECTIVES * targetMs, PATIENCE_GAPS * maxPauseMs);
}

export function deadlinesOf(
  facts: RequestFacts,
  route: Route,
  arrivedAt: MonoTime,
): Pick<Exchange, 'deadline' | 'answerBy' | 'slotBy'> {
  const deadline = later(arrivedAt, facts.waitMs ?? DEFAULT_WAIT_MS);
  const limit = later(arrivedAt, route.timeoutMs);
  const margin = later(deadline, -ANSWER_MARGIN_MS);
  const answerBy = limit < margin ? limit : margin;
  const slotBy = later(arrivedAt, SLOT_SHARE * patienceMs(route));
  return { deadline, answerBy, slotBy: slotBy < answerBy ? slotBy : answerBy };
}

/** Where the time of a stream was spent, milliseconds. */
export interface StreamTimes {
  /** Waiting for a slot in a group, over all attempts. */
  readonly waitedMs: number;
  /**
   * From the arrival of the request to the first event sent to the caller; absent if there was
   * none.
   */
  readonly firstEventMs?: number;
}

/** What is logged about a stream when it ends. */
export interface StreamEnd extends StreamTimes, Partial<GroupTrace> {
  readonly server?: InstanceId;
  readonly lacked?: Lack;
  /** How the end of the server's answer was known. */
  readonly framing?: Framing;
}

/** What is logged about a request when it ends. */
export interface RequestEnd extends Partial<StreamEnd> {
  readonly outcome: 'served' | 'refused' | 'failed' | 'torn' | 'caller-gone';
  readonly status: number;
  readonly attempts: number;
  readonly reason?: string;
  readonly server?: InstanceId;
}

/** A request that the daemon answered while it was being handled was not left by its caller. */
function withOwnAnswer({ res, gone }: Exchange, ending: RequestEnd): RequestEnd {
  if (ending.outcome !== 'caller-gone' || !res.writableEnded) return ending;
  const status = res.statusCode;
  const outcome = status === NOT_RUN ? 'refused' : 'failed';
  const reason = gone.reason instanceof Error ? { reason: gone.reason.message } : {};
  return { ...ending, outcome, status, ...reason };
}

export function logRequestEnd(ctx: GatewayContext, exchange: Exchange, end: RequestEnd): void {
  const ending = withOwnAnswer(exchange, end);
  const ms = Math.round(ctx.clock.now() - exchange.arrivedAt);
  const { outcome } = ending;
  ctx.metrics.count('nutmegstack_calls_total', { route: exchange.route.name, outcome });
  if (ending.framing === 'close')
    ctx.metrics.count('nutmegstack_close_delimited_answers_total', { kind: exchange.route.kind });
  ctx.metrics.observe('nutmegstack_call_ms', ms, { kind: exchange.route.kind });
  const organisation = organisationNameOf(exchange.caller);
  const fields = {
    step: 'end',
    ...(exchange.facts.requestId !== undefined && { requestId: exchange.facts.requestId }),
    ...(organisation !== undefined && { organisation }),
    route: exchange.route.name,
    configVersion: exchange.configVersion,
    timeoutMs: exchange.route.timeoutMs,
    ...(exchange.facts.model !== undefined && { model: exchange.facts.model }),
    ms,
    unreadMs: Math.round(exchange.readAt - exchange.arrivedAt),
    leftMs: Math.round(exchange.deadline - ctx.clock.now()),
    targetMs: exchange.route.targetMs,
    ...ending,
  };
  if (outcome === 'served') ctx.logger.info('request ended', fields);
  else ctx.logger.warn('request ended', fields);
}

/** An attempt that produced no answer for the caller. */
export interface FailedAttempt extends Partial<GroupTrace> {
  readonly server: InstanceId;
  readonly ended: 'not-sent' | 'not-run' | 'lost' | 'caller-gone';
  readonly reason: string;
  /** Time since the first event, if there was one, milliseconds. */
  readonly answeringMs?: number;
}

export function logFailedAttempt(
  ctx: GatewayContext,
  exchange: Exchange,
  attempt: FailedAttempt,
): void {
  const { requestId, sharedParts } = exchange.facts;
  const { ended, evidence = 'none' } = attempt;
  ctx.metrics.count('nutmegstack_failed_attempts_total', { ended, evidence });
  ctx.logger.info('attempt failed', {
    step: 'attempt',
    ...(requestId !== undefined && { requestId }),
    // A request that is sent again has another id; it or a part of its prompt may have ended the server.
    ...(ended === 'lost' && {
      fingerprint: fingerprintOf(exchange),
      ...(sharedParts && { parts: sharedParts.join(' ') }),
    }),
    ...attempt,
  });
}

/** Error of a request whose server asked for a backoff, or became cold, after it was selected. */
export function heldBackError(isBackingOff: boolean): StepError {
  const reason = isBackingOff
    ? 'the server asked to back off'
    : 'the server became cold or restarted';
  return fail('cancelled', reason, { step: 'send' });
}

/** Error of a request whose server's zone was evacuated after it was selected. */
export function evacuatedError(): StepError {
  return fail('cancelled', 'the zone of the server is evacuated', { step: 'send' });
}

/**
 * When a refused caller should retry, milliseconds; with jitter, so that callers do not retry
 * together.
 */
export interface RetryAfter {
  readonly minMs: number;
  readonly spreadMs: number;
}

/** All slots are taken: one becomes free every few milliseconds. */
const RETRY_AFTER_FULL: RetryAfter = { minMs: 60, spreadMs: 140 };
/**
 * No group serves the model: forming one takes from half a second with warm servers to a full load
 * of weights.
 */
export const RETRY_AFTER_UNSERVED: RetryAfter = { minMs: 1_000, spreadMs: 600 };

/**
 * For servers that accept no request for `ms` milliseconds: callers retry then, spread over time.
 */
export function retryAfterDelay(ms: number): RetryAfter {
  return {
    minMs: Math.max(RETRY_AFTER_FULL.minMs, ms),
    spreadMs: Math.max(RETRY_AFTER_FULL.spreadMs, ms / 2),
  };
}

/** A request that is held back may come again once it is decided whether it caused the losses. */
const RETRY_AFTER_HELD: RetryAfter = { minMs: 1_500, spreadMs: 500 };

/** Why a request in quarantine gets no answer, and what its caller is told if it has not run. */
const QUARANTINE_ANSWERS = {
  held: {
    status: 503,
    message:
      'servers ended while they ran this request, or others with a part of its prompt; it is held back for a while',
  },
  // Final, so that callers do not send it again.
  refused: {
    status: 400,
    message: 'the request is refused: it, or a part of its prompt, crashes the servers that run it',
  },
} as const;

export interface LocalAnswer {
  readonly status: number;
  readonly message: string;
  readonly retryAfter?: RetryAfter;
}

/**
 * Sends an answer of the daemon's own. Status 503 guarantees that the request was not and will not
 * be executed.
 */
export function answerLocally(
  ctx: GatewayContext,
  res: ServerResponse,
  { status, message, retryAfter = RETRY_AFTER_FULL }: LocalAnswer,
): void {
  if (res.headersSent || res.destroyed) return;
  const body = Buffer.from(JSON.stringify({ error: { message } }));
  const retryMs = retryAfter.minMs + ctx.random.next() * retryAfter.spreadMs;
  res.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    ...(status === 503 && { 'Retry-After': (retryMs / 1000).toFixed(3) }),
  });
  res.end(body);
}

/** State of a request that ends without an answer. */
export interface UnansweredRequest {
  readonly exposure: Execution;
  readonly reason: string;
  readonly attempts: number;
  readonly retryAfter?: RetryAfter;
  readonly details?: StreamEnd;
}

/** Ends a request because it is in quarantine. */
export function endQuarantined(
  ctx: GatewayContext,
  exchange: Exchange,
  standing: keyof typeof QUARANTINE_ANSWERS,
  { exposure, attempts, details }: Pick<UnansweredRequest, 'exposure' | 'attempts' | 'details'>,
): void {
  const { status, message } = QUARANTINE_ANSWERS[standing];
  ctx.metrics.count('nutmegstack_quarantined_calls_total', { standing });
  if (exposure !== 'not-run') {
    endUnanswered(ctx, exchange, {
      exposure,
      reason: message,
      attempts,
      ...(details && { details }),
    });
    return;
  }
  answerLocally(ctx, exchange.res, { status, message, retryAfter: RETRY_AFTER_HELD });
  logRequestEnd(ctx, exchange, {
    outcome: 'refused',
    status,
    attempts,
    reason: message,
    ...details,
  });
}

/**
 * Ends a request without an answer: refused (503) if it was certainly not executed, otherwise
 * failed (502, or 504 if late).
 */
export function endUnanswered(
  ctx: GatewayContext,
  exchange: Exchange,
  { exposure, reason, attempts, retryAfter, details }: UnansweredRequest,
): void {
  const isLate = ctx.clock.now() >= exchange.answerBy;
  const failed = isLate ? 504 : 502;
  const status = exposure === 'not-run' ? 503 : failed;
  answerLocally(ctx, exchange.res, { status, message: reason, ...(retryAfter && { retryAfter }) });
  const outcome = exposure === 'not-run' ? 'refused' : 'failed';
  logRequestEnd(ctx, exchange, { outcome, status, attempts, reason, ...details });
}

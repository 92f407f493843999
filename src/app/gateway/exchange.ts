/** One request of a caller: what was asked, until when, and how it ends. */

import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Caller } from '../../core/gateway/routes';
import { organisationNameOf } from '../../core/gateway/routes';
import type { Route } from '../../core/gateway/types';
import { later } from '../../core/ids';
import type { GroupId, InstanceId, MonoTime, ServiceId } from '../../core/ids';
import type { CallFacts } from '../../ports/gateway';
import { fail } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import type { GatewayContext } from './context';

/** A request that was read whole and belongs to a route. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly body: Buffer;
  readonly facts: CallFacts;
  readonly route: Route;
  readonly service: ServiceId;
  readonly caller: Caller;
  readonly priority: number;
  readonly arrivedAt: MonoTime;
  /** The caller's own deadline. */
  readonly deadline: MonoTime;
  /** An answer is due: the route's time limit, or shortly before the caller's deadline. */
  readonly answerBy: MonoTime;
  /** A stream that has no place by then is refused: its caller would soon leave. */
  readonly placeBy: MonoTime;
  /** Aborted once the caller has gone. */
  readonly gone: AbortSignal;
}

/** What may have happened to a request that has no answer. */
export type Execution = 'not-run' | 'unknown';

/** Sent this long before the caller's deadline, an answer still reaches it, milliseconds. */
const ANSWER_MARGIN_MS = 25;
/** Callers that name no deadline. */
const DEFAULT_WAIT_MS = 30_000;

/** Callers leave a stream that is silent for the longest of these; the platform's figures. */
const LEAST_PATIENCE_MS = 2_000;
const PATIENCE_OBJECTIVES = 4;
const PATIENCE_GAPS = 8;
/** Part of that time which may pass before a place is found; the rest is for reading the prompt. */
const PLACE_SHARE = 0.65;

function patienceMs({ targetMs, maxPauseMs }: Route): number {
  return Math.max(LEAST_PATIENCE_MS, PATIENCE_OBJECTIVES * targetMs, PATIENCE_GAPS * maxPauseMs);
}

export function deadlinesOf(
  facts: CallFacts,
  route: Route,
  arrivedAt: MonoTime,
): Pick<Exchange, 'deadline' | 'answerBy' | 'placeBy'> {
  const deadline = later(arrivedAt, facts.waitMs ?? DEFAULT_WAIT_MS);
  const limit = later(arrivedAt, route.timeoutMs);
  const margin = later(deadline, -ANSWER_MARGIN_MS);
  const answerBy = limit < margin ? limit : margin;
  const placeBy = later(arrivedAt, PLACE_SHARE * patienceMs(route));
  return { deadline, answerBy, placeBy: placeBy < answerBy ? placeBy : answerBy };
}

/** Where the time of a stream went, milliseconds. */
export interface StreamTimes {
  /** Until it had a place in a group, over all attempts. */
  readonly waitedMs: number;
  /** From its arrival until its caller was sent the first event; absent where none came. */
  readonly firstEventMs?: number;
}

/** What is noted of a request at its end. */
export interface RequestEnd extends Partial<StreamTimes> {
  readonly outcome: 'served' | 'refused' | 'failed' | 'torn' | 'caller-gone';
  readonly status: number;
  readonly attempts: number;
  readonly reason?: string;
  readonly server?: InstanceId;
}

export function logRequestEnd(ctx: GatewayContext, exchange: Exchange, ending: RequestEnd): void {
  const ms = Math.round(ctx.clock.now() - exchange.arrivedAt);
  const { outcome } = ending;
  ctx.metrics.count('nutmegstack_calls_total', { route: exchange.route.name, outcome });
  ctx.metrics.observe('nutmegstack_call_ms', ms, { kind: exchange.route.kind });
  const organisation = organisationNameOf(exchange.caller);
  const fields = {
    step: 'end',
    ...(exchange.facts.requestId !== undefined && { requestId: exchange.facts.requestId }),
    ...(organisation !== undefined && { organisation }),
    route: exchange.route.name,
    ...(exchange.facts.model !== undefined && { model: exchange.facts.model }),
    ms,
    leftMs: Math.round(exchange.deadline - ctx.clock.now()),
    targetMs: exchange.route.targetMs,
    ...ending,
  };
  if (outcome === 'served') ctx.logger.info('request ended', fields);
  else ctx.logger.warn('request ended', fields);
}

/** One send that brought no answer for the caller. */
export interface FailedAttempt {
  readonly server: InstanceId;
  readonly group?: GroupId;
  readonly ended: string;
  readonly reason: string;
}

export function logFailedAttempt(
  ctx: GatewayContext,
  { facts }: Exchange,
  attempt: FailedAttempt,
): void {
  const { requestId } = facts;
  ctx.logger.info('attempt failed', {
    step: 'attempt',
    ...(requestId !== undefined && { requestId }),
    ...attempt,
  });
}

/** The server asked for rest after the request was chosen for it. */
export function backoffError(): StepError {
  return fail('cancelled', 'the server rests', { step: 'send' });
}

/** When a refused caller should come back, milliseconds; spread so that callers do not come together. */
export interface RetryAfter {
  readonly minMs: number;
  readonly spreadMs: number;
}

/** All places are taken: one becomes free every few milliseconds. */
const WHEN_FULL: RetryAfter = { minMs: 60, spreadMs: 140 };
/** No group serves the model: forming one takes between half a second from warm servers and a load of weights. */
export const RETRY_AFTER_UNSERVED: RetryAfter = { minMs: 1_000, spreadMs: 600 };

/** All that could serve it take one more only so much later: callers come back then, and not together. */
export function retryAfterDelay(ms: number): RetryAfter {
  return {
    minMs: Math.max(WHEN_FULL.minMs, ms),
    spreadMs: Math.max(WHEN_FULL.spreadMs, ms / 2),
  };
}

export interface LocalAnswer {
  readonly status: number;
  readonly message: string;
  readonly retryAfter?: RetryAfter;
}

/** Answers in the daemon's own name. 503 promises that the request has not run and never will. */
export function answerLocally(
  ctx: GatewayContext,
  res: ServerResponse,
  { status, message, retryAfter = WHEN_FULL }: LocalAnswer,
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

/** What became of a request that has no answer. */
export interface UnansweredRequest {
  readonly exposure: Execution;
  readonly reason: string;
  readonly attempts: number;
  readonly retryAfter?: RetryAfter;
  readonly times?: StreamTimes;
}

/** Ends a request that has no answer: refused where it surely has not run, failed otherwise. */
export function endUnanswered(
  ctx: GatewayContext,
  exchange: Exchange,
  { exposure, reason, attempts, retryAfter, times }: UnansweredRequest,
): void {
  const isLate = ctx.clock.now() >= exchange.answerBy;
  const failed = isLate ? 504 : 502;
  const status = exposure === 'not-run' ? 503 : failed;
  answerLocally(ctx, exchange.res, { status, message: reason, ...(retryAfter && { retryAfter }) });
  const outcome = exposure === 'not-run' ? 'refused' : 'failed';
  logRequestEnd(ctx, exchange, { outcome, status, attempts, reason, ...times });
}

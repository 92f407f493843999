/** Handles calls of plain services. */

import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';

import type { ServiceSpec } from '../../core/config/types';
import type { AttemptId } from '../../core/ids';
import { later } from '../../core/ids';
import type { Answered } from '../../adapters/upstream/upstream';
import type { Span } from '../../ports/telemetry';
import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import { createAbort } from './abort';
import { attemptFailed, runAttempts } from './attempts';
import type { AttemptPlan, AttemptResult, Selection } from './attempts';
import type { Backends } from './backends';
import { readBody } from './body';
import type { RequestContext } from './context';
import { doneEnding } from './ending';
import type { Ending } from './ending';
import type { Call } from './exchange';
import type { SendGuard } from './guard';
import { HEADER, OWN_HEADER_PREFIX } from './names';

const MAX_REFUSAL_BYTES = 64 * 1024;
const UNAVAILABLE = 503;
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
/** End-to-end request headers that backend servers don't receive from the caller. */
const STRIPPED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  HEADER.idempotencyKey,
  HEADER.traceparent,
]);

/** A parsed and validated call of a plain service. */
export interface ServiceCall extends Call {
  readonly spec: ServiceSpec;
}

/** Destination of one attempt, and the guard checked when it is sent. */
interface AttemptTarget {
  readonly peer: string;
  readonly id: AttemptId;
  readonly span: Span;
  readonly guard: SendGuard;
}

function isForwarded(name: string): boolean {
  return !HOP_BY_HOP.has(name) && !name.startsWith(OWN_HEADER_PREFIX);
}

function endToEndHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => isForwarded(name)));
}

/** The idempotency key sent to the service, scoped so that organisations cannot collide. */
export function scopedKey(call: Call): string {
  const { idempotencyKey } = call.options;
  return `${call.caller.organisation.id}:${idempotencyKey ?? call.exchange.id}`;
}

function serviceHeaders(call: ServiceCall, id: AttemptId, span: Span): OutgoingHttpHeaders {
  const forwarded = Object.entries(endToEndHeaders(call.exchange.req.headers));
  return {
    ...Object.fromEntries(forwarded.filter(([name]) => !STRIPPED_HEADERS.has(name))),
    'content-length': call.body.byteLength,
    [HEADER.attempt]: id,
    [HEADER.deadline]: String(Math.floor(call.options.deadlineAt)),
    [HEADER.idempotencyKey]: scopedKey(call),
    [HEADER.organisation]: call.caller.organisation.id,
    [HEADER.requestId]: call.exchange.id,
    [HEADER.traceparent]: span.traceparent,
  };
}

function checkBeforeSend(
  ctx: RequestContext,
  call: ServiceCall,
  { peer, guard }: AttemptTarget,
): StepError | undefined {
  if (ctx.clock.now() >= call.options.deadline) {
    return fail('deadline-exceeded', 'the deadline passed before sending', { step: 'send', peer });
  }
  return guard.beforeSend();
}

async function readAnswer(
  ctx: RequestContext,
  peer: string,
  answered: Answered,
  signal: AbortSignal,
): Promise<AttemptResult> {
  const { res } = answered;
  const status = res.statusCode ?? 0;
  const origin = { step: 'last-byte', peer };
  const isRefusal = status === UNAVAILABLE && res.headers[HEADER.refused] === 'true';
  const maxBytes = isRefusal ? MAX_REFUSAL_BYTES : ctx.settings.maxAnswerBytes;
  const body = await readBody(res, { maxBytes, signal, ...origin });
  if (body.isErr()) return attemptFailed('lost', body.error);
  if (isRefusal) {
    return attemptFailed(
      'refused',
      fail('backend-refused', 'the backend server refused the call', origin),
    );
  }
  // Such an answer cannot be distinguished from a truncated one.
  if (answered.framing === 'close') {
    return attemptFailed(
      'bad-answer',
      fail('bad-answer', 'the answer has neither content-length nor transfer-encoding', origin),
    );
  }
  const headers = endToEndHeaders(res.headers);
  return { kind: 'done', ending: doneEnding({ kind: 'whole', status, headers, body: body.value }) };
}

async function sendOnce(
  ctx: RequestContext,
  call: ServiceCall,
  target: AttemptTarget,
): Promise<AttemptResult> {
  const { peer, id, span } = target;
  const { clock } = ctx;
  const { deadline } = call.options;
  const abort = createAbort({ clock, deadline, gone: call.exchange.gone, peer });
  const { signal } = abort.controller;
  const sent = await ctx.upstream.send({
    address: peer,
    method: call.method,
    path: call.path,
    headers: serviceHeaders(call, id, span),
    body: call.body,
    // Services echo no attempt id, so a late answer on a shared connection could not be detected.
    ownConnection: true,
    beforeSend: () => checkBeforeSend(ctx, call, target),
    signal,
  });
  const result =
    sent.kind === 'answered'
      ? await readAnswer(ctx, peer, sent, signal)
      : attemptFailed(sent.kind, sent.error);
  if (result.kind === 'failed' && sent.kind === 'answered') sent.destroy();
  abort.release();
  if (result.kind === 'done' || !signal.aborted) return result;
  return { ...result, failure: 'given-up', error: signal.reason as StepError };
}

async function runAttempt(
  ctx: RequestContext,
  backends: Backends,
  call: ServiceCall,
  target: AttemptTarget,
): Promise<AttemptResult> {
  const { peer, span } = target;
  span.set('peer', peer);
  const release = backends.acquire(peer);
  try {
    const result = await sendOnce(ctx, call, target);
    if (result.kind === 'failed' && result.failure === 'not-sent') backends.markUnreachable(peer);
    span.end(result.kind === 'failed' ? result.error.code : undefined);
    return result;
  } finally {
    release();
  }
}

function pickBackend(
  ctx: RequestContext,
  call: ServiceCall,
  backends: Backends,
  tried: ReadonlySet<string>,
): Selection<string> {
  const address = backends.pick(call.spec, tried);
  if (address !== undefined) return { kind: 'place', key: address, destination: address };
  const error = fail(
    'overloaded',
    `no backend server of service ${call.spec.id} can accept the call`,
    { step: 'routing' },
  );
  const retryAt = later(ctx.clock.epoch(), ctx.settings.retryAfterMs);
  return { kind: 'none', failure: { error, exposure: 'none', retryAt } };
}

/** Sends the call to the service's backend servers until one returns a complete answer. */
export function answerServiceCall(
  ctx: RequestContext,
  backends: Backends,
  call: ServiceCall,
  guard: SendGuard,
): Promise<Ending> {
  const { spec, options } = call;
  const hasKey = options.idempotencyKey !== undefined;
  const plan: AttemptPlan<string> = {
    target: spec.id,
    guard,
    repeatable: options.repeatable || (spec.honoursIdempotencyKey && hasKey),
    pick: (tried) => pickBackend(ctx, call, backends, tried),
    attempt: (peer, id) => {
      const span = call.exchange.span.child('attempt');
      return runAttempt(ctx, backends, call, { peer, id, span, guard });
    },
  };
  return runAttempts(ctx, call, plan);
}

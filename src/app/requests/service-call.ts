/** A call of a plain service. */

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
/** Statuses whose answers have no body. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);
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
const KEPT_BACK: ReadonlySet<string> = new Set([
  'authorization',
  HEADER.idempotencyKey,
  HEADER.traceparent,
]);

/** A call of a plain service that was read and checked. */
export interface ServiceCall extends Call {
  readonly spec: ServiceSpec;
}

/** Where one attempt goes, and what must hold when it is sent. */
interface Sending {
  readonly peer: string;
  readonly id: AttemptId;
  readonly span: Span;
  readonly guard: SendGuard;
}

function passesOn(name: string): boolean {
  return !HOP_BY_HOP.has(name) && !name.startsWith(OWN_HEADER_PREFIX);
}

function endToEnd(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => passesOn(name)));
}

/** The key as the service sees it: no two organisations can have the same. */
export function scopedKey(call: Call): string {
  const { idempotencyKey } = call.terms;
  return `${call.caller.organisation.id}:${idempotencyKey ?? call.exchange.id}`;
}

function serviceHeaders(call: ServiceCall, id: AttemptId, span: Span): OutgoingHttpHeaders {
  const passed = Object.entries(endToEnd(call.exchange.req.headers));
  return {
    ...Object.fromEntries(passed.filter(([name]) => !KEPT_BACK.has(name))),
    'content-length': call.body.byteLength,
    [HEADER.attempt]: id,
    [HEADER.deadline]: String(Math.floor(call.terms.deadlineAt)),
    [HEADER.idempotencyKey]: scopedKey(call),
    [HEADER.organisation]: call.caller.organisation.id,
    [HEADER.requestId]: call.exchange.id,
    [HEADER.traceparent]: span.traceparent,
  };
}

function checkBeforeSend(
  ctx: RequestContext,
  call: ServiceCall,
  { peer, guard }: Sending,
): StepError | undefined {
  if (ctx.clock.now() >= call.terms.deadline) {
    return fail('deadline-exceeded', 'deadline passed', { step: 'send', peer });
  }
  return guard.beforeSend();
}

/** An answer that only the end of the connection ends cannot be told from one cut short. */
function hasLength(answered: Answered, method: string): boolean {
  const { headers, statusCode = 0 } = answered.res;
  if (method === 'HEAD' || BODILESS.has(statusCode)) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

async function readAnswer(
  ctx: RequestContext,
  call: ServiceCall,
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
    return attemptFailed('refused', fail('backend-refused', 'service refused the call', origin));
  }
  if (!hasLength(answered, call.method)) {
    return attemptFailed('bad-answer', fail('bad-answer', 'answer without a length', origin));
  }
  const headers = endToEnd(res.headers);
  return { kind: 'done', ending: doneEnding({ kind: 'whole', status, headers, body: body.value }) };
}

async function sendOnce(
  ctx: RequestContext,
  call: ServiceCall,
  sending: Sending,
): Promise<AttemptResult> {
  const { peer, id, span } = sending;
  const { clock } = ctx;
  const { deadline } = call.terms;
  const abort = createAbort({ clock, deadline, gone: call.exchange.gone, peer });
  const { signal } = abort.controller;
  const sent = await ctx.upstream.send({
    address: peer,
    method: call.method,
    path: call.path,
    headers: serviceHeaders(call, id, span),
    body: call.body,
    // Services echo no attempt id, so that a late answer on a shared connection could not be told.
    ownConnection: true,
    beforeSend: () => checkBeforeSend(ctx, call, sending),
    signal,
  });
  const result =
    sent.kind === 'answered'
      ? await readAnswer(ctx, call, peer, sent, signal)
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
  sending: Sending,
): Promise<AttemptResult> {
  const { peer, span } = sending;
  span.set('peer', peer);
  const release = backends.acquire(peer);
  try {
    const result = await sendOnce(ctx, call, sending);
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
  const place = backends.pick(call.spec, tried);
  if (place !== undefined) return { kind: 'place', key: place, destination: place };
  const error = fail('overloaded', 'no backend server can take the call', { step: 'routing' });
  const retryAt = later(ctx.clock.epoch(), ctx.settings.retryAfterMs);
  return { kind: 'none', failure: { error, exposure: 'none', retryAt } };
}

/** Sends the call to the service's backend servers until one gives a whole answer. */
export function answerServiceCall(
  ctx: RequestContext,
  backends: Backends,
  call: ServiceCall,
  guard: SendGuard,
): Promise<Ending> {
  const { spec, terms } = call;
  const hasKey = terms.idempotencyKey !== undefined;
  const plan: AttemptPlan<string> = {
    target: spec.id,
    guard,
    repeatable: terms.repeatable || (spec.honoursIdempotencyKey && hasKey),
    pick: (tried) => pickBackend(ctx, call, backends, tried),
    attempt: (peer, id) => {
      const span = call.exchange.span.child('attempt');
      return runAttempt(ctx, backends, call, { peer, id, span, guard });
    },
  };
  return runAttempts(ctx, call, plan);
}

/** Where a caller's request comes in: who sends it, what it asks, and which call it is. */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

import type { ModelId, RequestId } from '../../core/ids';
import { brandAs, later } from '../../core/ids';
import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import { admitAndRun } from './admit';
import { readBody } from './body';
import type { RequestContext } from './context';
import type { RequestParts } from './request-parts';
import { doneEnding, failedEnding, refusedEnding } from './ending';
import type { Ending } from './ending';
import type { Call, Caller, Exchange } from './exchange';
import { readModelBody, MODEL_PATHS } from './model-body';
import type { ModelPath } from './model-body';
import {
  answerModelCall,
  createModelCall,
  estimateMs,
  hasModel,
  modelCapacity,
  quarantineFailure,
} from './model-call';
import { HEADER } from './names';
import { answerServiceCall } from './service-call';
import type { ServiceCall } from './service-call';
import { isRepeatable, readServicePath } from './service-path';
import type { ServicePath } from './service-path';
import { authenticate, readCallOptions } from './call-options';

/** First guess at the time of a call to a plain service, milliseconds. */
const SERVICE_ESTIMATE_MS = 50;

export interface RequestPlane {
  readonly ctx: RequestContext;
  readonly parts: RequestParts;
}

type Route = (entry: RequestPlane, exchange: Exchange, caller: Caller) => Promise<Ending>;

function pathOf(req: IncomingMessage): string {
  return (req.url ?? '/').split('?', 1)[0] ?? '/';
}

function notFound(): Ending {
  return refusedEnding(fail('not-found', 'no such address', { step: 'entry' }));
}

/** Reads terms and body; both must be right before anything is done. */
async function readCall(
  { ctx }: RequestPlane,
  exchange: Exchange,
  caller: Caller,
  path: string,
  repeatable: boolean,
): Promise<Result<Call, StepError>> {
  const terms = readCallOptions(exchange.req.headers, {
    repeatable,
    deadlineMs: caller.class.deadlineMs,
    now: exchange.arrivedAt,
    epoch: ctx.clock.epoch(),
  });
  if (terms.isErr()) return err(terms.error);
  const { maxBodyBytes } = ctx.settings;
  const origin = { step: 'entry', peer: 'caller' };
  const body = await readBody(exchange.req, {
    maxBytes: maxBodyBytes,
    signal: exchange.gone,
    ...origin,
  });
  if (body.isErr()) return err(body.error);
  if (ctx.clock.now() >= terms.value.deadline) {
    return err(fail('deadline-exceeded', 'deadline passed on arrival', { step: 'entry' }));
  }
  const method = exchange.req.method ?? 'GET';
  return ok({ exchange, caller, terms: terms.value, method, path, body: body.value });
}

async function routeModel(
  entry: RequestPlane,
  exchange: Exchange,
  caller: Caller,
): Promise<Ending> {
  const path = pathOf(exchange.req) as ModelPath;
  const call = await readCall(entry, exchange, caller, path, true);
  if (call.isErr()) return refusedEnding(call.error);
  const body = readModelBody(path, call.value.body);
  if (body.isErr()) return refusedEnding(body.error);
  const { ctx, parts } = entry;
  if (body.value.stream && exchange.req.httpVersion === '1.0') {
    const message = 'a stream needs HTTP/1.1: nothing else tells its end from a break';
    return refusedEnding(fail('bad-request', message, { step: 'entry' }));
  }
  if (!hasModel(ctx, call.value, body.value.model)) {
    return refusedEnding(fail('model-not-found', 'no such model', { step: 'entry' }));
  }
  const model = createModelCall(call.value, body.value);
  const quarantined = quarantineFailure(parts, model);
  if (quarantined !== undefined) return failedEnding(quarantined);
  return admitAndRun(ctx, parts, {
    call: model,
    target: model.model,
    estimateMs: estimateMs(model),
    capacity: () => modelCapacity(ctx, model.model),
    honoursKey: false,
    run: (guard) => answerModelCall(ctx, parts, model, guard),
  });
}

/** The models of the caller's organisation. */
function routeModels({ ctx }: RequestPlane, _exchange: Exchange, caller: Caller): Promise<Ending> {
  const known = ctx.config.current().models;
  const ids = Object.keys(caller.organisation.replicas).filter((id) => Object.hasOwn(known, id));
  const data = ids.map((id) => ({ id, object: 'model', created: 0, owned_by: 'nutmegstack' }));
  const body = Buffer.from(JSON.stringify({ object: 'list', data }));
  const headers = { 'content-type': 'application/json' };
  return Promise.resolve(doneEnding({ kind: 'whole', status: 200, headers, body }));
}

async function routeService(
  entry: RequestPlane,
  exchange: Exchange,
  caller: Caller,
  place: ServicePath,
): Promise<Ending> {
  const spec = caller.organisation.services
    .filter((id) => id === place.service)
    .map((id) => entry.ctx.config.current().services[id])[0];
  if (spec === undefined) return notFound();
  const repeatable = isRepeatable(spec, exchange.req.method ?? 'GET', place.path);
  const path = place.path + place.query;
  const call = await readCall(entry, exchange, caller, path, repeatable);
  if (call.isErr()) return refusedEnding(call.error);
  const { ctx, parts } = entry;
  const found: ServiceCall = { ...call.value, spec };
  return admitAndRun(ctx, parts, {
    call: found,
    target: brandAs<ModelId>(`service/${spec.id}`),
    estimateMs: SERVICE_ESTIMATE_MS,
    capacity: () => ({
      slots: spec.backends.length * spec.maxInFlight,
      expectedAt: undefined,
    }),
    honoursKey: spec.honoursIdempotencyKey,
    run: (guard) => answerServiceCall(ctx, parts.backends, found, guard),
  });
}

const ROUTES: Readonly<Record<string, Readonly<Record<string, Route>>>> = {
  ...Object.fromEntries(Object.keys(MODEL_PATHS).map((path) => [path, { POST: routeModel }])),
  '/v1/models': { GET: routeModels },
};

function findRoute(req: IncomingMessage): Result<Route, StepError> {
  const path = pathOf(req);
  const place = readServicePath(req.url ?? '/');
  if (place !== undefined) {
    return ok((entry, exchange, caller) => routeService(entry, exchange, caller, place));
  }
  const methods = Object.hasOwn(ROUTES, path) ? ROUTES[path] : undefined;
  if (methods === undefined) return err(fail('not-found', 'no such address', { step: 'entry' }));
  const route = methods[req.method ?? 'GET'];
  if (route !== undefined) return ok(route);
  return err(fail('method-not-allowed', 'no such method here', { step: 'entry' }));
}

/** Makes the exchange for a request that has just come in. */
export function createExchange(
  ctx: RequestContext,
  req: IncomingMessage,
  res: ServerResponse,
): Exchange {
  const controller = new AbortController();
  // A write that meets a caller who is gone must not end the process; `close` tells of it.
  res.on('error', () => undefined);
  res.once('close', () => {
    if (!res.writableFinished) controller.abort();
  });
  const traceparent = req.headers[HEADER.traceparent];
  const span = ctx.tracer.start('entry', typeof traceparent === 'string' ? traceparent : undefined);
  return {
    id: brandAs<RequestId>(randomUUID()),
    req,
    res,
    span,
    arrivedAt: ctx.clock.now(),
    gone: controller.signal,
  };
}

/** Answers a request, whatever it is. Never rejects. */
export async function answer(entry: RequestPlane, exchange: Exchange): Promise<Ending> {
  const { ctx } = entry;
  try {
    const caller = authenticate(ctx.config.current(), exchange.req.headers.authorization);
    if (caller.isErr()) return refusedEnding(caller.error);
    const route = findRoute(exchange.req);
    if (route.isErr()) return refusedEnding(route.error);
    return await route.value(entry, exchange, caller.value);
  } catch (cause) {
    const error = fail('internal', 'unexpected error', { step: 'entry', cause });
    return failedEnding({ error, exposure: 'exposed' });
  }
}

/** The ending of a request that comes while the daemon is leaving. */
export function refuseDraining(ctx: RequestContext): Ending {
  const error = fail('draining', 'this daemon is leaving', { step: 'entry' });
  return refusedEnding(error, later(ctx.clock.epoch(), ctx.settings.retryAfterMs));
}

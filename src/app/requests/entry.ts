/** Entry point of the request plane: authenticates, routes, parses and admits each request. */

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

/** Initial estimate of the duration of a plain service call, milliseconds. */
const SERVICE_ESTIMATE_MS = 50;

/** Everything that a route handler needs. */
export interface RequestPlane {
  readonly ctx: RequestContext;
  readonly parts: RequestParts;
}

type Route = (plane: RequestPlane, exchange: Exchange, caller: Caller) => Promise<Ending>;

function pathOf(req: IncomingMessage): string {
  return (req.url ?? '/').split('?', 1)[0] ?? '/';
}

function notFound(): Ending {
  return refusedEnding(fail('not-found', 'no route for the requested path', { step: 'entry' }));
}

/** Parses the call options and reads the body. Nothing is executed unless both are valid. */
async function readCall(
  { ctx }: RequestPlane,
  exchange: Exchange,
  caller: Caller,
  path: string,
  repeatable: boolean,
): Promise<Result<Call, StepError>> {
  const options = readCallOptions(exchange.req.headers, {
    repeatable,
    deadlineMs: caller.class.deadlineMs,
    now: exchange.arrivedAt,
    epoch: ctx.clock.epoch(),
  });
  if (options.isErr()) return err(options.error);
  const { maxBodyBytes } = ctx.settings;
  const origin = { step: 'entry', peer: 'caller' };
  const body = await readBody(exchange.req, {
    maxBytes: maxBodyBytes,
    signal: exchange.gone,
    ...origin,
  });
  if (body.isErr()) return err(body.error);
  if (ctx.clock.now() >= options.value.deadline) {
    return err(
      fail('deadline-exceeded', 'the deadline passed before the request was read', {
        step: 'entry',
      }),
    );
  }
  const method = exchange.req.method ?? 'GET';
  return ok({ exchange, caller, options: options.value, method, path, body: body.value });
}

async function routeModel(
  plane: RequestPlane,
  exchange: Exchange,
  caller: Caller,
): Promise<Ending> {
  const path = pathOf(exchange.req) as ModelPath;
  const call = await readCall(plane, exchange, caller, path, true);
  if (call.isErr()) return refusedEnding(call.error);
  const body = readModelBody(path, call.value.body);
  if (body.isErr()) return refusedEnding(body.error);
  const { ctx, parts } = plane;
  if (body.value.stream && exchange.req.httpVersion === '1.0') {
    const message =
      'streaming requires HTTP/1.1: HTTP/1.0 cannot distinguish the end from a broken connection';
    return refusedEnding(fail('bad-request', message, { step: 'entry' }));
  }
  if (!hasModel(ctx, call.value, body.value.model)) {
    return refusedEnding(
      fail('model-not-found', 'the organisation has no model with the requested name', {
        step: 'entry',
      }),
    );
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

/** Lists the models of the caller's organisation. */
function routeModels({ ctx }: RequestPlane, _exchange: Exchange, caller: Caller): Promise<Ending> {
  const models = ctx.config.current().models;
  const ids = Object.keys(caller.organisation.replicas).filter((id) => Object.hasOwn(models, id));
  const data = ids.map((id) => ({ id, object: 'model', created: 0, owned_by: 'nutmegstack' }));
  const body = Buffer.from(JSON.stringify({ object: 'list', data }));
  const headers = { 'content-type': 'application/json' };
  return Promise.resolve(doneEnding({ kind: 'whole', status: 200, headers, body }));
}

async function routeService(
  plane: RequestPlane,
  exchange: Exchange,
  caller: Caller,
  servicePath: ServicePath,
): Promise<Ending> {
  const spec = caller.organisation.services
    .filter((id) => id === servicePath.service)
    .map((id) => plane.ctx.config.current().services[id])[0];
  if (spec === undefined) return notFound();
  const repeatable = isRepeatable(spec, exchange.req.method ?? 'GET', servicePath.path);
  const path = servicePath.path + servicePath.query;
  const call = await readCall(plane, exchange, caller, path, repeatable);
  if (call.isErr()) return refusedEnding(call.error);
  const { ctx, parts } = plane;
  const serviceCall: ServiceCall = { ...call.value, spec };
  return admitAndRun(ctx, parts, {
    call: serviceCall,
    target: brandAs<ModelId>(`service/${spec.id}`),
    estimateMs: SERVICE_ESTIMATE_MS,
    capacity: () => ({
      slots: spec.backends.length * spec.maxInFlight,
      expectedAt: undefined,
    }),
    honoursKey: spec.honoursIdempotencyKey,
    run: (guard) => answerServiceCall(ctx, parts.backends, serviceCall, guard),
  });
}

const ROUTES: Readonly<Record<string, Readonly<Record<string, Route>>>> = {
  ...Object.fromEntries(Object.keys(MODEL_PATHS).map((path) => [path, { POST: routeModel }])),
  '/v1/models': { GET: routeModels },
};

function findRoute(req: IncomingMessage): Result<Route, StepError> {
  const path = pathOf(req);
  const servicePath = readServicePath(req.url ?? '/');
  if (servicePath !== undefined) {
    return ok((plane, exchange, caller) => routeService(plane, exchange, caller, servicePath));
  }
  const methods = Object.hasOwn(ROUTES, path) ? ROUTES[path] : undefined;
  if (methods === undefined)
    return err(fail('not-found', 'no route for the requested path', { step: 'entry' }));
  const route = methods[req.method ?? 'GET'];
  if (route !== undefined) return ok(route);
  return err(
    fail('method-not-allowed', 'the requested path does not allow this method', { step: 'entry' }),
  );
}

/** Creates the exchange for a newly received request. */
export function createExchange(
  ctx: RequestContext,
  req: IncomingMessage,
  res: ServerResponse,
): Exchange {
  const controller = new AbortController();
  // Writing to a disconnected caller emits `error`, which would end the process if unhandled.
  // `close` reports the disconnect.
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

/** Handles any request. Never rejects: an unexpected error becomes an `internal` ending. */
export async function answer(plane: RequestPlane, exchange: Exchange): Promise<Ending> {
  const { ctx } = plane;
  try {
    const caller = authenticate(ctx.config.current(), exchange.req.headers.authorization);
    if (caller.isErr()) return refusedEnding(caller.error);
    const route = findRoute(exchange.req);
    if (route.isErr()) return refusedEnding(route.error);
    return await route.value(plane, exchange, caller.value);
  } catch (cause) {
    const error = fail('internal', 'unexpected error while handling the request', {
      step: 'entry',
      cause,
    });
    return failedEnding({ error, exposure: 'exposed' });
  }
}

/** Refuses a request that arrives while the daemon is draining. */
export function refuseDraining(ctx: RequestContext): Ending {
  const error = fail('draining', 'the daemon is draining and accepts no new requests', {
    step: 'entry',
  });
  return refusedEnding(error, later(ctx.clock.epoch(), ctx.settings.retryAfterMs));
}

/** Handles model calls, from the parsed body to the ending. */

import type { RoutableGroup } from '../../core/groups/types';
import type { AttemptId, Fingerprint, ModelId } from '../../core/ids';
import { brandAs, later } from '../../core/ids';
import { hashParts } from '../../utils/common';
import { fail } from '../../utils/errors';
import { createAbort } from './abort';
import { runAttempts } from './attempts';
import type { AttemptPlan, AttemptResult, Selection } from './attempts';
import type { RequestContext } from './context';
import type { RequestParts } from './request-parts';
import type { Ending, Failure } from './ending';
import type { Call } from './exchange';
import type { Capacity } from './admission-gate';
import { prefixKeysOf } from './group-selector';
import type { SendGuard } from './guard';
import { attemptModel } from './model-attempt';
import type { ModelBody } from './model-body';
import type { ModelCall } from './model-request';

/** Initial estimate of the slot time, milliseconds; admission corrects it by measured times. */
const ESTIMATE = { baseMs: 100, perTokenMs: 20, tokensByDefault: 256 } as const;

/** Whether the organisation has the model. Models of other organisations count as unknown. */
export function hasModel(ctx: RequestContext, call: Call, model: string): boolean {
  const { replicas } = call.caller.organisation;
  return Object.hasOwn(ctx.config.current().models, model) && Object.hasOwn(replicas, model);
}

function fingerprintOf({ caller, path, body }: Call, model: string): Fingerprint {
  return brandAs<Fingerprint>(hashParts(caller.organisation.id, model, path, body));
}

/** Creates a model call from a request and its parsed body. */
export function createModelCall(call: Call, body: ModelBody): ModelCall {
  return {
    ...call,
    model: brandAs<ModelId>(body.model),
    stream: body.stream,
    maxTokens: body.maxTokens,
    prefixKeys: prefixKeysOf(body.promptParts),
    fingerprint: fingerprintOf(call, body.model),
    cacheSalt: hashParts('cache-salt', call.caller.organisation.id),
    labels: { model: body.model, class: call.caller.class.name },
  };
}

/**
 * Requests that this daemon may have in flight on the model's groups: the batch slots of all
 * routable groups, overcommitted, divided by the number of daemons.
 */
export function modelCapacity(ctx: RequestContext, model: ModelId): Capacity {
  const batches = ctx.groups.routable(model).reduce((sum, { maxBatch }) => sum + maxBatch, 0);
  const daemons = Math.max(1, ctx.daemonCount?.() ?? 1);
  const slots = Math.ceil((batches * ctx.settings.slotOvercommit) / daemons);
  return { slots, expectedAt: ctx.groups.expectedAt(model) };
}

/** Estimated time that the call occupies a slot, milliseconds. */
export function estimateMs({ maxTokens = ESTIMATE.tokensByDefault }: ModelCall): number {
  return ESTIMATE.baseMs + maxTokens * ESTIMATE.perTokenMs;
}

function noGroup(ctx: RequestContext, call: ModelCall): Selection<RoutableGroup> {
  const error = fail('no-group', `no replica group of model ${call.model} can accept the request`, {
    step: 'routing',
  });
  const defaultRetryAt = later(ctx.clock.epoch(), ctx.settings.retryAfterMs);
  const retryAt = ctx.groups.expectedAt(call.model) ?? defaultRetryAt;
  return { kind: 'none', failure: { error, exposure: 'none', retryAt } };
}

/**
 * Returns the failure of a quarantined request, or undefined. Its exposure does not include that of
 * earlier attempts.
 */
export function quarantineFailure(
  parts: RequestParts,
  { fingerprint }: ModelCall,
): Failure | undefined {
  if (parts.strikes.suspicion(fingerprint) !== 'quarantined') return undefined;
  const message =
    'the request is quarantined: it was running on several groups when they were lost';
  const error = fail('quarantined', message, { step: 'quarantine' });
  return { error, exposure: 'none', retryAt: parts.strikes.quarantinedUntil(fingerprint) };
}

function pickGroup(
  ctx: RequestContext,
  parts: RequestParts,
  call: ModelCall,
  tried: ReadonlySet<string>,
): Selection<RoutableGroup> {
  const quarantined = quarantineFailure(parts, call);
  if (quarantined !== undefined) return { kind: 'none', failure: quarantined };
  const span = call.exchange.span.child('routing');
  const untried = ctx.groups.routable(call.model).filter(({ id }) => !tried.has(id));
  const groups = parts.strikes.open(call.fingerprint, untried);
  const { prefixKeys } = call;
  const organisation = call.caller.organisation.id;
  const group = parts.selector.select({ groups, tried, prefixKeys, organisation });
  span.set('groups', groups.length);
  span.end(group === undefined ? 'no-group' : undefined);
  if (group === undefined) return noGroup(ctx, call);
  return { kind: 'place', key: group.id, destination: group };
}

/** Destination of one attempt, and the guard checked when it is sent. */
interface AttemptTarget {
  readonly group: RoutableGroup;
  readonly id: AttemptId;
  readonly guard: SendGuard;
}

async function runAttempt(
  ctx: RequestContext,
  parts: RequestParts,
  call: ModelCall,
  { group, id, guard }: AttemptTarget,
): Promise<AttemptResult> {
  const { selector, strikes } = parts;
  const span = call.exchange.span.child('attempt');
  span.set('group', group.id);
  span.set('peer', group.address);
  const { deadline } = call.options;
  const { gone } = call.exchange;
  const abort = createAbort({ clock: ctx.clock, deadline, gone, peer: group.address });
  const attempt = { ctx, selector, strikes, call, group, id, span, guard, abort };
  try {
    const result = await attemptModel(attempt);
    span.end(result.kind === 'failed' ? result.error.code : undefined);
    return result;
  } finally {
    abort.release();
  }
}

/** Sends the call to replica groups until one returns a complete answer. */
export function answerModelCall(
  ctx: RequestContext,
  parts: RequestParts,
  call: ModelCall,
  guard: SendGuard,
): Promise<Ending> {
  const plan: AttemptPlan<RoutableGroup> = {
    target: call.model,
    repeatable: call.options.repeatable,
    guard,
    pick: (tried) => pickGroup(ctx, parts, call, tried),
    attempt: (group, id) => runAttempt(ctx, parts, call, { group, id, guard }),
  };
  return runAttempts(ctx, call, plan);
}

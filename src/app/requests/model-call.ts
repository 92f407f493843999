/** A call of a model: from a body that was read to an ending. */

import type { RoutableGroup } from '../../core/groups/types';
import type { AttemptId, ModelId } from '../../core/ids';
import { brandAs, later } from '../../core/ids';
import type { Labels } from '../../ports/telemetry';
import { hashParts } from '../../utils/common';
import { fail } from '../../utils/errors';
import { createAbort } from './abort';
import { runAttempts } from './attempts';
import type { AttemptPlan, AttemptResult, Picked } from './attempts';
import type { RequestContext } from './context';
import type { Ending } from './ending';
import { refused } from './ending';
import type { Call } from './exchange';
import type { SendGuard } from './guard';
import { OPEN_GUARD } from './guard';
import { attemptModel } from './model-attempt';
import type { ModelBody } from './model-body';

/** A call of a model that was read and checked. */
export interface ModelCall extends Call {
  readonly model: ModelId;
  readonly stream: boolean;
  readonly parts: readonly string[];
  /** Keeps the cached prefixes of organisations apart. */
  readonly cacheSalt: string;
  readonly labels: Labels;
  readonly guard: SendGuard;
}

/** Whether the organisation has the model. Others' models are as good as unknown. */
function hasModel(ctx: RequestContext, call: Call, model: string): boolean {
  const { replicas } = call.caller.organisation;
  return Object.hasOwn(ctx.config.current().models, model) && Object.hasOwn(replicas, model);
}

export function createModelCall(call: Call, body: ModelBody): ModelCall {
  return {
    ...call,
    model: brandAs<ModelId>(body.model),
    stream: body.stream,
    parts: body.parts,
    cacheSalt: hashParts('cache-salt', call.caller.organisation.id),
    labels: { model: body.model, class: call.caller.class.name },
    guard: OPEN_GUARD,
  };
}

function noGroup(ctx: RequestContext, call: ModelCall): Picked<RoutableGroup> {
  const error = fail('no-group', 'no replica group can take the request', { step: 'routing' });
  const soon = later(ctx.clock.epoch(), ctx.settings.retryAfterMs);
  const retryAt = ctx.groups.expectedAt(call.model) ?? soon;
  return { kind: 'none', failure: { error, exposure: 'none', retryAt } };
}

function pickGroup(
  ctx: RequestContext,
  call: ModelCall,
  tried: ReadonlySet<string>,
): Picked<RoutableGroup> {
  const groups = ctx.groups.routable(call.model).filter((group) => !tried.has(group.id));
  const place = groups[Math.floor(ctx.random.next() * groups.length)];
  if (place === undefined) return noGroup(ctx, call);
  return { kind: 'place', key: place.id, place };
}

async function runAttempt(
  ctx: RequestContext,
  call: ModelCall,
  group: RoutableGroup,
  id: AttemptId,
): Promise<AttemptResult> {
  const span = call.exchange.span.child('attempt');
  span.set('group', group.id);
  span.set('peer', group.address);
  const { deadline } = call.terms;
  const abort = createAbort({
    clock: ctx.clock,
    deadline,
    gone: call.exchange.gone,
    peer: group.address,
  });
  const { controller, liftDeadline } = abort;
  try {
    const result = await attemptModel({
      ctx,
      call,
      group,
      id,
      span,
      abort: controller,
      liftDeadline,
    });
    span.end(result.kind === 'failed' ? result.error.code : undefined);
    return result;
  } finally {
    abort.release();
  }
}

/** Sends the call to replica groups until one gives a whole answer. */
export async function answerModelCall(ctx: RequestContext, call: ModelCall): Promise<Ending> {
  if (!hasModel(ctx, call, call.model)) {
    return refused(fail('model-not-found', 'no such model', { step: 'entry' }));
  }
  const plan: AttemptPlan<RoutableGroup> = {
    target: call.model,
    repeatable: call.terms.repeatable,
    pick: (tried) => pickGroup(ctx, call, tried),
    attempt: (group, id) => runAttempt(ctx, call, group, id),
  };
  return runAttempts(ctx, call, plan);
}

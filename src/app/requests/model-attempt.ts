/** One attempt of a model call on one replica group. */

import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';

import type { Lost, NotSent } from '../../adapters/upstream/upstream';
import type { Run } from '../../core/retry/quarantine-types';
import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import { attemptFailed } from './attempts';
import type { AttemptFailed, AttemptResult } from './attempts';
import { readAnswer, reportEvidence } from './model-answer';
import type { ModelAttempt } from './model-answer';
import { EVENT_STREAM, HEADER } from './names';

function engineHeaders(attempt: ModelAttempt): OutgoingHttpHeaders {
  const { call, group, id, span } = attempt;
  return {
    'content-type': 'application/json',
    'content-length': call.body.byteLength,
    accept: call.stream ? EVENT_STREAM : 'application/json',
    [HEADER.group]: group.id,
    [HEADER.epoch]: String(group.epoch),
    [HEADER.attempt]: id,
    [HEADER.priority]: String(call.caller.class.worth),
    [HEADER.deadline]: String(Math.floor(call.options.deadlineAt)),
    [HEADER.cacheSalt]: call.cacheSalt,
    [HEADER.traceparent]: span.traceparent,
  };
}

function runOf({ ctx, strikes, call, group, id }: ModelAttempt): Run {
  const { fingerprint } = call;
  const suspect = strikes.suspicion(fingerprint) !== 'clear';
  const startedAt = ctx.clock.now();
  return { attempt: id, fingerprint, group: group.id, domain: group.domain, suspect, startedAt };
}

function recordSent(attempt: ModelAttempt): void {
  const { selector, strikes, call, group, id } = attempt;
  strikes.sent(runOf(attempt));
  const organisation = call.caller.organisation.id;
  const { prefixKeys, stream: streams } = call;
  selector.sent(id, group.id, { prefixKeys, organisation, streams });
}

/** Runs in the same tick as the write, because the process may have been paused since selection. */
function checkBeforeSend(attempt: ModelAttempt): StepError | undefined {
  const { ctx, call, group } = attempt;
  const now = ctx.clock.now();
  const origin = { step: 'send', peer: group.address };
  if (now >= call.options.deadline)
    return fail('deadline-exceeded', 'the deadline passed before sending', origin);
  const current = ctx.groups.routable(group.model).find((each) => each.id === group.id);
  if (current?.epoch !== group.epoch) {
    return fail('no-group', 'the group is no longer routable', origin);
  }
  const refusal = attempt.guard.beforeSend();
  if (refusal === undefined) recordSent(attempt);
  return refusal;
}

function onNotAnswered(attempt: ModelAttempt, result: NotSent | Lost): AttemptFailed {
  if (!attempt.abort.controller.signal.aborted && result.error.code !== 'no-group') {
    reportEvidence(attempt, 'lost', result.error.step);
  }
  return attemptFailed(result.kind, result.error);
}

/** After an abort, reports `given-up` with the abort reason, whatever error the connection gave. */
function applyAbort(attempt: ModelAttempt, result: AttemptResult): AttemptResult {
  if (result.kind === 'done' || !attempt.abort.controller.signal.aborted) return result;
  const reason: unknown = attempt.abort.controller.signal.reason;
  const error = reason instanceof Error && 'step' in reason ? (reason as StepError) : result.error;
  return { ...result, failure: 'given-up', error };
}

function loadHeader({ headers }: IncomingMessage): string | undefined {
  const load = headers[HEADER.load];
  return typeof load === 'string' ? load : undefined;
}

/** Reports the end of a run to the quarantine. Must precede the report of the group's loss. */
function recordRunEnd(attempt: ModelAttempt, result: AttemptResult): void {
  const { strikes, id, abort } = attempt;
  const isInterrupted = result.kind === 'failed' && result.failure === 'lost';
  if (isInterrupted && !abort.controller.signal.aborted) strikes.interrupted(id);
  else strikes.ended(runOf(attempt), result.kind === 'done');
}

/**
 * Sends the call to the group and reads the answer. Destroys the connection if the attempt failed
 * after the engine may have run the request.
 */
export async function attemptModel(attempt: ModelAttempt): Promise<AttemptResult> {
  const { ctx, call, group, selector, id, abort } = attempt;
  const sent = await ctx.upstream.send({
    address: group.address,
    method: 'POST',
    path: call.path,
    headers: engineHeaders(attempt),
    body: call.body,
    ownConnection: !call.options.repeatable,
    beforeSend: () => checkBeforeSend(attempt),
    signal: abort.controller.signal,
  });
  if (sent.kind !== 'answered') {
    selector.end(id, 0);
    recordRunEnd(attempt, attemptFailed(sent.kind, sent.error));
    return applyAbort(attempt, onNotAnswered(attempt, sent));
  }
  selector.load(group.id, loadHeader(sent.res));
  const result = await readAnswer(attempt, sent);
  selector.end(id, 0);
  recordRunEnd(attempt, result);
  if (result.kind === 'failed' && result.exposure === 'exposed') {
    sent.destroy();
    if (result.failure === 'lost' && !abort.controller.signal.aborted) {
      reportEvidence(attempt, 'lost', result.error.step);
    }
  }
  return applyAbort(attempt, result);
}

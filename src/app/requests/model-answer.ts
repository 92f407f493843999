/**
 * Reads an engine's response: a complete answer, a stream or a refusal. Verifies that it belongs to
 * the attempt and comes from the expected group and epoch.
 */

import type { IncomingMessage } from 'node:http';
import type { Result } from 'neverthrow';

import type { Answered } from '../../adapters/upstream/upstream';
import type { RoutableGroup } from '../../core/groups/types';
import type { AttemptId } from '../../core/ids';
import type { Span } from '../../ports/telemetry';
import type { ErrorCode, StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import { isRecord } from '../../utils/is';
import type { AttemptAbort } from './abort';
import { attemptFailed } from './attempts';
import type { AttemptFailed, AttemptResult } from './attempts';
import { readBody } from './body';
import type { RequestContext } from './context';
import { doneEnding } from './ending';
import type { GroupSelector } from './group-selector';
import type { SendGuard } from './guard';
import type { ModelCall } from './model-request';
import { EVENT_STREAM, HEADER, METRIC } from './names';
import { relayStream } from './relay';
import { startStream } from './reply';
import type { Strikes } from './strikes';
import { checkBufferedAnswer } from './buffered-answer';

const MAX_REFUSAL_BYTES = 64 * 1024;
const STATUS = { conflict: 409, unavailable: 503, clientError: 400, serverError: 500 };

/** An attempt with everything that it needs. */
export interface ModelAttempt {
  readonly ctx: RequestContext;
  readonly call: ModelCall;
  readonly group: RoutableGroup;
  readonly id: AttemptId;
  readonly span: Span;
  readonly guard: SendGuard;
  readonly selector: GroupSelector;
  readonly strikes: Strikes;
  readonly abort: AttemptAbort;
}

/** Whether the answer comes from the group and epoch that the attempt was sent to. */
function isFromGroup({ headers }: IncomingMessage, { group }: ModelAttempt): boolean {
  return headers[HEADER.group] === group.id && headers[HEADER.epoch] === String(group.epoch);
}

function badAnswer(
  attempt: ModelAttempt,
  message: string,
  code: ErrorCode = 'bad-answer',
): AttemptFailed {
  const error = fail(code, message, { step: 'first-byte', peer: attempt.group.address });
  return attemptFailed('bad-answer', error);
}

/** Reports a failure of the group to the control plane. */
export function reportEvidence(
  { ctx, group }: ModelAttempt,
  kind: 'lost' | 'wrong-group' | 'refused',
  step: string,
): void {
  ctx.groups.report({ group: group.id, epoch: group.epoch, kind, step });
}

/**
 * Returns the reason in an engine's refusal: empty if the body states none, undefined if it could
 * not be read completely.
 */
async function readReason(answered: Answered): Promise<string | undefined> {
  const body = await readBody(answered.res, { maxBytes: MAX_REFUSAL_BYTES, step: 'first-byte' });
  if (body.isErr()) return undefined;
  try {
    const parsed: unknown = JSON.parse(body.value.toString());
    return isRecord(parsed) && typeof parsed.error === 'string' ? parsed.error : '';
  } catch {
    return '';
  }
}

/** Handles a 409: the engine belongs to another group or epoch and did not run the request. */
async function onConflict(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const reason = await readReason(answered);
  if (reason !== 'wrong-group')
    return badAnswer(attempt, 'the engine answered 409 without the reason wrong-group');
  reportEvidence(attempt, 'wrong-group', 'first-byte');
  const origin = { step: 'first-byte', peer: attempt.group.address };
  return attemptFailed(
    'wrong-group',
    fail('backend-refused', 'the engine no longer belongs to the group', origin),
  );
}

/** Handles a 503. The request counts as not run only if the engine says so. */
async function onUnavailable(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const reason = await readReason(answered);
  const isRefusal = answered.res.headers[HEADER.refused] === 'true' && reason !== undefined;
  if (!isRefusal)
    return badAnswer(
      attempt,
      'the engine answered 503 without refusing the request',
      'backend-lost',
    );
  const origin = { step: 'first-byte', peer: attempt.group.address };
  return attemptFailed(
    'refused',
    fail('backend-refused', 'the engine accepts no requests at present', origin),
  );
}

function readBuffered(
  { ctx, group, abort }: ModelAttempt,
  { res }: Answered,
): Promise<Result<Buffer, StepError>> {
  return readBody(res, {
    maxBytes: ctx.settings.maxAnswerBytes,
    signal: abort.controller.signal,
    step: 'last-byte',
    peer: group.address,
  });
}

/** Passes an error in the request itself (4xx) on to the caller as the answer. */
async function onRequestError(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  // Nothing shows whether its body is whole.
  if (answered.framing === 'close')
    return badAnswer(attempt, 'the answer has neither content-length nor transfer-encoding');
  const body = await readBuffered(attempt, answered);
  if (body.isErr()) return attemptFailed('lost', body.error);
  const type = answered.res.headers['content-type'] ?? 'application/json';
  const headers = { 'content-type': type };
  const status = answered.res.statusCode ?? STATUS.clientError;
  return { kind: 'done', ending: doneEnding({ kind: 'whole', status, headers, body: body.value }) };
}

function observeFirstToken({ ctx, call, selector, id }: ModelAttempt): void {
  selector.firstToken(id);
  const sinceArrival = ctx.clock.now() - call.exchange.arrivedAt;
  ctx.metrics.observe(METRIC.firstToken, sinceArrival, call.labels);
}

async function onBuffered(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const body = await readBuffered(attempt, answered);
  if (body.isErr()) return attemptFailed('lost', body.error);
  const fault = checkBufferedAnswer(body.value);
  if (fault !== undefined) return badAnswer(attempt, `incomplete or malformed answer: ${fault}`);
  observeFirstToken(attempt);
  const headers = { 'content-type': 'application/json' };
  return {
    kind: 'done',
    ending: doneEnding({ kind: 'whole', status: 200, headers, body: body.value }),
  };
}

/** One gap between chunks is measured per this many, which limits the cost and keeps the sample fair. */
const GAP_SAMPLE = 16;

/** Counts the chunks of a stream and samples the time between them. */
interface ChunkMeter {
  readonly onChunk: () => void;
  readonly chunks: () => number;
}

function createChunkMeter({ ctx, call }: ModelAttempt): ChunkMeter {
  let chunks = 0;
  let sampleStartedAt = 0;
  const onChunk = (): void => {
    const indexInSample = chunks % GAP_SAMPLE;
    chunks += 1;
    if (indexInSample === 0) sampleStartedAt = ctx.clock.now();
    else if (indexInSample === 1) {
      ctx.metrics.observe(METRIC.betweenTokens, ctx.clock.now() - sampleStartedAt, call.labels);
    }
  };
  return { onChunk, chunks: () => chunks };
}

async function onStream(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const { ctx, call, group } = attempt;
  const contentType = answered.res.headers['content-type'] ?? EVENT_STREAM;
  if (!contentType.startsWith(EVENT_STREAM))
    return badAnswer(attempt, 'the answer to a streaming request is not an event stream');
  const capture = attempt.guard.capture();
  const meter = createChunkMeter(attempt);
  const relayed = await relayStream({
    from: answered.res,
    to: call.exchange.res,
    peer: group.address,
    maxFrameBytes: ctx.settings.maxFrameBytes,
    idleTimeoutMs: ctx.settings.streamIdleTimeoutMs,
    onFirst: () => {
      attempt.abort.clearDeadline();
      observeFirstToken(attempt);
      startStream(call.exchange.res, call.exchange.id, contentType);
    },
    onChunk: meter.onChunk,
    onForward: capture?.push,
  });
  attempt.selector.end(attempt.id, meter.chunks());
  if (relayed.kind === 'broken') return attemptFailed('lost', relayed.error, relayed.started);
  const captured = capture?.chunks();
  return {
    kind: 'done',
    ending: doneEnding({ kind: 'stream-end', last: relayed.last, contentType, captured }),
  };
}

/**
 * Whether the response certainly belongs to this attempt: it echoes the attempt id, or it is a
 * refusal without one on a connection that carried no earlier request.
 */
function isForAttempt(attempt: ModelAttempt, { res, reused }: Answered): boolean {
  const echoed = res.headers[HEADER.attempt];
  const isRefusal = res.statusCode === STATUS.conflict || res.statusCode === STATUS.unavailable;
  return echoed === attempt.id || (echoed === undefined && isRefusal && !reused);
}

/** Reads the response according to its status. */
export async function readAnswer(
  attempt: ModelAttempt,
  answered: Answered,
): Promise<AttemptResult> {
  const status = answered.res.statusCode ?? 0;
  if (!isForAttempt(attempt, answered))
    return badAnswer(attempt, 'the answer belongs to another attempt');
  if (status === STATUS.conflict) return onConflict(attempt, answered);
  if (status === STATUS.unavailable) return onUnavailable(attempt, answered);
  if (status >= STATUS.serverError)
    return badAnswer(attempt, `the engine answered with status ${status}`, 'backend-lost');
  if (!isFromGroup(answered.res, attempt)) {
    reportEvidence(attempt, 'wrong-group', 'first-byte');
    return badAnswer(attempt, 'the answer comes from another group or epoch');
  }
  if (status >= STATUS.clientError) return onRequestError(attempt, answered);
  return attempt.call.stream ? onStream(attempt, answered) : onBuffered(attempt, answered);
}

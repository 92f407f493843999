/** Reads an engine's answer: whole, streamed, or a refusal; and checks whose it is. */

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
const STATUS = { conflict: 409, unavailable: 503, errorsOfOurs: 400, errorsOfTheirs: 500 };

/** What one attempt needs at hand. */
export interface ModelAttempt {
  readonly ctx: RequestContext;
  readonly call: ModelCall;
  readonly group: RoutableGroup;
  readonly id: AttemptId;
  readonly span: Span;
  readonly guard: SendGuard;
  readonly choice: GroupSelector;
  readonly strikes: Strikes;
  readonly abort: AttemptAbort;
}

/** Whether the answer is from the group and epoch that the attempt was sent to. */
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

export function reportEvidence(
  { ctx, group }: ModelAttempt,
  kind: 'lost' | 'wrong-group' | 'refused',
  step: string,
): void {
  ctx.groups.report({ group: group.id, epoch: group.epoch, kind, step });
}

/** The reason in an engine's refusal, or undefined if its body did not come whole. */
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

/** A 409: the engine belongs to another group or epoch, and did not run the request. */
async function onConflict(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const reason = await readReason(answered);
  if (reason !== 'wrong-group') return badAnswer(attempt, 'conflict without a known reason');
  reportEvidence(attempt, 'wrong-group', 'first-byte');
  const origin = { step: 'first-byte', peer: attempt.group.address };
  return attemptFailed('wrong-group', fail('backend-refused', 'engine left the group', origin));
}

/** A 503: not run, if the engine says so. */
async function onUnavailable(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const reason = await readReason(answered);
  const isRefusal = answered.res.headers[HEADER.refused] === 'true' && reason !== undefined;
  if (!isRefusal) return badAnswer(attempt, 'engine failed', 'backend-lost');
  const origin = { step: 'first-byte', peer: attempt.group.address };
  return attemptFailed('refused', fail('backend-refused', 'engine takes no request now', origin));
}

function readWhole(
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

/** An error that the engine found in the request itself: passed on as the answer. */
async function onRequestError(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const body = await readWhole(attempt, answered);
  if (body.isErr()) return attemptFailed('lost', body.error);
  const type = answered.res.headers['content-type'] ?? 'application/json';
  const headers = { 'content-type': type };
  const status = answered.res.statusCode ?? STATUS.errorsOfOurs;
  return { kind: 'done', ending: doneEnding({ kind: 'whole', status, headers, body: body.value }) };
}

function observeFirst({ ctx, call, choice, id }: ModelAttempt): void {
  choice.firstToken(id);
  const sinceArrival = ctx.clock.now() - call.exchange.arrivedAt;
  ctx.metrics.observe(METRIC.firstToken, sinceArrival, call.labels);
}

async function onWhole(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const body = await readWhole(attempt, answered);
  if (body.isErr()) return attemptFailed('lost', body.error);
  const fault = checkBufferedAnswer(body.value);
  if (fault !== undefined) return badAnswer(attempt, `not a whole answer: ${fault}`);
  observeFirst(attempt);
  const headers = { 'content-type': 'application/json' };
  return {
    kind: 'done',
    ending: doneEnding({ kind: 'whole', status: 200, headers, body: body.value }),
  };
}

/** One gap in so many is recorded, which keeps the cost per chunk down and the sample fair. */
const GAP_SAMPLE = 16;

/** Counts chunks and samples the time between them. */
interface ChunkMeter {
  readonly onChunk: () => void;
  readonly chunks: () => number;
}

function createChunkMeter({ ctx, call }: ModelAttempt): ChunkMeter {
  let chunks = 0;
  let before = 0;
  const onChunk = (): void => {
    const place = chunks % GAP_SAMPLE;
    chunks += 1;
    if (place === 0) before = ctx.clock.now();
    else if (place === 1) {
      ctx.metrics.observe(METRIC.betweenTokens, ctx.clock.now() - before, call.labels);
    }
  };
  return { onChunk, chunks: () => chunks };
}

async function onStream(attempt: ModelAttempt, answered: Answered): Promise<AttemptResult> {
  const { ctx, call, group } = attempt;
  const contentType = answered.res.headers['content-type'] ?? EVENT_STREAM;
  if (!contentType.startsWith(EVENT_STREAM)) return badAnswer(attempt, 'not an event stream');
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
      observeFirst(attempt);
      startStream(call.exchange.res, call.exchange.id, contentType);
    },
    onChunk: meter.onChunk,
    onForward: capture?.push,
  });
  attempt.choice.end(attempt.id, meter.chunks());
  if (relayed.kind === 'broken') return attemptFailed('lost', relayed.error, relayed.started);
  const captured = capture?.chunks();
  return {
    kind: 'done',
    ending: doneEnding({ kind: 'stream-end', last: relayed.last, contentType, captured }),
  };
}

/** Whether the answer can only be to this attempt: it says so, or no other call was before it. */
function isOwn(attempt: ModelAttempt, { res, reused }: Answered): boolean {
  const echoed = res.headers[HEADER.attempt];
  const isRefusal = res.statusCode === STATUS.conflict || res.statusCode === STATUS.unavailable;
  return echoed === attempt.id || (echoed === undefined && isRefusal && !reused);
}

/** Reads the answer according to its status. */
export async function readAnswer(
  attempt: ModelAttempt,
  answered: Answered,
): Promise<AttemptResult> {
  const status = answered.res.statusCode ?? 0;
  if (!isOwn(attempt, answered)) return badAnswer(attempt, 'answer is for another attempt');
  if (status === STATUS.conflict) return onConflict(attempt, answered);
  if (status === STATUS.unavailable) return onUnavailable(attempt, answered);
  if (status >= STATUS.errorsOfTheirs) return badAnswer(attempt, 'engine failed', 'backend-lost');
  if (!isFromGroup(answered.res, attempt)) {
    reportEvidence(attempt, 'wrong-group', 'first-byte');
    return badAnswer(attempt, 'answer is from another group or epoch');
  }
  if (status >= STATUS.errorsOfOurs) return onRequestError(attempt, answered);
  return attempt.call.stream ? onStream(attempt, answered) : onWhole(attempt, answered);
}

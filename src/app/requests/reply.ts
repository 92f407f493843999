/** Writes endings to callers. No other module writes an outcome. */

import type { ServerResponse } from 'node:http';

import type { EpochTime, RequestId } from '../../core/ids';
import type { Outcome } from '../../core/outcome';
import type { StepError } from '../../utils/errors';
import { statusOf } from '../../utils/errors';
import type { DoneEnding, Ending, FailedEnding, StreamEnd, BufferedAnswer } from './ending';
import { HEADER } from './names';

const MS_PER_SECOND = 1_000;
const CLIENT_ERRORS_FROM = 400;
const SERVER_ERRORS_FROM = 500;

/** The response that an ending is written to. */
export interface ReplyTarget {
  readonly id: RequestId;
  readonly res: ServerResponse;
  /** Current wall-clock time, for `Retry-After`. */
  readonly epoch: EpochTime;
}

/** The `type` field of the error object in the body. */
function errorTypeOf(status: number): string {
  if (status >= SERVER_ERRORS_FROM) return 'server_error';
  return status >= CLIENT_ERRORS_FROM ? 'invalid_request_error' : 'api_error';
}

function errorBody(error: StepError, outcome: Outcome, id: RequestId): string {
  const { code, step, message } = error;
  const fields = { message, type: errorTypeOf(statusOf(code)), param: null, code };
  const extensions = { step, peer: error.peer ?? null, outcome: outcome.kind, request_id: id };
  return JSON.stringify({ error: { ...fields, ...extensions } });
}

function retryAfter(retryAt: EpochTime | undefined, now: EpochTime): Record<string, string> {
  if (retryAt === undefined) return {};
  const seconds = Math.max(1, Math.ceil((retryAt - now) / MS_PER_SECOND));
  return { [HEADER.retryAfter]: String(seconds) };
}

function sendBuffered(target: ReplyTarget, answer: BufferedAnswer): void {
  target.res.writeHead(answer.status, {
    ...answer.headers,
    'content-length': answer.body.byteLength,
    [HEADER.outcome]: 'done',
    [HEADER.requestId]: target.id,
  });
  target.res.end(answer.body);
}

function sendStreamEnd(target: ReplyTarget, end: StreamEnd): void {
  target.res.addTrailers({ [HEADER.outcome]: 'done' });
  target.res.end(end.last);
}

function sendDone(target: ReplyTarget, ending: DoneEnding): void {
  if (ending.answer.kind === 'whole') sendBuffered(target, ending.answer);
  else sendStreamEnd(target, ending.answer);
}

/**
 * Ends a failed stream with an error event, then closes the connection, so that the caller never
 * sees a proper end.
 */
function breakStream(target: ReplyTarget, ending: FailedEnding): void {
  const data = errorBody(ending.error, ending.outcome, target.id);
  target.res.write(`event: error\ndata: ${data}\n\n`);
  target.res.socket?.destroySoon();
}

function sendError(target: ReplyTarget, ending: FailedEnding): void {
  const { res, id, epoch } = target;
  const body = errorBody(ending.error, ending.outcome, id);
  const closeHeader = res.req.complete ? {} : { connection: 'close' };
  res.writeHead(statusOf(ending.error.code), {
    ...retryAfter(ending.outcome.retryAt, epoch),
    ...closeHeader,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [HEADER.outcome]: ending.outcome.kind,
    [HEADER.requestId]: id,
  });
  res.end(body);
}

function sendFailed(target: ReplyTarget, ending: FailedEnding): void {
  if (target.res.headersSent) breakStream(target, ending);
  else sendError(target, ending);
}

/** Writes an ending and returns the outcome that it states. */
export function writeEnding(target: ReplyTarget, ending: Ending): Outcome {
  if (ending.kind === 'done') {
    if (!target.res.destroyed) sendDone(target, ending);
    return { kind: 'done' };
  }
  if (!target.res.destroyed) sendFailed(target, ending);
  return ending.outcome;
}

/** Writes the head of a streamed answer. The outcome follows as a trailer. */
export function startStream(res: ServerResponse, id: RequestId, contentType: string): void {
  res.writeHead(200, {
    'content-type': contentType,
    'cache-control': 'no-cache',
    trailer: HEADER.outcome,
    [HEADER.requestId]: id,
  });
}

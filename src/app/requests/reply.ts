/** Writes the end of a request to its caller: the only place that states an outcome. */

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

/** Where an ending goes. */
export interface ReplyTarget {
  readonly id: RequestId;
  readonly res: ServerResponse;
  /** Now, for `Retry-After`. */
  readonly epoch: EpochTime;
}

/** The `type` field of the published error object. */
function typeOf(status: number): string {
  if (status >= SERVER_ERRORS_FROM) return 'server_error';
  return status >= CLIENT_ERRORS_FROM ? 'invalid_request_error' : 'api_error';
}

function errorBody(error: StepError, outcome: Outcome, id: RequestId): string {
  const { code, step, message } = error;
  const fields = { message, type: typeOf(statusOf(code)), param: null, code };
  const own = { step, peer: error.peer ?? null, outcome: outcome.kind, request_id: id };
  return JSON.stringify({ error: { ...fields, ...own } });
}

function retryAfter(retryAt: EpochTime | undefined, now: EpochTime): Record<string, string> {
  if (retryAt === undefined) return {};
  const seconds = Math.max(1, Math.ceil((retryAt - now) / MS_PER_SECOND));
  return { [HEADER.retryAfter]: String(seconds) };
}

function sendWhole(target: ReplyTarget, answer: BufferedAnswer): void {
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
  if (ending.answer.kind === 'whole') sendWhole(target, ending.answer);
  else sendStreamEnd(target, ending.answer);
}

/** A stream that broke: an error event, then a torn connection, never a clean end. */
function tearStream(target: ReplyTarget, ending: FailedEnding): void {
  const data = errorBody(ending.error, ending.outcome, target.id);
  target.res.write(`event: error\ndata: ${data}\n\n`);
  target.res.socket?.destroySoon();
}

function sendError(target: ReplyTarget, ending: FailedEnding): void {
  const { res, id, epoch } = target;
  const body = errorBody(ending.error, ending.outcome, id);
  const unread = res.req.complete ? {} : { connection: 'close' };
  res.writeHead(statusOf(ending.error.code), {
    ...retryAfter(ending.outcome.retryAt, epoch),
    ...unread,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    [HEADER.outcome]: ending.outcome.kind,
    [HEADER.requestId]: id,
  });
  res.end(body);
}

function sendFailed(target: ReplyTarget, ending: FailedEnding): void {
  if (target.res.headersSent) tearStream(target, ending);
  else sendError(target, ending);
}

/** Writes an ending and gives the outcome that it states. */
export function writeEnding(target: ReplyTarget, ending: Ending): Outcome {
  if (ending.kind === 'done') {
    if (!target.res.destroyed) sendDone(target, ending);
    return { kind: 'done' };
  }
  if (!target.res.destroyed) sendFailed(target, ending);
  return ending.outcome;
}

/** Starts a stream. Its outcome follows as a trailer, and as a comment before the end mark. */
export function startStream(res: ServerResponse, id: RequestId, contentType: string): void {
  res.writeHead(200, {
    'content-type': contentType,
    'cache-control': 'no-cache',
    trailer: HEADER.outcome,
    [HEADER.requestId]: id,
  });
}

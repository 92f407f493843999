/** Requests and responses of the administration API: bodies, headers, errors as JSON. */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';

import { parseDocument } from '../../adapters/config-file';
import type { FieldError } from '../../core/config/check';
import { brandAs } from '../../core/ids';
import type { ConfigVersion } from '../../core/ids';
import type { Json } from '../../core/json';
import { fail, statusOf } from '../../utils/errors';
import type { StepError } from '../../utils/errors';
import { isRecord } from '../../utils/is';

/** A response with a JSON body. */
export interface RouteResponse {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Why a request was refused; `fields` names each wrong field of a document. */
export interface Refusal {
  readonly error: StepError;
  readonly fields?: readonly FieldError[];
}

/** What a route returns. */
export type RouteResult = ResultAsync<RouteResponse, Refusal>;

const RETRY_AFTER_SECONDS = '2';
const ETAG = /^"?(\d{1,15})"?$/;
const CHANGE_ID = /^[\w.:-]{1,128}$/;

export function toRefusal(error: StepError): Refusal {
  return { error };
}

function badRequest(message: string, step: string): Refusal {
  return toRefusal(fail('bad-request', message, { step }));
}

async function readBody(req: IncomingMessage, maxBytes: number): Promise<Result<string, Refusal>> {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of req as AsyncIterable<Buffer>) {
    bytes += part.byteLength;
    if (bytes > maxBytes) {
      const message = `the request body exceeds ${maxBytes} bytes`;
      return err(toRefusal(fail('body-too-large', message, { step: 'admin-body' })));
    }
    parts.push(part);
  }
  return ok(Buffer.concat(parts).toString('utf8'));
}

/** Parses the body as a document, in YAML or JSON. */
export function readDocument(req: IncomingMessage, maxBytes: number): ResultAsync<Json, Refusal> {
  const text = ResultAsync.fromPromise(readBody(req, maxBytes), () =>
    badRequest('the connection closed before the end of the body', 'admin-body'),
  );
  return text
    .andThen((result) => result)
    .andThen((source) => parseDocument(source).mapErr(toRefusal));
}

/** Parses the body as an object. */
export function readObject(
  req: IncomingMessage,
  maxBytes: number,
): ResultAsync<Readonly<Record<string, Json>>, Refusal> {
  return readDocument(req, maxBytes).andThen((value) =>
    isRecord(value)
      ? ok(value as Readonly<Record<string, Json>>)
      : err(badRequest('the body must be an object', 'admin-body')),
  );
}

function singleHeader(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** The version in `If-Match`, in the form that the API returns in `ETag`. */
export function readIfMatch(req: IncomingMessage): Result<ConfigVersion | undefined, Refusal> {
  const text = singleHeader(req, 'if-match');
  if (text === undefined) return ok(undefined);
  const version = ETAG.exec(text)?.[1];
  if (version === undefined)
    return err(
      badRequest('If-Match must be a version number, as returned in ETag', 'admin-if-match'),
    );
  return ok(brandAs<ConfigVersion>(Number(version)));
}

/** The id of a change in `Nutmegstack-Change-Id`, or a new one where there is none. */
export function readChangeId(req: IncomingMessage): Result<string, Refusal> {
  const text = singleHeader(req, 'nutmegstack-change-id');
  if (text === undefined) return ok(randomUUID());
  if (CHANGE_ID.test(text)) return ok(text);
  const message = 'Nutmegstack-Change-Id must be 1 to 128 letters, digits or any of _.:-';
  return err(badRequest(message, 'admin-change-id'));
}

export function etagOf(version: ConfigVersion): Readonly<Record<string, string>> {
  return { etag: `"${version}"` };
}

/** Whether the change may have taken effect in spite of the error. */
function outcomeOf({ code }: StepError): 'unknown' | 'not-run' {
  return code === 'store-unknown' || code === 'internal' ? 'unknown' : 'not-run';
}

function errorResponse({ error, fields }: Refusal): RouteResponse {
  const { code, message, step, peer } = error;
  const status = statusOf(code);
  const isRetryable = status === 429 || status === 503;
  return {
    status,
    body: { error: { code, message, step, peer, outcome: outcomeOf(error), fields } },
    headers: isRetryable ? { 'retry-after': RETRY_AFTER_SECONDS } : {},
  };
}

function send(res: ServerResponse, { status, body, headers = {} }: RouteResponse): void {
  const text = `${JSON.stringify(body)}\n`;
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  res.end(text);
}

/** Sends the result of a route. */
export function sendResult(
  req: IncomingMessage,
  res: ServerResponse,
  result: Result<RouteResponse, Refusal>,
): void {
  if (res.destroyed) return;
  // The remaining body of a refused request is not read, so the connection can't be reused.
  const closeHeaders = req.complete ? {} : { connection: 'close' };
  const answer = result.match((response) => response, errorResponse);
  send(res, { ...answer, headers: { ...answer.headers, ...closeHeaders } });
}

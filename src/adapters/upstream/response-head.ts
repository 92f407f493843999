/** Decides by its head whether a response can be an answer, which is read and sent on. */

import type { IncomingMessage } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { isFinalStatus } from '../../core/gateway/final-status';
import { findUnwritableName } from '../../core/gateway/header-names';
import { framingOf } from '../../core/gateway/response-framing';
import type { Framing } from '../../core/gateway/response-framing';

/** Characters of a value that are logged at most. */
const MAX_LOGGED_CHARS = 60;

/** How the end of the answer is known, or why the response is none. */
export function readHead(
  method: string,
  { statusCode = 0, headers, rawHeaders, httpVersion: version }: IncomingMessage,
): Result<Framing, Error> {
  if (!isFinalStatus(statusCode)) return err(new Error(`answer with status ${statusCode}`));
  const unwritable = findUnwritableName(rawHeaders);
  if (unwritable !== undefined) {
    const name = JSON.stringify(unwritable.slice(0, MAX_LOGGED_CHARS));
    return err(new Error(`answer with a header named ${name}`));
  }
  const { 'content-length': contentLength, 'transfer-encoding': transferEncoding } = headers;
  const head = { method, status: statusCode, version, contentLength, transferEncoding };
  const framing = framingOf(head);
  if (framing !== undefined) return ok(framing);
  const encoding = transferEncoding?.slice(0, MAX_LOGGED_CHARS) ?? '';
  return err(new Error(`answer in HTTP/${version} with Transfer-Encoding ${encoding}`));
}

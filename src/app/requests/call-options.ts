/** Authenticates callers and parses the call options in their headers. */

import type { IncomingHttpHeaders } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import type { Config } from '../../core/config/types';
import { brandAs, later } from '../../core/ids';
import type { EpochTime, MonoTime } from '../../core/ids';
import { hashKey } from '../../utils/common';
import type { StepError } from '../../utils/errors';
import { fail } from '../../utils/errors';
import type { CallOptions, Caller } from './exchange';
import { HEADER } from './names';

const BEARER = /^Bearer +(\S+) *$/i;
const MAX_KEY_LENGTH = 255;
const EPOCH_MS = /^\d{1,15}$/;
/** Later deadlines are reduced to this, milliseconds from now. */
const MAX_DEADLINE_MS = 3_600_000;

function getOwn<T>(table: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(table, key) ? table[key] : undefined;
}

function unauthorized(): StepError {
  return fail('unauthorized', 'missing or unknown API key', { step: 'entry' });
}

/**
 * Identifies the caller by its API key. Errors: `unauthorized`; `forbidden` if the key is not a
 * caller's.
 */
export function authenticate(
  config: Config,
  authorization: string | undefined,
): Result<Caller, StepError> {
  const key = BEARER.exec(authorization ?? '')?.[1];
  if (key === undefined) return err(unauthorized());
  const grant = getOwn(config.keys, hashKey(key));
  if (grant === undefined) return err(unauthorized());
  const organisation = getOwn(config.organisations, grant.organisation ?? '');
  const callerClass = organisation && getOwn(organisation.classes, grant.class ?? '');
  if (grant.role !== 'caller' || organisation === undefined || callerClass === undefined) {
    return err(fail('forbidden', 'the API key does not grant caller access', { step: 'entry' }));
  }
  return ok({ organisation, class: callerClass });
}

function badHeader(name: string, expected: string): StepError {
  return fail('bad-request', `${name} must be ${expected}`, { step: 'entry' });
}

const REPEATABLE: Readonly<Record<string, boolean>> = { true: true, false: false };

function readRepeatable(text: string | undefined, fallback: boolean): Result<boolean, StepError> {
  if (text === undefined) return ok(fallback);
  const value = getOwn(REPEATABLE, text.toLowerCase());
  return value === undefined ? err(badHeader(HEADER.repeatable, 'true or false')) : ok(value);
}

function readDeadline(text: string | undefined, fallback: EpochTime): Result<EpochTime, StepError> {
  if (text === undefined) return ok(fallback);
  if (!EPOCH_MS.test(text)) return err(badHeader(HEADER.deadline, 'milliseconds since the epoch'));
  return ok(brandAs<EpochTime>(Number(text)));
}

function readIdempotencyKey(text: string | undefined): Result<string | undefined, StepError> {
  if (text === undefined) return ok(undefined);
  const isValid = text.length > 0 && text.length <= MAX_KEY_LENGTH;
  return isValid
    ? ok(text)
    : err(badHeader(HEADER.idempotencyKey, `1 to ${MAX_KEY_LENGTH} characters long`));
}

/** The value of a header. Repeated headers are joined, if Node has not already done so. */
function headerValue(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

/** Defaults for omitted headers, and the current time on both clocks. */
export interface CallOptionDefaults {
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  readonly now: MonoTime;
  readonly epoch: EpochTime;
}

/** Parses the call options. Errors: `bad-request`, with the name of the invalid header. */
export function readCallOptions(
  headers: IncomingHttpHeaders,
  defaults: CallOptionDefaults,
): Result<CallOptions, StepError> {
  const { now, epoch } = defaults;
  const defaultDeadline = later(epoch, defaults.deadlineMs);
  const deadline = readDeadline(headerValue(headers, HEADER.deadline), defaultDeadline);
  const repeatable = readRepeatable(headerValue(headers, HEADER.repeatable), defaults.repeatable);
  const key = readIdempotencyKey(headerValue(headers, HEADER.idempotencyKey));
  if (deadline.isErr()) return err(deadline.error);
  if (repeatable.isErr()) return err(repeatable.error);
  if (key.isErr()) return err(key.error);
  const remainingMs = Math.min(deadline.value - epoch, MAX_DEADLINE_MS);
  return ok({
    deadline: later(now, remainingMs),
    deadlineAt: later(epoch, remainingMs),
    repeatable: repeatable.value,
    idempotencyKey: key.value,
  });
}

/** Reads what a caller asks of the system by headers, and who the caller is. */

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
const INSTANT = /^\d{1,15}$/;
/** A deadline further away than this is brought nearer, milliseconds. */
const LONGEST_DEADLINE_MS = 3_600_000;

function lookUp<T>(table: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(table, key) ? table[key] : undefined;
}

function unauthorized(): StepError {
  return fail('unauthorized', 'no such key', { step: 'entry' });
}

/** Errors: `unauthorized`, `forbidden` (not a caller's key). */
export function authenticate(
  config: Config,
  authorization: string | undefined,
): Result<Caller, StepError> {
  const key = BEARER.exec(authorization ?? '')?.[1];
  if (key === undefined) return err(unauthorized());
  const grant = lookUp(config.keys, hashKey(key));
  if (grant === undefined) return err(unauthorized());
  const organisation = lookUp(config.organisations, grant.organisation ?? '');
  const callerClass = organisation && lookUp(organisation.classes, grant.class ?? '');
  if (grant.role !== 'caller' || organisation === undefined || callerClass === undefined) {
    return err(fail('forbidden', 'not a key of a caller', { step: 'entry' }));
  }
  return ok({ organisation, class: callerClass });
}

function badHeader(name: string, wanted: string): StepError {
  return fail('bad-request', `${name} must be ${wanted}`, { step: 'entry' });
}

const REPEATABLE: Readonly<Record<string, boolean>> = { true: true, false: false };

function readRepeatable(text: string | undefined, byDefault: boolean): Result<boolean, StepError> {
  if (text === undefined) return ok(byDefault);
  const value = lookUp(REPEATABLE, text.toLowerCase());
  return value === undefined ? err(badHeader(HEADER.repeatable, 'true or false')) : ok(value);
}

function readDeadline(
  text: string | undefined,
  byDefault: EpochTime,
): Result<EpochTime, StepError> {
  if (text === undefined) return ok(byDefault);
  if (!INSTANT.test(text)) return err(badHeader(HEADER.deadline, 'milliseconds since the epoch'));
  return ok(brandAs<EpochTime>(Number(text)));
}

function readIdempotencyKey(text: string | undefined): Result<string | undefined, StepError> {
  if (text === undefined) return ok(undefined);
  const fits = text.length > 0 && text.length <= MAX_KEY_LENGTH;
  return fits ? ok(text) : err(badHeader(HEADER.idempotencyKey, 'of 1 to 255 characters'));
}

/** One value of a header; Node joins repeated ones. */
function single(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

/** What the defaults depend on. */
export interface CallOptionDefaults {
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  readonly now: MonoTime;
  readonly epoch: EpochTime;
}

/** Errors: `bad-request`. */
export function readCallOptions(
  headers: IncomingHttpHeaders,
  defaults: CallOptionDefaults,
): Result<CallOptions, StepError> {
  const { now, epoch } = defaults;
  const byDefault = later(epoch, defaults.deadlineMs);
  const deadline = readDeadline(single(headers, HEADER.deadline), byDefault);
  const repeatable = readRepeatable(single(headers, HEADER.repeatable), defaults.repeatable);
  const key = readIdempotencyKey(single(headers, HEADER.idempotencyKey));
  if (deadline.isErr()) return err(deadline.error);
  if (repeatable.isErr()) return err(repeatable.error);
  if (key.isErr()) return err(key.error);
  const leftMs = Math.min(deadline.value - epoch, LONGEST_DEADLINE_MS);
  return ok({
    deadline: later(now, leftMs),
    deadlineAt: later(epoch, leftMs),
    repeatable: repeatable.value,
    idempotencyKey: key.value,
  });
}

/**
 * How a request ends. Every path through the request plane returns an {@link Ending}; `reply.ts`
 * alone turns one into bytes. `not-run` can be had only from {@link failedEnding}, which derives it from
 * what backend servers may have seen.
 */

import type { OutgoingHttpHeaders } from 'node:http';

import type { EpochTime } from '../../core/ids';
import { outcomeWithoutAnswer } from '../../core/outcome';
import type { Exposure, NotRun, Unknown } from '../../core/outcome';
import type { StepError } from '../../utils/errors';

/** An answer held whole. */
export interface BufferedAnswer {
  readonly kind: 'whole';
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Uint8Array;
}

/** A stream whose last bytes are still to be written; all before them are with the caller. */
export interface StreamEnd {
  readonly kind: 'stream-end';
  readonly last: Uint8Array;
  readonly contentType: string;
  /** All that went before, where the answer is to be stored and not too long. */
  readonly captured: readonly Uint8Array[] | undefined;
}

export interface DoneEnding {
  readonly kind: 'done';
  readonly answer: BufferedAnswer | StreamEnd;
}

export interface FailedEnding {
  readonly kind: 'failed';
  readonly outcome: NotRun | Unknown;
  readonly error: StepError;
}

export type Ending = DoneEnding | FailedEnding;

/** Why there is no whole answer, and what backend servers may have seen. */
export interface Failure {
  readonly error: StepError;
  readonly exposure: Exposure;
  readonly retryAt?: EpochTime | undefined;
}

export function doneEnding(answer: BufferedAnswer | StreamEnd): DoneEnding {
  return { kind: 'done', answer };
}

export function failedEnding(failure: Failure): FailedEnding {
  const outcome = outcomeWithoutAnswer(failure.exposure, failure.retryAt);
  return { kind: 'failed', outcome, error: failure.error };
}

/** An ending before anything was sent. */
export function refusedEnding(error: StepError, retryAt?: EpochTime): FailedEnding {
  return failedEnding({ error, exposure: 'none', retryAt });
}

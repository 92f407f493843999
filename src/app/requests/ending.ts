/**
 * Results of requests. Every path through the request plane returns an {@link Ending}, and only
 * `reply.ts` writes one to the caller. The outcome `not-run` is produced only by
 * {@link failedEnding}, which derives it from what backend servers may have received.
 */

import type { OutgoingHttpHeaders } from 'node:http';

import type { EpochTime } from '../../core/ids';
import { outcomeWithoutAnswer } from '../../core/outcome';
import type { Exposure, NotRun, Unknown } from '../../core/outcome';
import type { StepError } from '../../utils/errors';

/** A complete answer, held in memory. */
export interface BufferedAnswer {
  readonly kind: 'whole';
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Uint8Array;
}

/** A stream whose last bytes are still to be written; all earlier ones were sent to the caller. */
export interface StreamEnd {
  readonly kind: 'stream-end';
  readonly last: Uint8Array;
  readonly contentType: string;
  /** The bytes sent so far, if the answer is to be stored and is not too long. */
  readonly captured: readonly Uint8Array[] | undefined;
}

/** The request ran, and its answer is complete. */
export interface DoneEnding {
  readonly kind: 'done';
  readonly answer: BufferedAnswer | StreamEnd;
}

/** The request has no complete answer. */
export interface FailedEnding {
  readonly kind: 'failed';
  readonly outcome: NotRun | Unknown;
  readonly error: StepError;
}

/** How a request ended. */
export type Ending = DoneEnding | FailedEnding;

/** Why there is no complete answer, and what backend servers may have received. */
export interface Failure {
  readonly error: StepError;
  readonly exposure: Exposure;
  readonly retryAt?: EpochTime | undefined;
}

/** Creates the ending of a request with a complete answer. */
export function doneEnding(answer: BufferedAnswer | StreamEnd): DoneEnding {
  return { kind: 'done', answer };
}

/** Creates the ending of a failed request. Its outcome follows from the exposure. */
export function failedEnding(failure: Failure): FailedEnding {
  const outcome = outcomeWithoutAnswer(failure.exposure, failure.retryAt);
  return { kind: 'failed', outcome, error: failure.error };
}

/** Creates the ending of a request that failed before anything was sent. */
export function refusedEnding(error: StepError, retryAt?: EpochTime): FailedEnding {
  return failedEnding({ error, exposure: 'none', retryAt });
}

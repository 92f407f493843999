/** The final outcome of a request, as reported to its caller. */

import type { EpochTime } from './ids';

/** `not-run` is a guarantee: no backend server has run the request, nor ever will. */
export type OutcomeKind = 'done' | 'not-run' | 'unknown';

/** The complete answer was delivered. */
export interface Done {
  readonly kind: 'done';
}

/** The request did not run; `retryAt` says when to retry, where that may help. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly retryAt?: EpochTime;
}

/** Whether the request ran is unknown, or its answer is incomplete. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly retryAt?: EpochTime;
}

/** One of the three outcomes. */
export type Outcome = Done | NotRun | Unknown;

/**
 * How far one submission may have reached backend servers, over all its attempts.
 *
 * - `none`: no byte was sent to a backend server.
 * - `refused`: bytes were sent, and each backend server that received them stated that it did not
 *   run the request.
 * - `exposed`: a backend server may have run it.
 */
export type Exposure = 'none' | 'refused' | 'exposed';

const EXPOSURE_RANK = { none: 0, refused: 1, exposed: 2 } as const;

/** The exposure after two attempts of one submission: the greater of the two. */
export function combineExposure(a: Exposure, b: Exposure): Exposure {
  return EXPOSURE_RANK[a] >= EXPOSURE_RANK[b] ? a : b;
}

/** The outcome of a submission without a complete answer: `not-run` only where that is certain. */
export function outcomeWithoutAnswer(exposure: Exposure, retryAt?: EpochTime): NotRun | Unknown {
  const kind = exposure === 'exposed' ? 'unknown' : 'not-run';
  return retryAt === undefined ? { kind } : { kind, retryAt };
}

/** What a caller is told of its request at the end. */

import type { EpochTime } from './ids';

/** `not-run` is a promise: no backend server has run the request, nor ever will. */
export type OutcomeKind = 'done' | 'not-run' | 'unknown';

/** The whole answer was delivered. */
export interface Done {
  readonly kind: 'done';
}

/** The request did not run. Says when to come back, where that may help. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly retryAt?: EpochTime;
}

/** No one can tell whether the request ran, or its answer was cut short. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly retryAt?: EpochTime;
}

export type Outcome = Done | NotRun | Unknown;

/**
 * What backend servers may have seen of one submission, over all its attempts.
 *
 * - `none`: no byte left for a backend server.
 * - `refused`: bytes left, and each backend server that got them said that it did not run them.
 * - `exposed`: a backend server may have run it.
 */
export type Exposure = 'none' | 'refused' | 'exposed';

const EXPOSURE_RANK = { none: 0, refused: 1, exposed: 2 } as const;

/** What is known after two attempts of one submission. */
export function combineExposure(a: Exposure, b: Exposure): Exposure {
  return EXPOSURE_RANK[a] >= EXPOSURE_RANK[b] ? a : b;
}

/** The outcome of a submission without a whole answer: `not-run` only where that is certain. */
export function outcomeWithoutAnswer(exposure: Exposure, retryAt?: EpochTime): NotRun | Unknown {
  const kind = exposure === 'exposed' ? 'unknown' : 'not-run';
  return retryAt === undefined ? { kind } : { kind, retryAt };
}

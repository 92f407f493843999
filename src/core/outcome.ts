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

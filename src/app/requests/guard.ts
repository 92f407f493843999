/** What stands between a call and its sending: nothing, or a claim. */

import type { AttemptFailure } from '../../core/retry/decide';
import type { StepError } from '../../utils/errors';

/** Keeps what is passed on of a stream, up to a limit. */
export interface Capture {
  readonly push: (bytes: Buffer) => void;
  /** Undefined if it grew beyond the limit. */
  readonly chunks: () => readonly Buffer[] | undefined;
}

export interface SendGuard {
  /** Runs in the tick of the write; an error forbids it. */
  beforeSend(): StepError | undefined;
  /** An attempt failed; in some ways, what was sent did not run. */
  onFailed(failure: AttemptFailure): void;
  /** A capture, if the answer is to be stored. */
  capture(): Capture | undefined;
}

/** For calls without a claim. */
export const NOOP_GUARD: SendGuard = {
  beforeSend: () => undefined,
  onFailed: () => undefined,
  capture: () => undefined,
};

export function createCapture(maxBytes: number): Capture {
  let kept: Buffer[] | undefined = [];
  let bytes = 0;
  const push = (chunk: Buffer): void => {
    bytes += chunk.length;
    if (bytes > maxBytes) kept = undefined;
    kept?.push(chunk);
  };
  return { push, chunks: () => kept };
}

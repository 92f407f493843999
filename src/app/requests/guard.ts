/** Guards that are checked when a call is sent: a claim, or none. */

import type { AttemptFailure } from '../../core/retry/decide';
import type { StepError } from '../../utils/errors';

/** Buffers the forwarded bytes of a stream, up to a limit. */
export interface Capture {
  readonly push: (bytes: Buffer) => void;
  /** The buffered bytes, or undefined if the limit was exceeded. */
  readonly chunks: () => readonly Buffer[] | undefined;
}

/** Permits or forbids sending, and observes attempts. */
export interface SendGuard {
  /** Called in the same tick as the write. An error forbids sending. */
  beforeSend(): StepError | undefined;
  /** Called when an attempt failed. Some failures imply that the request did not run. */
  onFailed(failure: AttemptFailure): void;
  /** Creates a capture if the answer is to be stored. */
  capture(): Capture | undefined;
}

/** Guard of calls without a claim: always permits sending. */
export const NOOP_GUARD: SendGuard = {
  beforeSend: () => undefined,
  onFailed: () => undefined,
  capture: () => undefined,
};

/** Creates a capture of at most `maxBytes`. */
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

/** The answer to a request whose handling met an unexpected error. */

/** What is known about the request at that moment. */
export interface RequestProgress {
  /** Whether a byte of it may have left this daemon for a server. */
  readonly wasSent: boolean;
  /** Whether headers of an answer were sent. */
  readonly hasStarted: boolean;
  /** Whether its answer was written to the end, even if not all of it has left yet. */
  readonly hasEnded: boolean;
  readonly isLate: boolean;
}

/**
 * - a status: the request gets it. 503 promises that it has not run and never will, so it is for those that were
 *   never sent.
 * - `close`: a part of another answer was sent; only the end of the connection shows that it is incomplete.
 * - `none`: it has its answer.
 */
export type UnexpectedAnswer = 502 | 503 | 504 | 'close' | 'none';

export function answerToUnexpected(progress: RequestProgress): UnexpectedAnswer {
  if (progress.hasEnded) return 'none';
  if (progress.hasStarted) return 'close';
  if (!progress.wasSent) return 503;
  return progress.isLate ? 504 : 502;
}

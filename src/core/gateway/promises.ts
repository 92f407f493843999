/**
 * Statuses that promise that a request was not executed and never will be: callers send it again. Only the server's
 * own statement makes the promise true, so a status without it, such as a spoiled one, is not passed on for a request
 * that may run once at most.
 */

import type { Route } from './types';

const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether the answer, which lacks the server's statement, may be passed on for a request on this route. */
export function mayPassOn(status: number, { kind, isResumable }: Route): boolean {
  return !PROMISES.has(status) || kind === 'safe' || (kind === 'stream' && isResumable);
}

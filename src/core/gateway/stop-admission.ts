/**
 * Decides which requests a daemon that stops still passes on.
 *
 * Load pattern: connections stay in use until the daemon is gone. A request that comes late in the shutdown time may
 * take longer than what is left of it, and its answer is cut; one that must not be repeated is lost with it. It is better
 * refused at once, as other daemons serve it.
 */

import { later } from '../ids';
import type { MonoTime } from '../ids';

/** A request is expected to take up to this many times as long as usual ones of its route. */
const USUAL_TIMES = 2;

export interface StopAdmission {
  readonly now: MonoTime;
  /** When requests without an answer are given up; undefined unless the daemon stops. */
  readonly stopBy: MonoTime | undefined;
  /** When the request's own time is over. */
  readonly answerBy: MonoTime;
  /** Mean time of the route's requests, milliseconds; 0 if none was served. */
  readonly usualMs: number;
}

/** Whether the request is expected to end before the daemon does. */
export function mayEndInTime({ now, stopBy, answerBy, usualMs }: StopAdmission): boolean {
  if (stopBy === undefined || answerBy <= stopBy) return true;
  return later(now, USUAL_TIMES * usualMs) <= stopBy;
}

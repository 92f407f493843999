/** Builds refusals: the error code of each reason and the time of a retry. */

import type { MonoTime } from '../ids';
import { later } from '../ids';
import type { RandomContext } from '../random';
import type { AdmissionOptions, RefusalCode, RefusalReason, Refused } from './types';

const CODES: Readonly<Record<RefusalReason, RefusalCode>> = {
  'class-limit': 'too-many-requests',
  'organisation-limit': 'too-many-requests',
  'queue-full': 'overloaded',
  'no-capacity': 'overloaded',
  'deadline-unreachable': 'overloaded',
  'deadline-passed': 'deadline-exceeded',
  displaced: 'overloaded',
};

/** Refuses with a retry time `afterMs` from now or later, jittered to keep callers apart. */
export function refuse(
  reason: RefusalReason,
  afterMs: number,
  opts: AdmissionOptions,
  { now, random }: RandomContext,
): Refused {
  const delayMs = Math.max(
    opts.minRetryMs,
    Number.isFinite(afterMs) ? afterMs : opts.noCapacityRetryMs,
  );
  const jitterFactor = 1 + opts.retryJitter * random.next();
  const retryAt: MonoTime = later(now, delayMs * jitterFactor);
  return { kind: 'refused', code: CODES[reason], reason, retryAt };
}

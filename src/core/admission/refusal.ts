/** Refusals: what is said and when to come back. */

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

/** Refuses, to come back in `afterMs` or a little later; the spread keeps callers apart. */
export function refuse(
  reason: RefusalReason,
  afterMs: number,
  opts: AdmissionOptions,
  { now, random }: RandomContext,
): Refused {
  const atLeast = Math.max(
    opts.minRetryMs,
    Number.isFinite(afterMs) ? afterMs : opts.noCapacityRetryMs,
  );
  const spread = 1 + opts.retryJitter * random.next();
  const retryAt: MonoTime = later(now, atLeast * spread);
  return { kind: 'refused', code: CODES[reason], reason, retryAt };
}

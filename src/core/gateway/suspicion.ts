/**
 * Groups that nothing is sent to for a while.
 *
 * Load pattern: heads go dark, and their entries stay for seconds. Each daemon that tries such a group
 * costs a caller the time of a connection that is never made. A group that disappoints again is left
 * alone for twice as long; one that the leader found lost is not tried again. Suspicion is of a group,
 * not of its head, which may serve in another group within half a second.
 */

import { later } from '../ids';
import type { GroupId, MonoTime } from '../ids';

/**
 * - `silent`: its streams give no events.
 * - `unreachable`: no connection to its head.
 * - `rejecting`: its head ran nothing of what it was sent.
 * - `lost`: the leader asked its members, and some gave no sign.
 */
export type Evidence = 'silent' | 'unreachable' | 'rejecting' | 'lost';

/** Long enough for the leader to ask the members; milliseconds. */
const FIRST_HOLD_MS = 1_500;
const LONGEST_HOLD_MS = 6_000;
/** Longer than the entry of a lost server stays, milliseconds. */
const LOST_HOLD_MS = 20_000;
/** Evidence within this time of the end of the last hold is of the same trouble. */
const SAME_TROUBLE_MS = 3_000;

export interface Suspicion {
  readonly until: MonoTime;
  /** How often in a row the group disappointed. */
  readonly consecutiveFailures: number;
}

export type Suspicions = ReadonlyMap<GroupId, Suspicion>;

export function isSuspect(suspicions: Suspicions, group: GroupId, now: MonoTime): boolean {
  const known = suspicions.get(group);
  return known !== undefined && now < known.until;
}

function holdMs(evidence: Evidence, times: number): number {
  if (evidence === 'lost') return LOST_HOLD_MS;
  return Math.min(LONGEST_HOLD_MS, FIRST_HOLD_MS * 2 ** (times - 1));
}

/** Several daemons or streams see the same trouble at a time: it counts once, and a hold is never cut short. */
export function noteEvidence(
  suspicions: Suspicions,
  group: GroupId,
  evidence: Evidence,
  now: MonoTime,
): Suspicions {
  const next = new Map(
    [...suspicions].filter(([, { until }]) => now < later(until, SAME_TROUBLE_MS)),
  );
  const known = next.get(group);
  const isHeld = known !== undefined && now < known.until;
  const times = isHeld ? known.consecutiveFailures : (known?.consecutiveFailures ?? 0) + 1;
  const until = later(now, holdMs(evidence, times));
  return next.set(group, {
    consecutiveFailures: times,
    until: known && known.until > until ? known.until : until,
  });
}

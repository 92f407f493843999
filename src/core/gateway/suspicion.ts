/**
 * Suspected groups: no requests are sent to them for a while.
 *
 * Load pattern: heads become unreachable, and their entries remain for seconds. Each daemon that tries such
 * a group costs a caller the time of a connection that is never established. A group that fails again is
 * avoided for twice as long; one that the leader found lost is not tried again. An event of the group shows that
 * it was only silent, as when all servers pause, and ends the hold. Suspicion concerns a group, not its head,
 * which may serve in another group within half a second.
 */

import { later } from '../ids';
import type { GroupId, MonoTime } from '../ids';

/**
 * Why a group is suspected.
 *
 * - `silent`: its streams send no events.
 * - `unreachable`: no connection to its head could be established.
 * - `rejecting`: its head ran nothing of what it was sent.
 * - `dark`: the leader asked its members, and some stayed silent while others answered.
 * - `lost`: the leader found that one of its members has ended.
 */
export type Evidence = 'silent' | 'unreachable' | 'rejecting' | 'dark' | 'lost';

/**
 * What shows that a group is lost.
 *
 * - `ended`: one of its servers has ended: its port refuses the leader and peers, or it runs as another
 *   incarnation; or the head has left the group.
 * - `silent`: it sends nothing. It may be paused or slow, or the observer's own link or process may be.
 */
export type LossEvidence = 'ended' | 'silent';

/** First hold: long enough for the leader to probe the members. */
const FIRST_HOLD_MS = 1_500;
const MAX_HOLD_MS = 6_000;
/** Longer than the entry of a lost server remains. */
const LOST_HOLD_MS = 20_000;
/** Evidence within this time after the end of the last hold counts as a further failure in a row. */
const REPEAT_WINDOW_MS = 3_000;
/** Evidence that an event of the group contradicts. */
const SILENCE: ReadonlySet<Evidence> = new Set(['silent', 'dark', 'lost']);
/** Findings of the leader, which a daemon's own links do not explain. */
const OF_LEADER: ReadonlySet<Evidence> = new Set(['dark', 'lost']);

/** A hold on a group: no requests are sent to it until it ends. */
export interface Suspicion {
  readonly until: MonoTime;
  /** Failures in a row; each one doubles the hold. */
  readonly consecutiveFailures: number;
  readonly isLost: boolean;
  /** Whether all evidence of the hold is that the group gave nothing, which an event contradicts. */
  readonly isSilence: boolean;
}

/** Suspected groups, and those whose hold ended recently. */
export type Suspicions = ReadonlyMap<GroupId, Suspicion>;

/** Whether requests are held back from the group. */
export function isSuspect(suspicions: Suspicions, group: GroupId, now: MonoTime): boolean {
  const known = suspicions.get(group);
  return known !== undefined && now < known.until;
}

/**
 * Whether the group's hold for silence has ended and no event of it is known since.
 *
 * Load pattern: one of its servers is lost, and a daemon that the leader's finding did not reach holds it for 1.5 s
 * only. It then sent all that waited for a slot there at once, and those ended without an answer when the head broke.
 * One request at a time shows as well whether it serves.
 */
export function isOnTrial(suspicions: Suspicions, group: GroupId, now: MonoTime): boolean {
  const known = suspicions.get(group);
  if (known?.isSilence !== true || now < known.until) return false;
  return now < later(known.until, REPEAT_WINDOW_MS);
}

function holdMs(evidence: Evidence, failures: number): number {
  if (OF_LEADER.has(evidence)) return LOST_HOLD_MS;
  return Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** (failures - 1));
}

/**
 * Records evidence against a group. Evidence during a hold counts as the same failure, as several daemons
 * and streams observe it at once. A hold is never shortened.
 */
export function noteEvidence(
  suspicions: Suspicions,
  group: GroupId,
  evidence: Evidence,
  now: MonoTime,
): Suspicions {
  const next = new Map(
    [...suspicions].filter(([, { until }]) => now < later(until, REPEAT_WINDOW_MS)),
  );
  const known = next.get(group);
  const isHeld = known !== undefined && now < known.until;
  const failures = isHeld ? known.consecutiveFailures : (known?.consecutiveFailures ?? 0) + 1;
  const until = later(now, holdMs(evidence, failures));
  return next.set(group, {
    consecutiveFailures: failures,
    until: known && known.until > until ? known.until : until,
    isLost: OF_LEADER.has(evidence) || (isHeld && known.isLost),
    isSilence: SILENCE.has(evidence) && (!isHeld || known.isSilence),
  });
}

function withoutGroup(suspicions: Suspicions, group: GroupId): Suspicions {
  return new Map([...suspicions].filter(([id]) => id !== group));
}

/** Clears the group after an event of it, unless no connection to its head is made or it takes no requests. */
export function endSilence(suspicions: Suspicions, group: GroupId): Suspicions {
  return suspicions.get(group)?.isSilence === true ? withoutGroup(suspicions, group) : suspicions;
}

/** Clears the group, unless the leader found it lost: the evidence was of this daemon's own link. */
export function clearSuspicion(suspicions: Suspicions, group: GroupId): Suspicions {
  const known = suspicions.get(group);
  if (!known || known.isLost) return suspicions;
  return withoutGroup(suspicions, group);
}

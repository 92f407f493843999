/**
 * Decides whether a stream is moved out of a group that seems to be silent or lost.
 *
 * Load pattern: all servers pause for a moment, or the observer's link is full of a large configuration. Groups
 * that serve are then found silent, at many daemons at once. Streams that were broken for such a finding lost
 * their answers as soon as no slot, retry or attempt was left. Silence alone therefore never ends a stream: it
 * is sent to another group when it can go on there, and keeps its connection until that one gives an event.
 */

import type { MonoTime } from '../ids';
import { later } from '../ids';
import { SILENCE_MS } from './progress';
import type { LossEvidence } from './suspicion';

/** What a stream lacks for good, so that it stays where it is. */
export type MoveObstacle = 'resume' | 'attempt' | 'time';

export type MoveDecision =
  /** Its server has ended: the connection is of no more use. */
  | { readonly kind: 'give-up' }
  | { readonly kind: 'keep'; readonly lacked?: MoveObstacle }
  /** It is to be decided again at this time, unless it has an event before. */
  | { readonly kind: 'wait'; readonly until: MonoTime }
  /** It is sent to another group as soon as a slot and a retry can be taken. */
  | { readonly kind: 'move' };

/** A stream whose group was found silent or lost. */
export interface SuspectedStream {
  readonly evidence: LossEvidence;
  /** Whether the group is still suspended, or has been ended. */
  readonly isSuspected: boolean;
  /**
   * Its last event in the group, or the send if there was none, or the end of a pause of this process, whichever
   * is the latest; undefined if it was not sent yet.
   */
  readonly silentSince: MonoTime | undefined;
  /** Whether it may be resumed, and after which event. */
  readonly isResumable: boolean;
  /** Whether it was sent to no other group after this one that is still at work on it. */
  readonly isLatest: boolean;
  /** Further groups that it may be sent to. */
  readonly attemptsLeft: number;
  readonly answerBy: MonoTime;
}

/** What a stream lacks to be moved, whatever becomes free. */
function obstacleOf(
  { isResumable, attemptsLeft, answerBy }: SuspectedStream,
  now: MonoTime,
): MoveObstacle | undefined {
  if (!isResumable) return 'resume';
  if (attemptsLeft < 1) return 'attempt';
  return now >= answerBy ? 'time' : undefined;
}

export function decideMove(stream: SuspectedStream, now: MonoTime): MoveDecision {
  const { evidence, isSuspected, silentSince = now } = stream;
  const until = later(silentSince, SILENCE_MS);
  // The head may go on for a while after a member has ended, as one that drains does.
  if (evidence === 'ended') return now < until ? { kind: 'wait', until } : { kind: 'give-up' };
  if (!isSuspected || !stream.isLatest) return { kind: 'keep' };
  const lacked = obstacleOf(stream, now);
  if (lacked !== undefined) return { kind: 'keep', lacked };
  return now < until ? { kind: 'wait', until } : { kind: 'move' };
}

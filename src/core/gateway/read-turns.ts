/**
 * Bounds how long requests may have waited in the kernel before they were read.
 *
 * Load pattern: callers that open connections faster than a busy daemon accepts them. The event loop accepts one
 * connection a turn and reads what has arrived on the others, so the queue of the listening socket may hold callers
 * for seconds while each turn is short. How long is not visible, but bounded by the last turn in which nothing waited,
 * and by the last marker: a connection of the daemon to itself, which is accepted after all that arrived before it.
 */

import type { MonoTime } from '../ids';

/** A moment, what turns took by then beyond the time for which one counts, and connections accepted by then. */
export interface Moment {
  readonly at: MonoTime;
  readonly heldMs: number;
  readonly accepted: number;
}

/** Consecutive turns of the event loop, as seen at the end of each. */
export interface ReadTurns {
  readonly turn: number;
  /** Ends of the last turn and of the one before it. */
  readonly ended: Moment;
  readonly endedBefore: Moment;
  /** No connection that arrived before this waits to be accepted. */
  readonly drained: Moment;
  /** Connections accepted in the current turn. */
  readonly accepted: number;
}

/** When a connection may have arrived, and the turn in which it was accepted. */
export interface AcceptedConnection {
  readonly since: Moment;
  readonly turn: number;
}

/**
 * A turn counts for this long at most, milliseconds. A longer one is a stall by one connection, a large configuration
 * or a pause of the process, and says nothing about what the daemon can serve. Processor quotas are given out every
 * 100 ms, so their pauses are shorter, and do count.
 */
const MAX_TURN_MS = 100;

/** Starts a series of turns; nothing that arrived before `since` waits. */
export function beginTurns(since: MonoTime, turn = 0): ReadTurns {
  const start = { at: since, heldMs: 0, accepted: 0 };
  return { turn, ended: start, endedBefore: start, drained: start, accepted: 0 };
}

/** Notes a connection that was accepted in the current turn. */
export function noteAccepted(turns: ReadTurns): ReadTurns {
  return { ...turns, accepted: turns.accepted + 1 };
}

/** Notes that all connections were accepted that arrived before a marker was sent. */
export function noteMarker(turns: ReadTurns, sent: Moment): ReadTurns {
  return sent.at > turns.drained.at ? { ...turns, drained: sent } : turns;
}

/** Ends the current turn. A turn that accepted nothing found the queue empty when it polled. */
export function endTurn({ turn, ended, drained, accepted }: ReadTurns, now: MonoTime): ReadTurns {
  return {
    turn: turn + 1,
    ended: { ...momentOf(ended, now), accepted: ended.accepted + accepted },
    endedBefore: ended,
    drained: accepted === 0 ? ended : drained,
    accepted: 0,
  };
}

/** The moment `now`, in the turn that follows `ended`. */
export function momentOf(ended: Moment, now: MonoTime): Moment {
  const heldMs = ended.heldMs + Math.max(0, now - ended.at - MAX_TURN_MS);
  return { at: now, heldMs, accepted: ended.accepted };
}

/** Time between two moments, without that in which turns were held. */
export function countedMs(from: Moment, to: Moment): number {
  return to.at - from.at - (to.heldMs - from.heldMs);
}

/** How long connections may have waited to be accepted, without the time in which turns were held. */
export function unreadMs({ ended, drained }: ReadTurns): number {
  return countedMs(drained, ended);
}

/** Connections accepted in the time of which `unreadMs` tells. */
export function acceptedMeanwhile({ ended, drained }: ReadTurns): number {
  return ended.accepted - drained.accepted;
}

/** Whether what is read in the current turn is what the connection brought along. */
export function isFirstRead(
  { turn }: ReadTurns,
  connection: AcceptedConnection | undefined,
): connection is AcceptedConnection {
  return connection !== undefined && turn <= connection.turn + 1;
}

/**
 * Earliest time at which a request read in the current turn may have arrived. What a connection brought along is read
 * in the turn after the one that accepted it; later requests were not there when the last turn polled.
 */
export function earliestArrival(
  turns: ReadTurns,
  connection: AcceptedConnection | undefined,
): Moment {
  return isFirstRead(turns, connection) ? connection.since : turns.endedBefore;
}

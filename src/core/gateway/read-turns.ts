/**
 * Bounds how long requests may have waited in the kernel before they were read.
 *
 * Load pattern: callers that open connections faster than a busy daemon accepts them. The event loop accepts one
 * connection a turn and reads what has arrived on the others, so the queue of the listening socket may hold callers
 * for seconds while each turn is short. How long is not visible, but bounded by the last turn in which nothing waited.
 */

import type { MonoTime } from '../ids';

/** Consecutive turns of the event loop, as seen at the end of each. */
export interface ReadTurns {
  readonly turn: number;
  /** Ends of the last turn and of the one before it. */
  readonly endedAt: MonoTime;
  readonly endedBefore: MonoTime;
  /** No connection that arrived before this waits to be accepted. */
  readonly drainedAt: MonoTime;
  /** Connections accepted in the current turn. */
  readonly accepted: number;
}

/** When a connection may have arrived, and the turn in which it was accepted. */
export interface AcceptedConnection {
  readonly since: MonoTime;
  readonly turn: number;
}

/** Starts a series of turns; nothing that arrived before `since` waits. */
export function beginTurns(since: MonoTime, turn = 0): ReadTurns {
  return { turn, endedAt: since, endedBefore: since, drainedAt: since, accepted: 0 };
}

/** Notes a connection that was accepted in the current turn. */
export function noteAccepted(turns: ReadTurns): ReadTurns {
  return { ...turns, accepted: turns.accepted + 1 };
}

/** Ends the current turn. A turn that accepted nothing found the queue empty when it polled. */
export function endTurn(turns: ReadTurns, now: MonoTime): ReadTurns {
  return {
    turn: turns.turn + 1,
    endedAt: now,
    endedBefore: turns.endedAt,
    drainedAt: turns.accepted === 0 ? turns.endedAt : turns.drainedAt,
    accepted: 0,
  };
}

/**
 * Earliest time at which a request read in the current turn may have arrived. What a connection brought along is read
 * in the turn after the one that accepted it; later requests were not there when the last turn polled.
 */
export function earliestArrival(
  { turn, endedBefore }: ReadTurns,
  connection: AcceptedConnection | undefined,
): MonoTime {
  const isFirstRead = connection !== undefined && turn <= connection.turn + 1;
  return isFirstRead ? connection.since : endedBefore;
}

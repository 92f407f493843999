/** Takes requests in, and notes how long they may have waited before they were read. */

import type { Socket } from 'node:net';

import { beginTurns, earliestArrival, endTurn, noteAccepted } from '../../core/gateway/read-turns';
import type { AcceptedConnection, ReadTurns } from '../../core/gateway/read-turns';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

export interface IntakeOptions {
  /** Calls back at the end of the current turn of the event loop. */
  readonly atEndOfTurn?: (done: () => void) => void;
  /** Until when the process was blocked or did not run, if it has not polled since. */
  readonly blockedSince: () => MonoTime | undefined;
}

export interface Intake {
  noteConnection(socket: Socket): void;
  /** Earliest time at which a request that was read just now may have arrived. */
  noteRequest(socket: Socket): MonoTime;
}

/** A wait before reading that is logged from this length on, milliseconds. */
const LOGGED_MS = 200;
/** Interval of the log lines while requests are read late, milliseconds. */
const LOG_INTERVAL_MS = 1_000;

const NOTHING_SEEN = { connections: 0, requests: 0, longestMs: 0 };

type IntakeContext = Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>;

export function createIntake(
  { clock, logger, metrics }: IntakeContext,
  { atEndOfTurn = setImmediate, blockedSince }: IntakeOptions,
): Intake {
  const connections = new WeakMap<Socket, AcceptedConnection>();
  let turns: ReadTurns | undefined;
  let lastTurn = 0;
  let seen = NOTHING_SEEN;
  let logAt = later(clock.now(), LOG_INTERVAL_MS);

  const log = (now: MonoTime): void => {
    logAt = later(now, LOG_INTERVAL_MS);
    const longestMs = Math.round(seen.longestMs);
    if (longestMs >= LOGGED_MS)
      logger.info('requests were read late', { step: 'read', ...seen, longestMs });
    seen = NOTHING_SEEN;
  };

  const onTurnEnd = (): void => {
    if (!turns) return;
    const now = clock.now();
    const hasAccepted = turns.accepted > 0;
    turns = endTurn(turns, now);
    lastTurn = turns.turn;
    if (now >= logAt || !hasAccepted) log(now);
    if (hasAccepted) atEndOfTurn(onTurnEnd);
    else turns = undefined;
  };

  /** The current series of turns, which begins with the first connection or request after a calm one. */
  const current = (): ReadTurns => {
    if (turns) return turns;
    turns = beginTurns(blockedSince() ?? clock.now(), lastTurn + 1);
    atEndOfTurn(onTurnEnd);
    return turns;
  };

  return {
    noteConnection: (socket) => {
      const { drainedAt: since, turn } = current();
      connections.set(socket, { since, turn });
      turns = noteAccepted(current());
      seen = { ...seen, connections: seen.connections + 1 };
    },
    noteRequest: (socket) => {
      const arrivedAt = earliestArrival(current(), connections.get(socket));
      const unreadMs = clock.now() - arrivedAt;
      seen = {
        ...seen,
        requests: seen.requests + 1,
        longestMs: Math.max(seen.longestMs, unreadMs),
      };
      metrics.observe('nutmegstack_request_unread_ms', unreadMs);
      return arrivedAt;
    },
  };
}

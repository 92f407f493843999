/**
 * Takes in what has arrived before any of it is worked on, and notes how long requests may have waited before they
 * were read. The event loop accepts one connection a turn: without this, each turn's work would delay all callers
 * whose connections wait to be accepted, and nobody would know for how long.
 */

import type { Socket } from 'node:net';

import { BehaviorSubject } from 'rxjs';
import type { Observable } from 'rxjs';

import { isSaturated, isTooLate } from '../../core/gateway/overload';
import { beginTurns, earliestArrival, endTurn, noteAccepted } from '../../core/gateway/read-turns';
import type { AcceptedConnection, ReadTurns } from '../../core/gateway/read-turns';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

export interface IntakeOptions {
  /** Calls back at the end of the current turn of the event loop. */
  readonly atEndOfTurn?: (done: () => void) => void;
  /** Since when the process was blocked or did not run, if it has not polled since. */
  readonly blockedSince: () => MonoTime | undefined;
}

/** A request that was read. */
export interface ReadRequest {
  /** Works on it; it arrived at `arrivedAt` at the earliest. */
  readonly serve: (arrivedAt: MonoTime) => void;
  readonly refuse: () => void;
}

export interface Intake {
  noteConnection(socket: Socket): void;
  /** Notes a connection that was closed as soon as it was accepted. */
  noteDropped(): void;
  /** Takes a request that was read just now; it is served or refused in this turn of the event loop or a later one. */
  take(socket: Socket, request: ReadRequest): void;
  /** Whether new connections are to be closed unread. */
  readonly saturated: Observable<boolean>;
}

interface TakenRequest extends ReadRequest {
  readonly arrivedAt: MonoTime;
}

/** Longest time for which connections are accepted before requests are worked on again, milliseconds. */
const ACCEPT_MS = 10;
/** Requests that are worked on before others are read again. */
const BATCH_SIZE = 8;
/** A wait before reading that is logged from this length on, milliseconds. */
const LOGGED_MS = 200;
/** Interval of the log lines while requests are read late, milliseconds. */
const LOG_INTERVAL_MS = 1_000;
const NOTHING_SEEN = { connections: 0, dropped: 0, requests: 0, refused: 0, longestMs: 0 };

type IntakeContext = Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>;

export function createIntake(
  { clock, logger, metrics }: IntakeContext,
  { atEndOfTurn = setImmediate, blockedSince }: IntakeOptions,
): Intake {
  const connections = new WeakMap<Socket, AcceptedConnection>();
  /** Oldest first. */
  const queue: TakenRequest[] = [];
  const saturated = new BehaviorSubject(false);
  let turns: ReadTurns | undefined;
  let lastTurn = 0;
  let batches = 0;
  let workAt = clock.now();
  let seen = NOTHING_SEEN;
  let logAt = later(clock.now(), LOG_INTERVAL_MS);

  const count = (what: 'connections' | 'dropped' | 'requests' | 'refused'): void => {
    seen = { ...seen, [what]: seen[what] + 1 };
  };

  const log = (now: MonoTime): void => {
    logAt = later(now, LOG_INTERVAL_MS);
    const longestMs = Math.round(seen.longestMs);
    if (longestMs >= LOGGED_MS || seen.dropped > 0)
      logger.info('requests were read late', { step: 'read', ...seen, longestMs });
    seen = NOTHING_SEEN;
  };

  /** Newest first while saturated: the oldest have little time left, and their callers may have left. */
  const takeNext = (): TakenRequest | undefined => {
    const oldest = queue[0];
    if (oldest && isTooLate(oldest.arrivedAt, saturated.value, clock.now())) return queue.shift();
    return saturated.value ? queue.pop() : queue.shift();
  };

  const workOn = ({ arrivedAt, serve, refuse }: TakenRequest): void => {
    if (!isTooLate(arrivedAt, saturated.value, clock.now())) {
      serve(arrivedAt);
      return;
    }
    count('refused');
    metrics.count('nutmegstack_overload_total', { outcome: 'refused' });
    refuse();
  };

  const workOnBatch = (): void => {
    for (let n = 0; n < BATCH_SIZE; n++) {
      const next = takeNext();
      if (!next) break;
      workOn(next);
    }
    batches += 1;
    workAt = later(clock.now(), ACCEPT_MS);
  };

  const updateSaturation = ({ drainedAt }: ReadTurns): void => {
    const [oldest] = queue;
    const backlog = { drainedAt, batches, oldestAt: oldest?.arrivedAt, queued: queue.length };
    const next = isSaturated(backlog, saturated.value, clock.now());
    if (next !== saturated.value) saturated.next(next);
  };

  const onTurnEnd = (): void => {
    if (!turns) return;
    const now = clock.now();
    const mayWait = turns.accepted > 0;
    turns = endTurn(turns, now);
    lastTurn = turns.turn;
    if (!mayWait && queue.length === 0) batches = 0;
    else if (!mayWait || now >= workAt) workOnBatch();
    updateSaturation(turns);
    const isCalm = !mayWait && queue.length === 0 && !saturated.value;
    if (now >= logAt || isCalm) log(now);
    if (isCalm) turns = undefined;
    else atEndOfTurn(onTurnEnd);
  };

  /** The current series of turns, which begins with the first connection or request after a calm one. */
  const current = (): ReadTurns => {
    if (turns) return turns;
    turns = beginTurns(blockedSince() ?? clock.now(), lastTurn + 1);
    batches = 0;
    workAt = later(clock.now(), ACCEPT_MS);
    atEndOfTurn(onTurnEnd);
    return turns;
  };

  return {
    saturated,
    noteConnection: (socket) => {
      const { drainedAt: since, turn } = current();
      connections.set(socket, { since, turn });
      turns = noteAccepted(current());
      count('connections');
    },
    noteDropped: () => {
      turns = noteAccepted(current());
      count('dropped');
      metrics.count('nutmegstack_overload_total', { outcome: 'dropped' });
    },
    take: (socket, request) => {
      const arrivedAt = earliestArrival(current(), connections.get(socket));
      const unreadMs = clock.now() - arrivedAt;
      count('requests');
      seen = { ...seen, longestMs: Math.max(seen.longestMs, unreadMs) };
      metrics.observe('nutmegstack_request_unread_ms', unreadMs);
      queue.push({ arrivedAt, ...request });
    },
  };
}

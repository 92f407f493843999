/**
 * Takes in what has arrived before any of it is worked on, and notes how long requests may have waited before they
 * were read. The event loop accepts one connection a turn: without this, each turn's work would delay all callers
 * whose connections wait to be accepted, and nobody would know for how long.
 */

import type { Socket } from 'node:net';

import { BehaviorSubject } from 'rxjs';
import type { Observable } from 'rxjs';

import {
  acceptLimitMs,
  expectedWaitMs,
  isSaturated,
  noteWork,
  NO_WORK,
} from '../../core/gateway/overload';
import type { Backlog } from '../../core/gateway/overload';
import {
  acceptedMeanwhile,
  beginTurns,
  countedMs,
  earliestArrival,
  endTurn,
  isFirstRead,
  momentOf,
  noteAccepted,
  noteMarker,
  unreadMs,
} from '../../core/gateway/read-turns';
import type { AcceptedConnection, Moment, ReadTurns } from '../../core/gateway/read-turns';
import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';
import type { GatewayContext } from './context';

export interface IntakeOptions {
  /** Calls back at the end of the current turn of the event loop. */
  readonly atEndOfTurn?: (done: () => void) => void;
  /** Since when the process was blocked or did not run, if it has not polled since. */
  readonly blockedSince: () => MonoTime | undefined;
  /** Sends a marker through the queue of the listening socket; false if one is on its way. */
  readonly sendMarker?: () => boolean;
}

/** A request that was read. */
export interface ReadRequest {
  /** Time within which it must be worked on, so that it can be answered in time, milliseconds. */
  readonly startWithinMs: number;
  /** Works on it; it arrived at `arrivedAt` at the earliest. */
  readonly serve: (arrivedAt: MonoTime) => void;
  readonly refuse: () => void;
}

export interface Intake {
  noteConnection(socket: Socket): void;
  /** Notes that the marker that was sent last was accepted. */
  noteMarker(): void;
  /** Notes a connection that was closed as soon as it was accepted. */
  noteDropped(): void;
  /** Takes a request that was read just now; it is served or refused in this turn of the event loop or a later one. */
  take(socket: Socket, request: ReadRequest): void;
  /** Whether new connections are to be closed unread. */
  readonly saturated: Observable<boolean>;
  /** From now on, no connection is closed unread: the balancer sends no more, so that those that wait are the last. */
  acceptLast(): void;
}

interface TakenRequest extends ReadRequest {
  readonly arrived: Moment;
  /** Whether it came in on a connection that was accepted before. */
  readonly isKept: boolean;
}

/** A turn counts as time for accepting for this long at most, so that a pause of the process is no time for accepting. */
const ACCEPT_TURN_MS = 5;
/** Requests that are worked on before others are read again, and the time after which no further one is. */
const BATCH_SIZE = 8;
const BATCH_MS = 10;
/** Requests that are looked at to tell how much time those that wait have left. */
const LEFT_SAMPLES = 9;
/** Connections that may have waited for this long are worth a marker, milliseconds. */
const MARKER_MS = 20;
/** A wait before reading that is logged from this length on, milliseconds. */
const LOGGED_MS = 200;
/** Interval of the log lines while requests are read late, milliseconds. */
const LOG_INTERVAL_MS = 1_000;
const NOTHING_SEEN = { connections: 0, dropped: 0, requests: 0, refused: 0, longestMs: 0 };

type IntakeContext = Pick<GatewayContext, 'clock' | 'logger' | 'metrics'>;

export function createIntake(
  { clock, logger, metrics }: IntakeContext,
  { atEndOfTurn = setImmediate, blockedSince, sendMarker = () => false }: IntakeOptions,
): Intake {
  const connections = new WeakMap<Socket, AcceptedConnection>();
  /** Oldest first. */
  const queue: TakenRequest[] = [];
  const saturated = new BehaviorSubject(false);
  let turns: ReadTurns | undefined;
  let lastTurn = 0;
  let batches = 0;
  /** Time for which connections were accepted since the last batch, by the end of the last turn. */
  let acceptedMs = 0;
  let turnBegan = clock.now();
  let rate = NO_WORK;
  /** The last batch, if it left requests waiting. */
  let lastBatch: { readonly began: Moment; readonly size: number } | undefined;
  let marker: Moment | undefined;
  /** Time until the last marker was accepted, if a connection has been waiting since. */
  let markerMs = 0;
  let seen = NOTHING_SEEN;
  let logAt = later(clock.now(), LOG_INTERVAL_MS);
  let isAcceptingLast = false;

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

  const isTooLate = ({ arrived, startWithinMs }: TakenRequest): boolean =>
    saturated.value && clock.now() - arrived.at >= startWithinMs;

  /** The oldest come first: their callers have waited for longest. */
  const refuseTooLate = (until: MonoTime): void => {
    for (let [oldest] = queue; oldest && isTooLate(oldest); [oldest] = queue) {
      queue.shift();
      count('refused');
      metrics.count('nutmegstack_overload_total', { outcome: 'refused' });
      oldest.refuse();
      if (clock.now() >= until) return;
    }
  };

  /** Newest first while saturated: the oldest have little time left, and their callers may have left. */
  const serveNext = (): boolean => {
    const next = saturated.value ? queue.pop() : queue.shift();
    next?.serve(next.arrived.at);
    return next !== undefined;
  };

  const workOnBatch = (began: Moment): void => {
    if (lastBatch) rate = noteWork(rate, lastBatch.size, countedMs(lastBatch.began, began));
    refuseTooLate(later(began.at, BATCH_MS));
    const until = later(clock.now(), BATCH_MS);
    let size = 0;
    while (size < BATCH_SIZE && clock.now() < until && serveNext()) size += 1;
    batches += 1;
    acceptedMs = 0;
    lastBatch = queue.length > 0 && size > 0 ? { began, size } : undefined;
  };

  const logSaturation = (backlog: Backlog): void => {
    const { queued, accepted, leftMs = 0 } = backlog;
    logger.info('new connections are closed unread', {
      ...{ step: 'read', queued, accepted, requests: backlog.rate.total },
      unreadMs: Math.round(backlog.unreadMs),
      waitMs: Math.round(expectedWaitMs(backlog)),
      leftMs: Math.round(leftMs),
    });
  };

  /** Time that a usual request of those that wait has left; one with little time closes no connections of others. */
  const usualLeftMs = (now: Moment): number | undefined => {
    const step = Math.max(1, Math.floor(queue.length / LEFT_SAMPLES));
    const left = queue
      .filter((_, i) => i % step === 0)
      .map(({ startWithinMs, arrived }) => startWithinMs - countedMs(arrived, now));
    return left.sort((a, b) => a - b)[Math.floor(left.length / 2)];
  };

  const updateSaturation = (state: ReadTurns): void => {
    const now = momentOf(state.ended, clock.now());
    const backlog = {
      ...{ unreadMs: unreadMs(state), accepted: acceptedMeanwhile(state) },
      ...{ batches, queued: queue.length, rate },
      leftMs: usualLeftMs(now),
    };
    const next = !isAcceptingLast && isSaturated(backlog, saturated.value);
    if (next === saturated.value) return;
    if (next) logSaturation(backlog);
    saturated.next(next);
  };

  const markQueue = (state: ReadTurns): void => {
    if (unreadMs(state) < MARKER_MS || !sendMarker()) return;
    marker = momentOf(state.ended, clock.now());
  };

  const limitMs = ({ ended }: ReadTurns): number =>
    acceptLimitMs({
      isSaturated: saturated.value,
      hasKept: queue.some(({ isKept }) => isKept),
      acceptedAfterMs: Math.max(markerMs, marker ? countedMs(marker, ended) : 0),
    });

  const workOnTurn = (state: ReadTurns): void => {
    const now = clock.now();
    const mayWait = state.accepted > 0;
    acceptedMs += Math.min(now - turnBegan, ACCEPT_TURN_MS);
    turns = endTurn(state, now);
    lastTurn = turns.turn;
    if (!mayWait) markerMs = 0;
    if (!mayWait && queue.length === 0) batches = 0;
    else if (!mayWait || acceptedMs >= limitMs(turns)) workOnBatch(turns.ended);
    turnBegan = clock.now();
    updateSaturation(turns);
    const isCalm = !mayWait && queue.length === 0 && !saturated.value;
    if (now >= logAt || isCalm) log(now);
    if (isCalm) turns = undefined;
    else if (mayWait) markQueue(turns);
  };

  const isOver = (): boolean => turns === undefined;

  const onTurnEnd = (): void => {
    if (!turns) return;
    try {
      workOnTurn(turns);
    } finally {
      // Whatever one request throws, the others are worked on in the next turn.
      if (!isOver()) atEndOfTurn(onTurnEnd);
    }
  };

  /** The current series of turns, which begins with the first connection or request after a calm one. */
  const current = (): ReadTurns => {
    if (turns) return turns;
    turns = beginTurns(blockedSince() ?? clock.now(), lastTurn + 1);
    batches = 0;
    acceptedMs = 0;
    turnBegan = clock.now();
    lastBatch = undefined;
    marker = undefined;
    markerMs = 0;
    atEndOfTurn(onTurnEnd);
    return turns;
  };

  return {
    saturated,
    acceptLast: () => {
      isAcceptingLast = true;
      if (saturated.value) saturated.next(false);
    },
    noteConnection: (socket) => {
      const { drained, turn } = current();
      connections.set(socket, { since: drained, turn });
      turns = noteAccepted(current());
      count('connections');
    },
    noteMarker: () => {
      turns = noteAccepted(current());
      if (!marker) return;
      markerMs = countedMs(marker, momentOf(turns.ended, clock.now()));
      turns = noteMarker(turns, marker);
      marker = undefined;
    },
    noteDropped: () => {
      turns = noteAccepted(current());
      count('dropped');
      metrics.count('nutmegstack_overload_total', { outcome: 'dropped' });
    },
    take: (socket, request) => {
      const connection = connections.get(socket);
      const arrived = earliestArrival(current(), connection);
      const waitedMs = clock.now() - arrived.at;
      count('requests');
      seen = { ...seen, longestMs: Math.max(seen.longestMs, waitedMs) };
      metrics.observe('nutmegstack_request_unread_ms', waitedMs);
      queue.push({ arrived, isKept: !isFirstRead(current(), connection), ...request });
    },
  };
}

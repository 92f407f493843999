/**
 * Decides when a daemon takes in less than arrives, as its processor cannot serve it all.
 *
 * Load pattern: a daemon gets several times the requests that it can serve, for instance because the balancer sends it
 * most new connections of a zone, or because all callers return at once. Served in order of arrival, each would wait
 * until its caller has given up, so that none is served in time. New connections are closed unread then, which costs a
 * fraction of an answer and lets the caller try another daemon at once, also for a request that must not run twice.
 *
 * What waits is compared with what the daemon has been serving and with the time that requests have left, as a long
 * wait alone is no overload: a daemon serves what waited behind a stall, or while its code was cold, sooner than others
 * would. All times here leave out what turns of the event loop were held.
 */

/** Requests that were worked on while others waited, and the time that this took; older ones count less. */
export interface WorkRate {
  readonly requests: number;
  readonly ms: number;
  /** All requests that were counted. */
  readonly total: number;
}

export const NO_WORK: WorkRate = { requests: 0, ms: 0, total: 0 };

/** How far a daemon is behind. */
export interface Backlog {
  /** How long connections may have waited to be accepted. */
  readonly unreadMs: number;
  /** Connections that were accepted meanwhile. */
  readonly accepted: number;
  /** Batches of requests worked on since nothing waited. */
  readonly batches: number;
  /** Requests that were read and not worked on. */
  readonly queued: number;
  /** Time within which a usual one of them must be worked on; undefined if there is none. */
  readonly leftMs: number | undefined;
  readonly rate: WorkRate;
}

/** The estimate follows the last requests: about as many as arrive in a quarter of a second. */
const REMEMBERED = 64;
/** Fewer requests say little about the time of one. */
const MIN_REQUESTS = 12;
/**
 * While fewer than `WARM_REQUESTS` were counted, the code is being compiled: the time of a request falls from 25 to 7 ms
 * within some hundred requests on a third of a core. It is taken to be this much less.
 */
const WARM_REQUESTS = 400;
const COLD_FACTOR = 3;
/** Callers give up a request that nobody has read after a second, or after a third of the time that they have. */
const MAX_UNREAD_MS = 250;
/** Fewer connections in that time show that turns of the event loop were long, not that many wait. */
const MIN_ACCEPTED = 20;
/** A process that goes on after a pause may work off what has waited first. */
const MIN_BATCHES = 2;
/** The daemon takes new connections again once requests wait for less than this, milliseconds. */
const RELIEVED_MS = 100;

/** Longest time for which connections are accepted before requests are worked on again, milliseconds. */
const ACCEPT_MS = 25;
/** The same while saturated: to close a connection costs a fraction of the work on a request. */
const ACCEPT_SATURATED_MS = 80;
/**
 * The same while requests on kept connections wait, and new connections are accepted soon after they arrive: less than a
 * batch of work takes, so that a connection in each turn leaves more than half of the time to callers that were let in.
 */
const ACCEPT_KEPT_MS = 8;
/** New connections that wait for longer are accepted or closed first, milliseconds: their callers know nothing yet. */
const SOON_MS = 100;

export interface AcceptState {
  readonly isSaturated: boolean;
  /** Whether requests on kept connections wait to be worked on. */
  readonly hasKept: boolean;
  /** How long new connections are known to wait to be accepted, at least. */
  readonly acceptedAfterMs: number;
}

/** Time for accepting between two batches of requests, milliseconds. */
export function acceptLimitMs({ isSaturated, hasKept, acceptedAfterMs }: AcceptState): number {
  if (hasKept && acceptedAfterMs < SOON_MS) return ACCEPT_KEPT_MS;
  return isSaturated ? ACCEPT_SATURATED_MS : ACCEPT_MS;
}

/** Notes that `requests` were worked on within `ms` while more waited. */
export function noteWork(rate: WorkRate, requests: number, ms: number): WorkRate {
  const kept = (1 - 1 / REMEMBERED) ** requests;
  return {
    requests: rate.requests * kept + requests,
    ms: rate.ms * kept + ms,
    total: rate.total + requests,
  };
}

/** Time until a request that arrives now is worked on; 0 while nothing is known. */
export function expectedWaitMs({ queued, rate }: Pick<Backlog, 'queued' | 'rate'>): number {
  if (rate.total < MIN_REQUESTS) return 0;
  const waitMs = (queued * rate.ms) / rate.requests;
  return rate.total < WARM_REQUESTS ? waitMs / COLD_FACTOR : waitMs;
}

/**
 * How long connections may have waited because there are many of them. Turns of the event loop may also be long for other
 * reasons, such as a processor that others use, and what waits is served soon then.
 */
function floodedMs({ unreadMs, accepted, rate }: Backlog): number {
  if (accepted < MIN_ACCEPTED) return 0;
  return Math.min(unreadMs, expectedWaitMs({ queued: accepted, rate }));
}

/** Whether the daemon takes no new connections, given whether it did not before. */
export function isSaturated(backlog: Backlog, wasSaturated: boolean): boolean {
  const { batches, leftMs = Infinity } = backlog;
  const waitMs = expectedWaitMs(backlog);
  if (wasSaturated) return floodedMs(backlog) >= RELIEVED_MS || waitMs >= RELIEVED_MS;
  if (batches < MIN_BATCHES) return false;
  return floodedMs(backlog) >= MAX_UNREAD_MS || waitMs > Math.max(0, leftMs);
}

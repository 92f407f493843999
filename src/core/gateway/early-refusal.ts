/**
 * Decides on arrival whether a request that found no slot is refused at once.
 *
 * Load pattern: for seconds more requests arrive than there are slots for. A request whose place in the order
 * of service is not reached before its caller gives up would wait in vain, and its caller could have gone
 * elsewhere or have returned when there is room.
 *
 * The estimate errs towards waiting: a late answer is worth part of an answer on time, a refusal nothing. A
 * request is refused only if it gets no slot at all before its caller gives up.
 */

import type { OfferedLoad } from './capacity';

/** Capacity of a model and the load that competes for it. */
export interface ServiceView {
  /** Slots of the model's groups, and requests of all daemons in these groups. */
  readonly slots: number;
  readonly running: number;
  /** Mean time that a request holds a slot, milliseconds; undefined if unknown. */
  readonly holdMs: number | undefined;
  /** Whether the loads of the other daemons are known and fresh. */
  readonly hasPeerLoads: boolean;
  /** Load of more urgent classes, on all daemons. */
  readonly urgent: OfferedLoad;
  /** Load of the request's own class, on all daemons. */
  readonly own: OfferedLoad;
  /** Load of less urgent classes, on all daemons. */
  readonly lessUrgent: OfferedLoad;
  /** Part of the class's load that arrives at this daemon, 0 to 1. */
  readonly localShare: number;
  /** Requests that wait at this daemon and go before this one. */
  readonly localAhead: number;
  /** More urgent requests that wait at the other daemons. */
  readonly remoteUrgent: number;
}

/** Times that the request has left, milliseconds. */
export interface TimeLeft {
  /** Until it is late. */
  readonly slackMs: number;
  /** Until it is refused for lack of a slot. */
  readonly slotMs: number;
}

export interface ExpectedWait {
  /** Infinite if no slot is left over for the request at the current loads. */
  readonly expectedWaitMs: number;
  /** Requests that this daemon serves before it. */
  readonly ahead: number;
}

/**
 * Factor on the expected throughput: slots are released in bursts, and a wave of load may have passed its
 * peak since the loads were measured.
 */
const THROUGHPUT_MARGIN = 1.15;
/** Occupancy up to which no request is refused: there is room that this daemon doesn't know of yet. */
const MIN_OCCUPANCY = 0.9;
const MS_PER_S = 1_000;

/** Requests per second that the slots serve, estimated high; infinite if unknown. */
function throughput({ slots, holdMs }: ServiceView): number {
  if (holdMs === undefined || holdMs <= 0) return Infinity;
  return (THROUGHPUT_MARGIN * slots * MS_PER_S) / holdMs;
}

/** Time until this daemon has served `ahead` requests, at a rate of the whole fleet. */
function msUntilServed(ahead: number, perSecond: number, localShare: number): number {
  return perSecond <= 0 ? Infinity : (ahead * MS_PER_S) / (perSecond * localShare);
}

/**
 * The time that the request will wait for a slot. As long as it can be on time, it waits for those ahead of it
 * and for arrivals of more urgent classes; from then on for the arrivals of all classes, which go before late
 * requests.
 */
export function expectWait(
  view: ServiceView,
  { slackMs }: Pick<TimeLeft, 'slackMs'>,
): ExpectedWait {
  const { urgent, own, lessUrgent, localShare, localAhead, remoteUrgent } = view;
  const ahead = localAhead + remoteUrgent * localShare;
  const leftPerS = throughput(view) - urgent.perSecond;
  const onTimeMs = msUntilServed(ahead, leftPerS, localShare);
  const leftLatePerS = leftPerS - own.perSecond - lessUrgent.perSecond;
  const expectedWaitMs =
    onTimeMs <= slackMs ? onTimeMs : msUntilServed(ahead, leftLatePerS, localShare);
  return { expectedWaitMs, ahead };
}

/** Whether enough is known, and the model is full enough, to refuse a request at all. */
function mayRefuse({ slots, running, hasPeerLoads, urgent, own }: ServiceView): boolean {
  const isFull = slots > 0 && running > MIN_OCCUPANCY * slots;
  return hasPeerLoads && isFull && urgent.waiting + own.waiting > 0;
}

/** The expected wait if the request must be refused at once; undefined if it may wait. */
export function refuseEarly(view: ServiceView, left: TimeLeft): ExpectedWait | undefined {
  if (!mayRefuse(view)) return undefined;
  const wait = expectWait(view, left);
  return wait.expectedWaitMs > left.slotMs ? wait : undefined;
}

/** Earliest return of a caller for whom no slot is left over at the current loads, milliseconds. */
const UNSERVED_RETURN_MS = 1_000;
/** A caller is asked to return after at least this and at most this time, milliseconds. */
const MIN_RETURN_MS = 200;
const MAX_RETURN_MS = 4_000;

/**
 * When the caller should return, spread over as long a time again, so that callers refused together do not
 * return together. With a finite wait, the requests ahead have been served by then; otherwise the time grows
 * with the load.
 */
export function returnAfter(
  view: ServiceView,
  { expectedWaitMs }: ExpectedWait,
): { readonly minMs: number; readonly spreadMs: number } {
  const overload = (view.urgent.perSecond + view.own.perSecond) / throughput(view);
  const ms = Number.isFinite(expectedWaitMs)
    ? expectedWaitMs
    : UNSERVED_RETURN_MS * Math.max(1, overload);
  const minMs = Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, ms));
  return { minMs, spreadMs: minMs };
}

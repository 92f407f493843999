/**
 * Limits the requests that a cold server receives from all daemons together.
 *
 * Load pattern: after the loss of a zone, the servers of a service start again at the same time, and each
 * fails above a low request rate for as long as it is cold. A daemon cannot know what the others send in
 * the same second. So a few daemons, the senders, are assigned to each cold server, each with a fixed
 * number of requests per second, and they stay the same while the server is cold. A sender that is lost or
 * cut off is not replaced, so it cannot add requests to those of a successor.
 */

import type { DaemonId, InstanceId, MonoTime } from '../../ids';
import { later } from '../../ids';
import { rankByRendezvous } from '../../membership/rendezvous';

/** The deployment's bound on requests to a cold server, relative to the rate that the server tolerates. */
export interface ColdBounds {
  readonly factor: number;
  readonly slack: number;
}

/** Number of senders of a cold server, and the requests per second that each may send. */
export interface SenderPlan {
  readonly senders: number;
  readonly perSender: number;
}

/** Daemons that may send to a cold server. */
export interface ColdAssignment {
  readonly senders: readonly DaemonId[];
  /** Requests per second that each of them may send. */
  readonly perSender: number;
}

/** Share of the bound that is assigned; the rest covers senders of an earlier leader that still send. */
const BUDGET_SHARE = 0.8;
/** A sender has at least this many requests per second, as far as the budget allows. */
const MIN_PER_SENDER = 2;
/** Least part of the budget that the assignment uses: fewer senders are chosen where rounding loses more. */
const MIN_BUDGET_USE = 0.85;
/**
 * Length of the window in which a sender counts its requests. The bound applies to seconds; a process that
 * is suspended between the count and the write sends up to some tens of milliseconds later than counted.
 */
export const SEND_WINDOW_MS = 1_050;
/** A request that took a token and was not sent after this long no longer counts; connecting takes less. */
const RESERVATION_MS = 2_000;
/** Time within which the share of a server that has become warm rises to its full size. */
const WARM_UP_MS = 1_000;
/** Initial factor of the warm-up, so that senders do not stop when the server becomes warm. */
const MIN_WARM_UP = 0.05;

/** Most requests that a cold server may receive from all daemons in any one second. */
export function coldBound(coldPerS: number, { factor, slack }: ColdBounds): number {
  return coldPerS * factor + slack;
}

/** Part of the bound that is assigned to senders, in whole requests per second. */
export function coldBudget(bound: number): number {
  return Math.floor(BUDGET_SHARE * bound);
}

/** As many senders as possible that together use most of the budget. */
export function planSenders(bound: number, daemons: number): SenderPlan {
  const budget = coldBudget(bound);
  const most = Math.min(daemons, Math.max(1, Math.floor(budget / MIN_PER_SENDER)));
  for (let senders = most; senders > 1; senders--) {
    const perSender = Math.floor(budget / senders);
    if (senders * perSender >= MIN_BUDGET_USE * budget) return { senders, perSender };
  }
  return { senders: Math.min(1, budget), perSender: budget };
}

/** Assigns senders among `daemons`: nearly the same ones if two views differ by a few daemons. */
export function assignSenders(
  server: InstanceId,
  bound: number,
  daemons: readonly DaemonId[],
): ColdAssignment {
  const { senders, perSender } = planSenders(bound, daemons.length);
  return { senders: rankByRendezvous(server, daemons).slice(0, senders), perSender };
}

/**
 * Requests per second that a daemon may send under the assignment, 0 if it is no sender. At most its part
 * of the budget, in case the bound was lowered since the assignment.
 */
export function allowanceOf(
  assignment: ColdAssignment | undefined,
  self: DaemonId,
  bound: number,
): number {
  if (!assignment?.senders.includes(self)) return 0;
  return Math.min(assignment.perSender, Math.floor(coldBudget(bound) / assignment.senders.length));
}

/** One daemon's recent requests to a server, in order of time. */
export interface RecentSends {
  /** When requests were sent. */
  readonly sent: readonly MonoTime[];
  /** When requests took a token that are not sent yet: they still wait for a connection. */
  readonly reserved: readonly MonoTime[];
}

export const NO_SENDS: RecentSends = { sent: [], reserved: [] };

/** Drops the sends that no longer count. */
export function recentSends({ sent, reserved }: RecentSends, now: MonoTime): RecentSends {
  return {
    sent: sent.filter((at) => now < later(at, SEND_WINDOW_MS)),
    reserved: reserved.filter((at) => now < later(at, RESERVATION_MS)),
  };
}

/** Adds a request that took a token. */
export function addReservation(sends: RecentSends, now: MonoTime): RecentSends {
  const { sent, reserved } = recentSends(sends, now);
  return { sent, reserved: [...reserved, now] };
}

/** Removes a reservation, and counts the request if it is sent now. */
export function endReservation(sends: RecentSends, now: MonoTime, isSent: boolean): RecentSends {
  const { sent, reserved } = recentSends(sends, now);
  return { sent: isSent ? [...sent, now] : sent, reserved: reserved.slice(1) };
}

/** Requests that may be sent now under an allowance of so many per second. */
export function tokensLeft(sends: RecentSends, allowance: number, now: MonoTime): number {
  const { sent, reserved } = recentSends(sends, now);
  return Math.max(0, allowance - sent.length - reserved.length);
}

/** Time until a request may be sent, milliseconds; infinite without an allowance. */
export function msUntilSend(sends: RecentSends, allowance: number, now: MonoTime): number {
  if (allowance < 1) return Infinity;
  const { sent, reserved } = recentSends(sends, now);
  const excess = sent.length + reserved.length - allowance;
  if (excess < 0) return 0;
  const expiring = sent[excess];
  return expiring === undefined ? SEND_WINDOW_MS : later(expiring, SEND_WINDOW_MS) - now;
}

/** The limit on one daemon's requests to a cold server. */
export interface ColdLimit {
  /** Requests per second that it may send; 0 if it is no sender. */
  readonly perSecond: number;
  /** Time until the limit ends, milliseconds. */
  readonly endMs: number;
}

/**
 * Additional wait of a request with `ahead` others of this daemon before it, if all servers that could take
 * it are cold, milliseconds: the tokens of each second are taken by those ahead. 0 if a server is not cold.
 */
export function queueDelayMs(limits: readonly (ColdLimit | undefined)[], ahead: number): number {
  const cold = limits.flatMap((limit) => limit ?? []);
  const perSecond = cold.reduce((sum, limit) => sum + limit.perSecond, 0);
  if (cold.length < limits.length || perSecond === 0) return 0;
  const endMs = Math.min(...cold.map((limit) => limit.endMs));
  return Math.min(endMs, Math.floor(ahead / perSecond) * SEND_WINDOW_MS);
}

/** Factor on the free capacity of a server whose limit ended at `endedAt`: rises to 1 within a second. */
export function warmUpFactor(endedAt: MonoTime, now: MonoTime): number {
  return Math.min(1, Math.max(MIN_WARM_UP, (now - endedAt) / WARM_UP_MS));
}

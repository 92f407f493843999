/**
 * Ends groups. No member may join another group while the head may still serve: the head closes or
 * leaves first. If it cannot be reached, the members leave and become free only after the time in which
 * the head is certain to have broken.
 */

import { later } from '../../ids';
import type { MonoTime } from '../../ids';
import type { OrderResult } from '../orders';
import type { BackendServer } from '../types';
import { isEvacuated } from './evacuated';
import { mayOpen, noteDeparture, restorableUntil } from './late-orders';
import { hasNoAnswers, isGroupLost } from './silent';
import { lastResult, sendOrder } from './sent-orders';
import { isSuspect, STALE_ENTRY_MS } from './state';
import type { Draft, Retirement, RetirementStep } from './state';

/** A head that answers no order for this long counts as unreachable: one lost answer and some margin. */
const UNREACHABLE_MS = 1_000;
/** An order to the head, then one to its members. */
const ORDERS_MS = 2 * UNREACHABLE_MS;

/** By when the members are free if the servers carry out the orders of this step and of those that follow. */
function dueAt({ now, settings }: Draft, step: RetirementStep): MonoTime {
  return later(now, step === 'finish' ? settings.finishTimeoutMs + ORDERS_MS : ORDERS_MS);
}

/**
 * Starts to end a group at the given step; a head that is missing or lost is starved instead. One that is only silent
 * may still finish its answers.
 */
export function startRetirement(
  draft: Draft,
  of: Pick<Retirement, 'group' | 'epoch' | 'head' | 'members' | 'model'>,
  step: RetirementStep,
): void {
  const { group, head } = of;
  draft.formations.delete(group);
  draft.foreignGroups.delete(group);
  draft.dissolved.delete(group);
  const isLost = (server: BackendServer): boolean =>
    step === 'finish' ? isGroupLost(draft, { head, members: [] }) : isSuspect(draft, server.id);
  const isReachable = head !== undefined && !isLost(head);
  const firstStep: RetirementStep = isReachable ? step : 'starve';
  const times = { since: draft.now, round: draft.now, dueAt: dueAt(draft, firstStep) };
  draft.retirements.set(group, { ...of, step: firstStep, ...times });
}

/** Whether the group ends only for its head's missing entry, and the head is back. */
function isBack(draft: Draft, retirement: Retirement): boolean {
  return retirement.isForAbsence === true && headState(draft, retirement) === 'open';
}

/** How long a head may finish its requests. One without an entry cannot report that it has closed. */
function finishLimitMs(draft: Draft, retirement: Retirement): number {
  const { finishTimeoutMs, unlistedFinishMs } = draft.settings;
  const isUnlisted = headState(draft, retirement) === undefined;
  const mayLeave = isUnlisted && hasNoAnswers(draft, retirement.head?.id, retirement.since);
  return mayLeave ? unlistedFinishMs : finishTimeoutMs;
}

function switchTo(draft: Draft, retirement: Retirement, step: RetirementStep): void {
  // Orders that are refused or lost switch between the other steps, and put nothing off.
  const isBounded = step !== 'finish' && retirement.step !== 'finish';
  const due = isBounded ? retirement.dueAt : dueAt(draft, step);
  draft.retirements.set(retirement.group, { ...retirement, step, since: draft.now, dueAt: due });
}

function release(draft: Draft, retirement: Retirement): void {
  draft.retirements.delete(retirement.group);
  draft.dissolved.set(retirement.group, draft.now);
  noteDeparture(draft, retirement);
}

/** Frees the members of a group whose head has left, once no order on its way can open it again. */
function releaseLeft(draft: Draft, retirement: Retirement): void {
  const freeAt = restorableUntil(draft, retirement);
  if (freeAt === undefined) {
    release(draft, retirement);
    return;
  }
  const held = { ...retirement, step: 'hold', since: draft.now, freeAt, dueAt: freeAt } as const;
  draft.retirements.set(retirement.group, held);
}

/** The state that the head reports, if it still reports this group. */
function headState(draft: Draft, { group, epoch, head }: Retirement): string | undefined {
  const now = head && draft.view.servers.get(head.id)?.membership;
  return now?.group === group && now.epoch === epoch ? now.state : undefined;
}

/** Whether the head's entry, once it can reflect the order, shows that it has left the group. */
function hasLeft(draft: Draft, { group, epoch, head, since }: Retirement): boolean {
  const now = head && draft.view.servers.get(head.id);
  if (!now || draft.now < later(since, draft.settings.resendMs)) return false;
  return now.membership?.group !== group || now.membership.epoch !== epoch;
}

function leaveOrder({ group, epoch }: Retirement): {
  readonly kind: 'leave';
  readonly group: Retirement['group'];
  readonly epoch: Retirement['epoch'];
} {
  return { kind: 'leave', group, epoch };
}

function closeOrder({ group, epoch }: Retirement) {
  return { kind: 'close', group, epoch, mode: 'finish' } as const;
}

/**
 * Goes on to `leave` once the head is known to be closed. An entry that shows it as ready may be an old one, and an order to
 * leave breaks off the answers of a head that has opened since.
 */
function leaveOnceClosed(draft: Draft, retirement: Retirement, head: BackendServer): void {
  const result = lastResult(draft, head, closeOrder(retirement), retirement.round);
  const isKnown = result === 'done' || result === 'refused' || result === 'other-server';
  if (isKnown || draft.now >= later(retirement.since, UNREACHABLE_MS))
    switchTo(draft, retirement, 'leave');
  else sendOrder(draft, head, closeOrder(retirement), retirement.round);
}

const STEP_HANDLERS: Readonly<
  Record<RetirementStep, (draft: Draft, retirement: Retirement, head: BackendServer) => void>
> = {
  finish: (draft, retirement, head) => {
    const state = headState(draft, retirement);
    if (state === 'broken' || state === 'ready' || state === 'joining') {
      if (state !== 'broken' && mayOpen(draft, retirement))
        leaveOnceClosed(draft, retirement, head);
      else release(draft, retirement);
      return;
    }
    const close = closeOrder(retirement);
    // A close that is carried out later ends no answer: the head then reports that it is closing.
    if (isBack(draft, retirement) && lastResult(draft, head, close, retirement.round) !== 'done') {
      draft.retirements.delete(retirement.group);
      return;
    }
    const result = sendOrder(draft, head, close, retirement.round);
    const isTimedOut = draft.now >= later(retirement.since, finishLimitMs(draft, retirement));
    const isLost = isGroupLost(draft, retirement);
    if (isTimedOut || isLost || result === 'refused' || result === 'other-server') {
      switchTo(draft, retirement, 'leave');
    }
  },
  abort: (draft, retirement, head) => {
    const { group, epoch, round } = retirement;
    const result = sendOrder(draft, head, { kind: 'close', group, epoch, mode: 'abort' }, round);
    if (result !== undefined) switchTo(draft, retirement, 'leave');
  },
  leave: (draft, retirement, head) => {
    if (isBack(draft, retirement)) {
      // It gets requests again, which it may finish; one of the orders sent before may still reach it.
      switchTo(draft, { ...retirement, isForAbsence: false }, 'finish');
      return;
    }
    const result = orderToLeave(draft, retirement, head);
    if (result === 'left') return;
    if (result === 'refused') switchTo(draft, retirement, 'abort');
    else if (draft.now >= later(retirement.since, UNREACHABLE_MS))
      switchTo(draft, retirement, 'starve');
  },
  starve: (draft, retirement, head) => {
    if (orderToLeave(draft, retirement, head) !== 'left') starve(draft, retirement);
  },
  hold: (draft, retirement) => {
    const { freeAt, ...restored } = retirement;
    const isBackInGroup = headState(draft, retirement) !== undefined;
    if (isBackInGroup && draft.now >= later(retirement.since, STALE_ENTRY_MS)) {
      switchTo(draft, { ...restored, round: draft.now }, 'leave');
      return;
    }
    if (freeAt === undefined || draft.now >= freeAt) release(draft, retirement);
  },
};

/** Orders the head to leave and frees the members if it has left; else returns the result of the order. */
function orderToLeave(
  draft: Draft,
  retirement: Retirement,
  head: BackendServer,
): OrderResult | 'left' | undefined {
  const result = sendOrder(draft, head, leaveOrder(retirement), retirement.round);
  if (result === 'other-server') release(draft, retirement);
  else if (result === 'done' || hasLeft(draft, retirement)) releaseLeft(draft, retirement);
  else return result;
  return 'left';
}

/** Orders the members to leave. Once the first has left, the head stalls and breaks within a known time. */
function starve(draft: Draft, retirement: Retirement): void {
  const { settings, now } = draft;
  if (retirement.freeAt !== undefined) {
    if (now >= retirement.freeAt) release(draft, retirement);
    return;
  }
  const others = retirement.members.filter(({ id }) => id !== retirement.head?.id);
  const results = others
    .filter(({ id }) => draft.view.servers.has(id))
    .map((member) => sendOrder(draft, member, leaveOrder(retirement), retirement.round));
  if (!results.includes('done')) return;
  const freeAt = later(now, settings.headBreakMs + settings.starveMarginMs);
  draft.retirements.set(retirement.group, { ...retirement, freeAt, dueAt: freeAt });
}

/** Advances every group being ended by one step. */
export function advanceRetirements(draft: Draft): void {
  for (const retirement of [...draft.retirements.values()]) {
    const { head, members } = retirement;
    // Goes on after the evacuation; until then no order may be sent.
    const involved = head ? [head, ...members] : members;
    if (involved.some((server) => isEvacuated(draft, server))) continue;
    // A head that has restarted no longer has the group that its earlier process served.
    if (head && draft.view.ended.has(head.id)) release(draft, retirement);
    else if (head) STEP_HANDLERS[retirement.step](draft, retirement, head);
    else starve(draft, retirement);
  }
}

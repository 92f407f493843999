/**
 * Ends groups. No member may join another group while its head may still serve: the head closes or
 * leaves first, and where it cannot be reached its members leave, wait until it must be broken, and
 * are free only then.
 */

import { later } from '../../ids';
import type { BackendServer } from '../types';
import { sendOrder, isSuspect } from './state';
import type { Draft, Retirement, RetirementStep } from './state';

/** A head that answers no order for so long is held to be out of reach; one lost answer and a little more. */
const UNREACHABLE_MS = 1_000;

export function startRetirement(
  draft: Draft,
  of: Pick<Retirement, 'group' | 'epoch' | 'head' | 'members' | 'model'>,
  step: RetirementStep,
): void {
  const { group, head } = of;
  draft.formations.delete(group);
  draft.foreignGroups.delete(group);
  draft.dissolved.delete(group);
  const isReachable = head !== undefined && !isSuspect(draft, head.id);
  const first: RetirementStep = isReachable ? step : 'starve';
  draft.retirements.set(group, { ...of, step: first, since: draft.now });
}

function turnTo(draft: Draft, retirement: Retirement, step: RetirementStep): void {
  draft.retirements.set(retirement.group, { ...retirement, step, since: draft.now });
}

function setFree(draft: Draft, { group }: Retirement): void {
  draft.retirements.delete(group);
  draft.dissolved.set(group, draft.now);
}

/** What the head reports now, as long as it reports this group. */
function headState(draft: Draft, { group, epoch, head }: Retirement): string | undefined {
  const now = head && draft.view.servers.get(head.id)?.membership;
  return now?.group === group && now.epoch === epoch ? now.state : undefined;
}

/** Whether the head reports by now that it has no part in the group. */
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

const STEPS: Readonly<
  Record<RetirementStep, (draft: Draft, retirement: Retirement, head: BackendServer) => void>
> = {
  finish: (draft, retirement, head) => {
    const state = headState(draft, retirement);
    if (state === 'ready' || state === 'joining' || state === 'broken') {
      setFree(draft, retirement);
      return;
    }
    const { group, epoch } = retirement;
    const result = sendOrder(draft, head, { kind: 'close', group, epoch, mode: 'finish' });
    const { finishTimeoutMs: finishMs, unlistedFinishMs: unseenFinishMs } = draft.settings;
    const limitMs = state === undefined ? unseenFinishMs : finishMs;
    const isLate = draft.now >= later(retirement.since, limitMs);
    const isLost = retirement.members.some(({ id }) => isSuspect(draft, id));
    if (isLate || isLost || result === 'refused' || result === 'other-server') {
      turnTo(draft, retirement, 'leave');
    }
  },
  abort: (draft, retirement, head) => {
    const { group, epoch } = retirement;
    const result = sendOrder(draft, head, { kind: 'close', group, epoch, mode: 'abort' });
    if (result !== undefined) turnTo(draft, retirement, 'leave');
  },
  leave: (draft, retirement, head) => {
    const result = sendOrder(draft, head, leaveOrder(retirement));
    if (result === 'done' || result === 'other-server' || hasLeft(draft, retirement)) {
      setFree(draft, retirement);
      return;
    }
    if (result === 'refused') turnTo(draft, retirement, 'abort');
    else if (draft.now >= later(retirement.since, UNREACHABLE_MS))
      turnTo(draft, retirement, 'starve');
  },
  starve: (draft, retirement, head) => {
    const result = sendOrder(draft, head, leaveOrder(retirement));
    if (result === 'done' || result === 'other-server' || hasLeft(draft, retirement)) {
      setFree(draft, retirement);
      return;
    }
    starve(draft, retirement);
  },
};

/** Has the members leave. From the first one's leaving the head stands still, and breaks in time. */
function starve(draft: Draft, retirement: Retirement): void {
  const { settings, now } = draft;
  if (retirement.freeAt !== undefined) {
    if (now >= retirement.freeAt) setFree(draft, retirement);
    return;
  }
  const others = retirement.members.filter(({ id }) => id !== retirement.head?.id);
  const results = others
    .filter(({ id }) => draft.view.servers.has(id))
    .map((member) => sendOrder(draft, member, leaveOrder(retirement)));
  if (!results.includes('done')) return;
  const freeAt = later(now, settings.headBreakMs + settings.starveMarginMs);
  draft.retirements.set(retirement.group, { ...retirement, freeAt });
}

/** Takes every ending group a step further. */
export function advanceRetirements(draft: Draft): void {
  for (const retirement of [...draft.retirements.values()]) {
    const { head } = retirement;
    // A head that has started again has nothing of the group that its earlier life served.
    if (head && draft.view.ended.has(head.id)) setFree(draft, retirement);
    else if (head) STEPS[retirement.step](draft, retirement, head);
    else starve(draft, retirement);
  }
}

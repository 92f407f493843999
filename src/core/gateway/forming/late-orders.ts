/**
 * Tells what orders that are still on their way may do to a group that is being ended.
 *
 * An order without an answer may be carried out seconds later, after newer ones. A head may join another group only once
 * no such order can open it again: that takes an `open` while it is still in its group, and a `join` and an `open` of
 * that group once it has left. Which orders of this leader had no answer is known; of an earlier leader it is not.
 */

import { later } from '../../ids';
import type { Epoch, GroupId, InstanceId, MonoTime } from '../../ids';
import type { BackendServer } from '../types';
import { isEpochOf } from './epochs';
import { pendingUntil } from './sent-orders';
import type { Draft, Retirement } from './state';

type EndingGroup = Pick<Retirement, 'group' | 'epoch' | 'head'>;

function isOwn({ view }: Draft, epoch: Epoch): boolean {
  return isEpochOf(view.fencing, epoch);
}

/** Whether orders of earlier leaders may still be carried out. */
function mayHaveEarlierOrders({ now, leadingSince, settings }: Draft): boolean {
  return now < later(leadingSince, settings.lateOrderMs);
}

/** Until when an `open` may still be carried out at the head; undefined if there is none. */
function openPendingUntil(draft: Draft, { group, epoch, head }: EndingGroup): MonoTime | undefined {
  return head && pendingUntil(draft, head, { kind: 'open', group, epoch });
}

/** Whether a head that is ready in its group may yet be opened. */
export function mayOpen(draft: Draft, ending: EndingGroup): boolean {
  if (!isOwn(draft, ending.epoch)) return mayHaveEarlierOrders(draft);
  return openPendingUntil(draft, ending) !== undefined;
}

/** Whether its entry shows the server as a head that an order of this leader may yet open. */
export function isHeadToOpen(draft: Draft, server: BackendServer): boolean {
  const { membership } = server;
  if (membership?.rank !== 0 || !isOwn(draft, membership.epoch)) return false;
  const { group, epoch } = membership;
  return openPendingUntil(draft, { group, epoch, head: server }) !== undefined;
}

/** Until when a head that has left its group may be brought back and opened by orders of this leader. */
export function restorableUntil(draft: Draft, ending: EndingGroup): MonoTime | undefined {
  const { group, epoch, head } = ending;
  const openUntil = openPendingUntil(draft, ending);
  const joinUntil = head && pendingUntil(draft, head, { kind: 'join', group, epoch });
  if (openUntil === undefined || joinUntil === undefined) return undefined;
  return openUntil < joinUntil ? openUntil : joinUntil;
}

/** Notes that the head of a group of an earlier leader has left it, whose orders may bring it back. */
export function noteDeparture(draft: Draft, { group, epoch, head }: EndingGroup): void {
  if (!head || isOwn(draft, epoch) || !mayHaveEarlierOrders(draft)) return;
  draft.departures.set(group, { head: head.id, isSeen: false });
}

/** Whether the head's entry shows that it serves in the group. */
function isServingIn({ view }: Draft, group: GroupId, head: InstanceId): boolean {
  const membership = view.servers.get(head)?.membership;
  if (membership?.group !== group) return false;
  return membership.state === 'open' || membership.state === 'closing';
}

/** Notes which heads' entries show that they have left. Until then an entry that says otherwise may be an old one. */
export function observeDepartures(draft: Draft): void {
  if (!mayHaveEarlierOrders(draft)) draft.departures.clear();
  for (const [group, { head }] of draft.departures)
    if (!isServingIn(draft, group, head)) draft.departures.set(group, { head, isSeen: true });
}

/** Whether orders of an earlier leader have brought the head of this group back and opened it. */
export function hasReopened(draft: Draft, group: GroupId): boolean {
  const departure = draft.departures.get(group);
  return departure?.isSeen === true && isServingIn(draft, group, departure.head);
}

/** Whether the group was formed by this leader, which has not ordered any of its members elsewhere since. */
export function mayOpenFound(
  draft: Draft,
  { epoch, members }: { readonly epoch: Epoch; readonly members: readonly BackendServer[] },
): boolean {
  if (!isOwn(draft, epoch)) return false;
  const ids = new Set(members.map(({ id }) => id));
  return [...draft.formations.values()].every((formation) =>
    formation.members.every(({ id }) => !ids.has(id)),
  );
}

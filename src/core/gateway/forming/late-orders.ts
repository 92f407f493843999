/**
 * Tells what orders that are still on their way may do to a group that is being ended.
 *
 * An order without an answer may be carried out seconds later, after newer ones. A head may join another group only once
 * no such order can open it again: that takes an `open` while it is still in its group, and a `join` and an `open` of the same
 * epoch once it has left. Orders of this leader are known; those of an earlier one are not.
 */

import { later } from '../../ids';
import type { Epoch, GroupId, MonoTime } from '../../ids';
import type { BackendServer, Membership } from '../types';
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

/** Until when a head that has left its group may be brought back and opened by orders of this leader. */
export function restorableUntil(draft: Draft, ending: EndingGroup): MonoTime | undefined {
  const { group, epoch, head } = ending;
  const openUntil = openPendingUntil(draft, ending);
  const joinUntil = head && pendingUntil(draft, head, { kind: 'join', group, epoch });
  if (openUntil === undefined || joinUntil === undefined) return undefined;
  return openUntil < joinUntil ? openUntil : joinUntil;
}

const NO_GROUPS: ReadonlySet<GroupId> = new Set();

/** Groups of earlier leaders whose heads report that they serve, while orders of these may still be carried out. */
export function servingForeignGroups(draft: Draft): ReadonlySet<GroupId> {
  if (!mayHaveEarlierOrders(draft)) return NO_GROUPS;
  const serves = ({ rank, state, epoch }: Membership): boolean =>
    rank === 0 && (state === 'open' || state === 'closing') && !isOwn(draft, epoch);
  return new Set(
    [...draft.view.servers.values()].flatMap(({ membership }) =>
      membership && serves(membership) ? [membership.group] : [],
    ),
  );
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

/**
 * Tells what orders that are still on their way may do to a group that is being ended.
 *
 * An order without an answer may be carried out seconds later, after newer ones. A head may join another group only once
 * no such order can open it again: that takes an `open` while it is still in its group, and a `join` and an `open` of the same
 * epoch once it has left.
 */

import type { MonoTime } from '../../ids';
import { pendingUntil } from './sent-orders';
import type { Draft, Retirement } from './state';

type EndingGroup = Pick<Retirement, 'group' | 'epoch' | 'head'>;

/** Until when an `open` may still be carried out at the head; undefined if there is none. */
function openPendingUntil(draft: Draft, { group, epoch, head }: EndingGroup): MonoTime | undefined {
  return head && pendingUntil(draft, head, { kind: 'open', group, epoch });
}

/** Whether a head that is ready in its group may yet be opened. */
export function mayOpen(draft: Draft, ending: EndingGroup): boolean {
  return openPendingUntil(draft, ending) !== undefined;
}

/** Until when a head that has left its group may be brought back and opened. */
export function restorableUntil(draft: Draft, ending: EndingGroup): MonoTime | undefined {
  const { group, epoch, head } = ending;
  const openUntil = openPendingUntil(draft, ending);
  const joinUntil = head && pendingUntil(draft, head, { kind: 'join', group, epoch });
  if (openUntil === undefined || joinUntil === undefined) return undefined;
  return openUntil < joinUntil ? openUntil : joinUntil;
}

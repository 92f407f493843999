/** Takes a place in a group for a stream. */

import { chooseGroup, pickWeightedGroup, listEligible } from '../../core/gateway/balance';
import type { Arrivals } from './arrivals';
import type { GroupRegistry, GroupNeeds } from './group-registry';
import type { GatewayContext } from './context';
import type { ServingGroup } from './group-index';
import type { WaitQueue } from './wait-queue';

export interface SlotDeps {
  readonly ctx: GatewayContext;
  readonly board: GroupRegistry;
  readonly waiting: WaitQueue;
  readonly arrivals: Arrivals;
  /** Daemons that may choose as well, this one included. */
  readonly daemons: () => number;
}

export interface SlotRequest extends GroupNeeds {
  readonly promptTokens: number;
  /** Time that the request may wait for a place in all and still be on time, milliseconds. */
  readonly slackMs: number;
  /** Whether that time has passed. */
  readonly isLate: boolean;
}

/** So few daemons hear of each other soon enough to choose the least filled group. */
const FEW_DAEMONS = 10;

/** The group in which a place was taken; undefined where none has room for this daemon. */
export function takeSlot(
  deps: SlotDeps,
  { promptTokens, slackMs, isLate, ...needs }: SlotRequest,
): ServingGroup | undefined {
  const { ctx, board, waiting, arrivals, daemons } = deps;
  const { model } = needs;
  const here = { waiting: waiting.count(model), perSecond: arrivals.rate(model) };
  const admission = board.admit(model, board.candidates(needs), { local: here, slackMs, isLate });
  const open = listEligible(admission.groups, (head) => board.grantedSlots(head), promptTokens);
  const { zone } = ctx.settings;
  const random = (): number => ctx.random.next();
  const found =
    daemons() > FEW_DAEMONS
      ? pickWeightedGroup(open, zone, random)
      : chooseGroup(open, promptTokens, zone, random());
  const group = found && board.find(found.head);
  if (!group) return undefined;
  // The place is taken in the same tick, so that the next request in turn sees it taken.
  admission.noteSent();
  board.noteSent(group.head.id, promptTokens);
  return group;
}

/** Takes a slot in a group for a stream. */

import { chooseGroup, pickWeightedGroup, listEligible } from '../../core/gateway/balance';
import type { GroupCandidate } from '../../core/gateway/balance';
import type { Arrivals } from './arrivals';
import type { GroupRegistry, GroupNeeds } from './group-registry';
import type { GatewayContext } from './context';
import type { ServingGroup } from './group-index';
import type { WaitQueue } from './wait-queue';

export interface SlotDeps {
  readonly ctx: GatewayContext;
  readonly groupRegistry: GroupRegistry;
  readonly waitQueue: WaitQueue;
  readonly arrivals: Arrivals;
  /** Daemons that may choose at the same time, this one included. */
  readonly daemons: () => number;
}

export interface SlotRequest extends GroupNeeds {
  readonly promptTokens: number;
  /** Total time that the request may wait for a slot and still be on time, milliseconds. */
  readonly slackMs: number;
  /** Whether that time has passed. */
  readonly isLate: boolean;
  /** Narrows the groups that it may use, out of those with free capacity. */
  readonly narrow?: (groups: readonly GroupCandidate[]) => readonly GroupCandidate[];
}

/**
 * Up to this many daemons learn of each other's choices soon enough to choose the least loaded
 * group.
 */
const MAX_LEAST_LOADED_DAEMONS = 10;

/**
 * Returns the group in which a slot was taken; undefined if none has free capacity for this daemon.
 */
export function takeSlot(
  deps: SlotDeps,
  { promptTokens, slackMs, isLate, narrow = (groups) => groups, ...needs }: SlotRequest,
): ServingGroup | undefined {
  const { ctx, groupRegistry, waitQueue, arrivals, daemons } = deps;
  const { model } = needs;
  const local = { waiting: waitQueue.count(model), perSecond: arrivals.rate(model) };
  const admission = groupRegistry.admit(model, groupRegistry.candidates(needs), {
    local,
    slackMs,
    isLate,
  });
  const eligible = narrow(
    listEligible(admission.groups, (head) => groupRegistry.grantedSlots(head), promptTokens),
  );
  const { zone } = ctx.settings;
  const random = (): number => ctx.random.next();
  const found =
    daemons() > MAX_LEAST_LOADED_DAEMONS
      ? pickWeightedGroup(eligible, zone, random)
      : chooseGroup(eligible, promptTokens, zone, random());
  const group = found && groupRegistry.find(found.head);
  if (!group) return undefined;
  // The slot is taken in the same tick, so that the next request in the queue sees it as taken.
  admission.noteSent();
  groupRegistry.noteSent(group.head.id, promptTokens);
  return group;
}

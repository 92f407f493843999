/** Takes a slot in a group for a stream. */

import { chooseGroup, pickWeightedGroup, listEligible } from '../../core/gateway/balance';
import type { ClassLoad } from '../../core/gateway/priority-classes';
import type { ModelId } from '../../core/ids';
import type { Arrivals } from './arrivals';
import type { GroupNeeds } from './group-loads';
import type { GroupRegistry } from './group-registry';
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
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Total time that the request may wait for a slot and still be on time, milliseconds. */
  readonly slackMs: number;
  /** Whether that time has passed. */
  readonly isLate: boolean;
}

/**
 * Up to this many daemons learn of each other's choices soon enough to choose the least loaded
 * group.
 */
const MAX_LEAST_LOADED_DAEMONS = 10;

/** Load of the model on this daemon by priority; the class of the request itself comes first. */
export function localClasses(
  { waitQueue, arrivals }: Pick<SlotDeps, 'waitQueue' | 'arrivals'>,
  model: ModelId,
  priority: number,
): readonly ClassLoad[] {
  const seen = [...waitQueue.waiting(), ...arrivals.rates()].filter(([name]) => name === model);
  const priorities = new Set([priority, ...seen.map(([, , other]) => other)]);
  return [...priorities].map((other) => ({
    priority: other,
    waiting: waitQueue.count(model, other),
    perSecond: arrivals.rate(model, other),
  }));
}

/**
 * Returns the group in which a slot was taken; undefined if none has free capacity for this daemon.
 */
export function takeSlot(
  deps: SlotDeps,
  { promptTokens, priority, slackMs, isLate, ...needs }: SlotRequest,
): ServingGroup | undefined {
  const { ctx, groupRegistry, daemons } = deps;
  const { model } = needs;
  const admission = groupRegistry.admit(model, groupRegistry.candidates(needs), {
    ...{ priority, slackMs, isLate },
    localClasses: localClasses(deps, model, priority),
  });
  const eligible = listEligible(
    admission.groups,
    (head) => (admission.usesGrants ? groupRegistry.grantedSlots(head) : 0),
    promptTokens,
  );
  const { zone } = ctx.settings;
  const random = (): number => ctx.random.next();
  const found =
    daemons() > MAX_LEAST_LOADED_DAEMONS || !admission.usesGrants
      ? pickWeightedGroup(eligible, zone, random)
      : chooseGroup(eligible, promptTokens, zone, random());
  const group = found && groupRegistry.find(found.head);
  if (!group) return undefined;
  // The slot is taken in the same tick, so that the next request in the queue sees it as taken.
  admission.noteSent();
  groupRegistry.noteSent(group.head.id, promptTokens, admission.usesGrants);
  return group;
}

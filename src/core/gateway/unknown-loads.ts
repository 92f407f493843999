/**
 * Limits what a daemon sends to a model's groups while it knows nothing of the other daemons' requests.
 *
 * Load pattern: all daemons restart at once. The callers of the last seconds return together, while no daemon
 * has received any loads yet, so that each sees all groups as empty. If each filled them, several times as
 * many requests as there are slots would queue in the engines, and nearly all would be late, also those that
 * arrive seconds afterwards. With its part of the slots a daemon keeps the rest in its own queue, where a
 * request that can still be on time goes first.
 */

import type { GroupCandidate } from './balance';

/**
 * Slots of the groups that this daemon may use, rounded by `chance` in [0, 1): with random values the parts
 * of all daemons add up to the slots on average.
 */
export function slotsWithoutLoads(
  groups: readonly Pick<GroupCandidate, 'batchSize'>[],
  daemons: number,
  chance: number,
): number {
  const slots = groups.reduce((sum, { batchSize }) => sum + batchSize, 0);
  return Math.floor(slots / Math.max(1, daemons) + chance);
}

/** Whether the daemon has fewer requests in the groups than it may. */
export function hasSlotWithoutLoads(
  groups: readonly Pick<GroupCandidate, 'batchSize' | 'running'>[],
  daemons: number,
  chance: number,
): boolean {
  const running = groups.reduce((sum, group) => sum + group.running, 0);
  return running < slotsWithoutLoads(groups, daemons, chance);
}

/**
 * Servers in zones that the operator evacuated.
 *
 * Load pattern: a model loses a third of its groups or all of them at once, and gets them back at once when
 * the evacuation ends. Its load then needs groups elsewhere, while those of the zone must be left as they are:
 * ended ones would have to load weights again afterwards, and no server of the zone may be sent anything.
 */

import type { ReplicaGroup } from '../groups';
import type { BackendServer } from '../types';
import type { Draft } from './state';

/** Whether the server must be given no order because its zone is evacuated. */
export function isEvacuated({ view }: Draft, { zone }: BackendServer): boolean {
  return view.evacuated?.has(zone) ?? false;
}

/** The groups without a member in an evacuated zone. */
export function excludeEvacuated(
  draft: Draft,
  groups: readonly ReplicaGroup[],
): readonly ReplicaGroup[] {
  return groups.filter(({ members }) => !members.some((server) => isEvacuated(draft, server)));
}

/**
 * Drops the groups being formed in evacuated zones. Their members go on to load what they were ordered to;
 * after the evacuation a group that has become complete is opened like one of an earlier leader.
 */
export function dropEvacuatedFormations(draft: Draft): void {
  for (const [group, { members }] of draft.formations) {
    if (members.some((server) => isEvacuated(draft, server))) draft.formations.delete(group);
  }
}

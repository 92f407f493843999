/**
 * Decides whether a new leader keeps an open group of which some members are not listed.
 *
 * Load pattern: servers lose their connection to the platform's registry but keep serving, and all daemons
 * restart meanwhile. The new leader finds groups with unlisted members and cannot know whether these are
 * alive. Ending all of them would interrupt every stream and leave a fraction of the slots for the callers
 * who return at that moment. A group that lost a member stands still, so its streams tell.
 */

import type { GroupId } from '../../ids';
import type { ReplicaGroup } from '../groups';
import type { Draft, FormingState } from './state';

/** Records which open groups this leader has seen with all members listed. */
export function noteFoundGroups(
  { foundGroups }: Draft,
  groups: readonly ReplicaGroup[],
  isListed: (group: ReplicaGroup) => boolean,
): void {
  const open = groups.filter(({ head }) => head?.membership?.state === 'open');
  const ids = new Set(open.map(({ id }) => id));
  for (const id of foundGroups.keys()) if (!ids.has(id)) foundGroups.delete(id);
  for (const group of open) {
    if (isListed(group)) foundGroups.set(group.id, 'complete');
    else if (!foundGroups.has(group.id)) foundGroups.set(group.id, 'incomplete');
  }
}

/** Whether the unlisted members of the group are considered lost. */
export function areUnlistedLost({ foundGroups }: Draft, { id }: ReplicaGroup): boolean {
  return foundGroups.get(id) !== 'incomplete';
}

/** Records that the streams of a group have stalled. */
export function noteStalled(state: FormingState, group: GroupId): FormingState {
  if (state.foundGroups.get(group) !== 'incomplete') return state;
  return { ...state, foundGroups: new Map(state.foundGroups).set(group, 'stalled') };
}

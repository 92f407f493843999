/** Restricts which groups requests may use while some requests are suspected of crashing groups. */

import type { RoutableGroup } from '../groups/types';
import type { Fingerprint } from '../ids';
import { compareText } from '../../utils/common';
import { hashText } from '../routing/hash';
import { jointSuspects, probedGroups, countRunsOn, struckDomains, suspicionOf } from './quarantine';
import type { QuarantineContext, QuarantineState } from './quarantine-types';

/** What isolation needs to know of a group. */
export type IsolatedGroup = Pick<RoutableGroup, 'id' | 'domain'>;

/** The groups for which `isPreferred` holds, or all if it holds for none. */
function preferGroups<G extends IsolatedGroup>(
  groups: readonly G[],
  isPreferred: (group: G) => boolean,
): readonly G[] {
  const preferred = groups.filter(isPreferred);
  return preferred.length > 0 ? preferred : groups;
}

/**
 * The group that a suspect gets to itself. Each of the joint suspects takes the group at its hash,
 * or the next one not taken. So daemons agree without communication, and a daemon that lacks some
 * suspects assigns few of the others wrongly.
 */
function assignedGroup<G extends IsolatedGroup>(
  suspects: readonly Fingerprint[],
  fingerprint: Fingerprint,
  groups: readonly G[],
): G | undefined {
  const ordered = groups.toSorted((a, b) => compareText(a.id, b.id));
  const taken = new Set<number>();
  for (const suspect of suspects) {
    if (taken.size === ordered.length) taken.clear();
    let index = hashText(suspect) % ordered.length;
    while (taken.has(index)) index = (index + 1) % ordered.length;
    if (suspect === fingerprint) return ordered[index];
    taken.add(index);
  }
  return undefined;
}

/**
 * Groups for a suspect, in a domain where it has no strike if possible: a group of its own if it is
 * one of several joint suspects, else the groups with the fewest runs and no suspect.
 */
function groupsForSuspect<G extends IsolatedGroup>(
  state: QuarantineState,
  fingerprint: Fingerprint,
  groups: readonly G[],
  ctx: QuarantineContext,
): readonly G[] {
  const struck = struckDomains(state, fingerprint, ctx);
  const unstruck = preferGroups(groups, ({ domain }) => !struck.has(domain));
  const suspects = jointSuspects(state, fingerprint);
  if (unstruck.length > 0 && suspects.length > 1) {
    const assigned = assignedGroup(suspects, fingerprint, unstruck);
    return assigned === undefined ? unstruck : [assigned];
  }
  const probed = probedGroups(state);
  const withoutSuspect = preferGroups(unstruck, ({ id }) => !probed.has(id));
  const fewestRuns = Math.min(...withoutSuspect.map(({ id }) => countRunsOn(state, id)));
  return withoutSuspect.filter(({ id }) => countRunsOn(state, id) === fewestRuns);
}

/** The groups that the request may use; never empty unless `groups` is. */
export function allowedGroups<G extends IsolatedGroup>(
  state: QuarantineState,
  fingerprint: Fingerprint,
  groups: readonly G[],
  ctx: QuarantineContext,
): readonly G[] {
  if (suspicionOf(state, fingerprint, ctx) !== 'clear') {
    return groupsForSuspect(state, fingerprint, groups, ctx);
  }
  const probed = probedGroups(state);
  return probed.size === 0 ? groups : preferGroups(groups, ({ id }) => !probed.has(id));
}

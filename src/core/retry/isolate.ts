/** Where requests may go while some are under suspicion of crashing groups. */

import type { RoutableGroup } from '../groups/types';
import type { Fingerprint } from '../ids';
import { compareText } from '../../utils/common';
import { hashText } from '../routing/hash';
import { jointSuspects, probedGroups, countRunsOn, struckDomains, suspicionOf } from './quarantine';
import type { QuarantineContext, QuarantineState } from './quarantine-types';

/** The groups for which `fits` holds, or all if it holds for none. */
function preferring(
  groups: readonly RoutableGroup[],
  fits: (group: RoutableGroup) => boolean,
): readonly RoutableGroup[] {
  const fitting = groups.filter(fits);
  return fitting.length > 0 ? fitting : groups;
}

/**
 * The group that a suspect gets for itself. Each of those blamed together takes the group that its
 * hash points to, or the next that is free; so daemons agree on it without a word, and one that has
 * not heard of some suspects yet is wrong about few others.
 */
function ownGroup(
  suspects: readonly Fingerprint[],
  fingerprint: Fingerprint,
  groups: readonly RoutableGroup[],
): RoutableGroup | undefined {
  const ordered = groups.toSorted((a, b) => compareText(a.id, b.id));
  const taken = new Set<number>();
  for (const suspect of suspects) {
    if (taken.size === ordered.length) taken.clear();
    let place = hashText(suspect) % ordered.length;
    while (taken.has(place)) place = (place + 1) % ordered.length;
    if (suspect === fingerprint) return ordered[place];
    taken.add(place);
  }
  return undefined;
}

/**
 * For a suspect: a domain that it has not struck; there a group of its own if it is one of several,
 * else the quietest group without a suspect.
 */
function openToSuspect(
  state: QuarantineState,
  fingerprint: Fingerprint,
  groups: readonly RoutableGroup[],
  ctx: QuarantineContext,
): readonly RoutableGroup[] {
  const struck = struckDomains(state, fingerprint, ctx);
  const elsewhere = preferring(groups, ({ domain }) => !struck.has(domain));
  const suspects = jointSuspects(state, fingerprint);
  if (elsewhere.length > 0 && suspects.length > 1) {
    const own = ownGroup(suspects, fingerprint, elsewhere);
    return own === undefined ? elsewhere : [own];
  }
  const probed = probedGroups(state);
  const alone = preferring(elsewhere, ({ id }) => !probed.has(id));
  const least = Math.min(...alone.map(({ id }) => countRunsOn(state, id)));
  return alone.filter(({ id }) => countRunsOn(state, id) === least);
}

/** Of the groups, those to which the request may go; never none, if there is any. */
export function allowedGroups(
  state: QuarantineState,
  fingerprint: Fingerprint,
  groups: readonly RoutableGroup[],
  ctx: QuarantineContext,
): readonly RoutableGroup[] {
  if (suspicionOf(state, fingerprint, ctx) !== 'clear') {
    return openToSuspect(state, fingerprint, groups, ctx);
  }
  const probed = probedGroups(state);
  return probed.size === 0 ? groups : preferring(groups, ({ id }) => !probed.has(id));
}

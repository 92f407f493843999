/** Starts to form a group: assigns its id and epoch, and a deadline by which it must be complete. */

import { brandAs, later } from '../../ids';
import type { Epoch, GroupId } from '../../ids';
import type { BackendServer, Membership, ModelSpec } from '../types';
import { epochOf } from './epochs';
import { joinCost } from './form';
import { noteLoads } from './loads';
import type { Draft } from './state';

/** Id prefix of standby groups: one warm server each, which never serves. */
export const STANDBY_PREFIX = 'standby-';
/** Id prefix of groups that serve. */
export const GROUP_PREFIX = 'group-';

/** Whether the group is a warm spare. */
export function isStandby(group: GroupId): boolean {
  return group.startsWith(STANDBY_PREFIX);
}

const PLANNED_NAME = new RegExp(`^(?:${GROUP_PREFIX}|${STANDBY_PREFIX})(\\d+)$`);

/**
 * Whether the membership may be one of a group that a planner formed, which names each after its epoch, or of one
 * with a name of another kind. State is kept by group id, so one server's wrong epoch must not stand for all members.
 */
export function isConsistent({ group, epoch }: Membership): boolean {
  const named = PLANNED_NAME.exec(group)?.[1];
  return named === undefined || named === String(epoch);
}

function nextEpoch(draft: Draft): Epoch {
  draft.epochCount += 1;
  return epochOf(draft.view.fencing, draft.epochCount);
}

/** Adds a formation of the model with these members, and records the weight loads that it starts. */
export function startFormation(
  draft: Draft,
  model: ModelSpec,
  members: readonly BackendServer[],
  prefix: string,
): void {
  const epoch = nextEpoch(draft);
  const group = brandAs<GroupId>(`${prefix}${epoch}`);
  const slowestJoinMs = Math.max(...members.map((server) => joinCost(draft, server, model).ms));
  noteLoads(
    draft,
    members.filter((server) => joinCost(draft, server, model).isLoad),
    model,
  );
  // Loads that share the weight store's bandwidth take longer than published.
  const loadSlowdown = Math.max(1, draft.loads.length / draft.view.engine.loadsAtOnce);
  draft.formations.set(group, {
    group,
    epoch,
    model: model.name,
    members,
    deadline: later(draft.now, slowestJoinMs * loadSlowdown + draft.settings.joinSlackMs),
    isStandby: prefix === STANDBY_PREFIX,
  });
}

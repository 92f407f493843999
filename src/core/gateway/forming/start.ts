/** Begins to form a group: gives it a name and an epoch, and a time by which it must be whole. */

import { brandAs, later } from '../../ids';
import type { Epoch, GroupId } from '../../ids';
import type { BackendServer, ModelSpec } from '../types';
import { joinCost } from './form';
import { noteLoads } from './loads';
import type { Draft } from './state';

/** Groups of this name are one warm server each and never serve. */
export const STANDBY_PREFIX = 'standby-';
export const GROUP_PREFIX = 'group-';
/** Epochs that one term of a lease may give out; its holder then takes the lease anew. */
export const EPOCHS_PER_LEASE = 65_536;

export function isStandby(group: GroupId): boolean {
  return group.startsWith(STANDBY_PREFIX);
}

function nextEpoch(draft: Draft): Epoch {
  draft.epochCount += 1;
  return brandAs<Epoch>(draft.view.fencing * EPOCHS_PER_LEASE + draft.epochCount);
}

export function startFormation(
  draft: Draft,
  model: ModelSpec,
  members: readonly BackendServer[],
  prefix: string,
): void {
  const epoch = nextEpoch(draft);
  const group = brandAs<GroupId>(`${prefix}${epoch}`);
  const slowest = Math.max(...members.map((server) => joinCost(draft, server, model).ms));
  noteLoads(
    draft,
    members.filter((server) => joinCost(draft, server, model).isLoad),
    model,
  );
  // Loads that share the weight store's rate take longer than their figure.
  const crowd = Math.max(1, draft.loads.length / draft.view.engine.loadsAtOnce);
  draft.formations.set(group, {
    group,
    epoch,
    model: model.name,
    members,
    deadline: later(draft.now, slowest * crowd + draft.settings.joinSlackMs),
    isStandby: prefix === STANDBY_PREFIX,
  });
}

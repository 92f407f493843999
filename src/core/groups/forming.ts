/** Filling open slots with new groups. */

import { later } from '../ids';
import type { Epoch, GroupId, MonoTime } from '../ids';
import { CHOOSE_POLICIES, SPARE_POLICIES } from './policies';
import type { DomainState, GroupTransaction, ModelPlan, OpenSlot } from './domain-types';
import { groupsOf, isWanted, leavingMembers, memberOf, unresponsiveMembers } from './health';
import { formGroup, slotKey } from './rows';

/** A soft reserve is given up only after the domains that need not do so had their turn. */
const SOFT_RESERVE_TURNS = 4;

/** The transaction that forms the next group, if a slot and enough free instances are there. */
export function planForming(state: DomainState, now: MonoTime): GroupTransaction | undefined {
  if (state.darkSince !== undefined) return undefined;
  for (const slot of byWorth(state)) {
    const tx = formIn(state, slot, now);
    if (tx) return tx;
  }
  return undefined;
}

function byWorth(state: DomainState): readonly OpenSlot[] {
  const worth = (slot: OpenSlot) => state.models[slot.model]?.weights.downtime ?? 0;
  return [...state.openSlots].sort((a, b) => worth(b) - worth(a));
}

function formIn(state: DomainState, slot: OpenSlot, now: MonoTime): GroupTransaction | undefined {
  const plan = state.models[slot.model];
  if (!plan || !state.lease) return undefined;
  const free = CHOOSE_POLICIES[plan.policies.choose](state, plan, now);
  const left = free.length - plan.membersPerReplica - neededByGroups(state, now);
  const reserve = SPARE_POLICIES[plan.policies.spares];
  if (left < (reserve.isHard ? reserve.count : 0)) return undefined;
  const turns = slot.rank + (left < reserve.count ? SOFT_RESERVE_TURNS : 0);
  const since = state.openSince[slotKey(slot.model, slot.slot)] ?? now;
  if (now < later(since, turns * state.settings.slotRankDelayMs)) return undefined;
  const members = free.slice(0, plan.membersPerReplica).map((id) => memberOf(state, id));
  return formGroup(state, newRow(state, plan, slot, members), state.lease.fenceVersion);
}

/** Free instances that groups with missing or leaving members have first claim to. */
function neededByGroups(state: DomainState, now: MonoTime): number {
  const rows = groupsOf(state).filter((row) => row.phase !== 'draining' && isWanted(state, row));
  return rows.reduce(
    (sum, row) =>
      sum + new Set([...unresponsiveMembers(state, row, now), ...leavingMembers(state, row)]).size,
    0,
  );
}

function newRow(
  state: DomainState,
  plan: ModelPlan,
  slot: OpenSlot,
  members: readonly ReturnType<typeof memberOf>[],
) {
  const fencing = state.lease?.fencing ?? 0;
  return {
    // Unique: the fencing number is this holder's own, and `seq` grows with each transaction.
    id: `${state.domain}.${fencing}.${state.seq}` as GroupId,
    model: plan.id,
    domain: state.domain,
    epoch: 1 as Epoch,
    fencing: fencing as NonNullable<DomainState['lease']>['fencing'],
    phase: 'forming' as const,
    members,
    slot: slot.slot,
  };
}

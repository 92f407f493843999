/** Plans new groups for open replica slots. */

import { later } from '../ids';
import type { Epoch, GroupId, MonoTime } from '../ids';
import { CHOOSE_POLICIES, SPARE_POLICIES } from './policies';
import type { DomainState, GroupTransaction, ModelPlan, OpenSlot } from './domain-types';
import { groupsOf, isWanted, leavingMembers, memberOf, unresponsiveMembers } from './health';
import { formGroup, slotKey } from './rows';

/** A domain uses its soft reserve this many ranks later, after domains that need not use theirs. */
const SOFT_RESERVE_RANKS = 4;

/** The transaction that forms the next group, if a slot is open and enough instances are free. */
export function planForming(state: DomainState, now: MonoTime): GroupTransaction | undefined {
  if (state.downSince !== undefined) return undefined;
  for (const slot of byDowntimeCost(state)) {
    const tx = formGroupForSlot(state, slot, now);
    if (tx) return tx;
  }
  return undefined;
}

function byDowntimeCost(state: DomainState): readonly OpenSlot[] {
  const costOf = (slot: OpenSlot) => state.models[slot.model]?.weights.downtime ?? 0;
  return [...state.openSlots].sort((a, b) => costOf(b) - costOf(a));
}

function formGroupForSlot(
  state: DomainState,
  slot: OpenSlot,
  now: MonoTime,
): GroupTransaction | undefined {
  const plan = state.models[slot.model];
  if (!plan || !state.lease) return undefined;
  const free = CHOOSE_POLICIES[plan.policies.choose](state, plan, now);
  const remaining = free.length - plan.membersPerReplica - countReplacements(state, now);
  const reserve = SPARE_POLICIES[plan.policies.spares];
  if (remaining < (reserve.isHard ? reserve.count : 0)) return undefined;
  const rank = slot.rank + (remaining < reserve.count ? SOFT_RESERVE_RANKS : 0);
  const since = state.openSince[slotKey(slot.model, slot.slot)] ?? now;
  if (now < later(since, rank * state.settings.slotRankDelayMs)) return undefined;
  const members = free.slice(0, plan.membersPerReplica).map((id) => memberOf(state, id));
  return formGroup(state, newRow(state, plan, slot, members), state.lease.fenceVersion);
}

/** Number of free instances reserved to replace unresponsive and leaving members of groups. */
function countReplacements(state: DomainState, now: MonoTime): number {
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
    // Unique: the fencing number belongs to this holder, and `seq` grows with each transaction.
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

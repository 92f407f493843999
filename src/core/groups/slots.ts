/** Replica slots without a group, and the order in which domains should try to fill them. */

import type { DomainId, InstanceId, ModelId } from '../ids';
import type { ModelPlan, OpenSlot } from './domain-types';
import { hashCandidates, rankOf } from './rank';
import { slotKey } from './rows';
import type { GroupRow, InstanceInfo } from './types';

/** Input of `openSlots`: one domain, and the groups and instances of all. */
export interface SlotsInput {
  readonly domain: DomainId;
  readonly models: Readonly<Record<ModelId, ModelPlan>>;
  /** All groups of all domains, as last read. */
  readonly groups: readonly GroupRow[];
  /** All engine instances of all domains, as last listed. */
  readonly instances: readonly InstanceInfo[];
}

/** By domain: number of instances that are in no group and not leaving. */
export function countFreeInstances(input: SlotsInput): ReadonlyMap<DomainId, number> {
  const grouped = new Set<InstanceId>();
  for (const { members } of input.groups) {
    for (const { instance } of members) grouped.add(instance);
  }
  const free = new Map<DomainId, number>();
  for (const { id, domain, leaving } of input.instances) {
    if (!leaving && !grouped.has(id)) free.set(domain, (free.get(domain) ?? 0) + 1);
  }
  return free;
}

/**
 * The open slots that this domain has enough free instances for. Its rank for each is its position
 * in the rendezvous order of all such domains, so that holders seldom race for a slot.
 */
export function openSlots(input: SlotsInput): readonly OpenSlot[] {
  const filled = new Set<string>();
  for (const { model, slot } of input.groups) {
    if (slot !== undefined) filled.add(slotKey(model, slot));
  }
  const free = countFreeInstances(input);
  return Object.values<ModelPlan>(input.models).flatMap((plan) =>
    openSlotsOf(plan, filled, free, input),
  );
}

function openSlotsOf(
  plan: ModelPlan,
  filled: ReadonlySet<string>,
  free: ReadonlyMap<DomainId, number>,
  input: SlotsInput,
): readonly OpenSlot[] {
  if ((free.get(input.domain) ?? 0) < plan.membersPerReplica) return [];
  const eligible = [...free].filter(([, count]) => count >= plan.membersPerReplica);
  const candidates = hashCandidates(eligible.map(([id]) => ({ id })));
  const slots = Array.from({ length: plan.replicas }, (_, slot) => slot);
  return slots
    .filter((slot) => !filled.has(slotKey(plan.id, slot)))
    .map((slot) => {
      const rank = rankOf(slotKey(plan.id, slot), input.domain, candidates);
      return { model: plan.id, slot, rank };
    });
}

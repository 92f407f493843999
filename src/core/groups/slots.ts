/** Which replicas no group fills, and in which order the domains should try to fill them. */

import type { DomainId, InstanceId, ModelId } from '../ids';
import type { ModelPlan, OpenSlot } from './domain-types';
import { hashCandidates, rankOf } from './rank';
import { slotKey } from './rows';
import type { GroupRow, InstanceInfo } from './types';

export interface SlotsInput {
  readonly domain: DomainId;
  readonly models: Readonly<Record<ModelId, ModelPlan>>;
  /** All groups of all domains, as last read. */
  readonly groups: readonly GroupRow[];
  /** All engine instances of all domains, as last listed. */
  readonly instances: readonly InstanceInfo[];
}

/** Live instances in no group, by domain. */
export function countFreeInstances(input: SlotsInput): ReadonlyMap<DomainId, number> {
  const held = new Set<InstanceId>();
  for (const { members } of input.groups) {
    for (const { instance } of members) held.add(instance);
  }
  const free = new Map<DomainId, number>();
  for (const { id, domain, leaving } of input.instances) {
    if (!leaving && !held.has(id)) free.set(domain, (free.get(domain) ?? 0) + 1);
  }
  return free;
}

/**
 * The open slots that this domain has the instances for. Its rank for each is its place in the
 * rendezvous order of the domains that have as much, so that holders seldom race.
 */
export function openSlots(input: SlotsInput): readonly OpenSlot[] {
  const taken = new Set<string>();
  for (const { model, slot } of input.groups) {
    if (slot !== undefined) taken.add(slotKey(model, slot));
  }
  const free = countFreeInstances(input);
  return Object.values<ModelPlan>(input.models).flatMap((plan) => openOf(plan, taken, free, input));
}

function openOf(
  plan: ModelPlan,
  taken: ReadonlySet<string>,
  free: ReadonlyMap<DomainId, number>,
  input: SlotsInput,
): readonly OpenSlot[] {
  if ((free.get(input.domain) ?? 0) < plan.membersPerReplica) return [];
  const able = [...free].filter(([, count]) => count >= plan.membersPerReplica);
  const candidates = hashCandidates(able.map(([id]) => ({ id })));
  const slots = Array.from({ length: plan.replicas }, (_, slot) => slot);
  return slots
    .filter((slot) => !taken.has(slotKey(plan.id, slot)))
    .map((slot) => {
      const rank = rankOf(slotKey(plan.id, slot), input.domain, candidates);
      return { model: plan.id, slot, rank };
    });
}

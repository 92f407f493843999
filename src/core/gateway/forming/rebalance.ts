/**
 * Moves servers between models: ends groups of one that has far more than its work fills, in a domain
 * where their servers then make up a group of one whose requests wait.
 */

import { later } from '../../ids';
import type { DomainId, ModelId } from '../../ids';
import type { ReplicaGroup } from '../groups';
import { isStandby } from './names';
import { rankByNeed, WARM_NEED_SHARE } from './need';
import type { ModelNeed } from './need';
import { startRetirement } from './retire';
import type { Draft } from './state';

/** A model is helped from this much work for each of its groups on: a tenth of it waits. */
const OVERFULL = 1.1;
/** Groups are taken from a model only as long as the others are filled no further than this. */
const ROOMY = 0.6;

/** Groups of one domain that are to be ended. */
interface Move {
  readonly groups: readonly ReplicaGroup[];
}

function openGroups(draft: Draft, groups: readonly ReplicaGroup[], model: ModelId): ReplicaGroup[] {
  return groups.filter(
    ({ id, head, model: own }) =>
      own === model &&
      head?.membership?.state === 'open' &&
      !isStandby(id) &&
      !draft.retirements.has(id),
  );
}

/** Whether the giver has room without `count` groups, and would not at once get them back. */
function maySpare(giver: ModelNeed, taker: ModelNeed, count: number): boolean {
  const left = giver.groups - count;
  if (left < 1 || giver.work > ROOMY * left) return false;
  return giver.work / (left + 1) < WARM_NEED_SHARE * taker.need;
}

/** The fewest groups of the giver in one domain whose servers, with the free ones, the taker needs. */
function findMove(
  draft: Draft,
  groups: readonly ReplicaGroup[],
  free: ReadonlyMap<DomainId, readonly unknown[]>,
  giver: ModelNeed,
  taker: ModelNeed,
): Move | undefined {
  const byDomain = new Map<DomainId, ReplicaGroup[]>();
  for (const group of openGroups(draft, groups, giver.model.name)) {
    if (group.domain === undefined) continue;
    byDomain.set(group.domain, [...(byDomain.get(group.domain) ?? []), group]);
  }
  const moves = [...byDomain].flatMap(([domain, own]): Move[] => {
    const lacking = taker.model.size - (free.get(domain)?.length ?? 0);
    const count = Math.ceil(lacking / giver.model.size);
    if (count < 1 || count > own.length || !maySpare(giver, taker, count)) return [];
    return [{ groups: own.slice(0, count) }];
  });
  return moves.sort((a, b) => a.groups.length - b.groups.length)[0];
}

/** Whether servers are on their way to the model, or were moved a short time ago. */
function isBeingHelped(draft: Draft, { model }: ModelNeed): boolean {
  const { movedAt, settings, now } = draft;
  if (movedAt !== undefined && now < later(movedAt, settings.moveRestMs)) return true;
  return [...draft.formations.values()].some(
    (formation) => formation.model === model.name && !formation.isStandby,
  );
}

/** Ends groups of one model in favour of another, where the difference is worth loads of weights. */
export function rebalance(
  draft: Draft,
  groups: readonly ReplicaGroup[],
  counts: ReadonlyMap<ModelId, number>,
  free: ReadonlyMap<DomainId, readonly unknown[]>,
): void {
  if (!draft.view.hasTraffic || !draft.view.demand) return;
  const needs = rankByNeed(draft, counts);
  const [taker, ...others] = needs;
  if (!taker || taker.work <= OVERFULL * taker.groups || isBeingHelped(draft, taker)) return;
  for (const giver of others.reverse()) {
    const move = findMove(draft, groups, free, giver, taker);
    if (!move) continue;
    draft.movedAt = draft.now;
    for (const { id, epoch, head, members } of move.groups) {
      startRetirement(draft, { group: id, epoch, head, members }, 'finish');
    }
    return;
  }
}

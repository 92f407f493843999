/** Ranks models by their need for another group: by offered load or, while that is unknown, by share. */

import type { ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ModelSpec } from '../types';
import { lossRate } from './reserve';
import { isEnabled } from './state';
import type { Draft } from './state';
import { isContended, valueOfGroup } from './worth';
import type { Supply } from './worth';

/** How much a model needs one more group. */
export interface ModelNeed {
  readonly model: ModelSpec;
  /** Offered load, in groups that it would keep busy. */
  readonly work: number;
  /** Recent peak of the load, likewise; 0 if unknown. */
  readonly peak: number;
  /** Groups that serve or are being formed. */
  readonly groups: number;
  /** Offered load per group if it had one more. */
  readonly need: number;
  /** Worth of one more group per server of it, while models compete for servers; else 0. */
  readonly value: number;
}

/** Offered load per group above which requests have to wait. */
const SHORTAGE_LOAD = 0.9;

/** The model's share in units of groups: `share` is in servers, so it is divided by the group size. */
function groupShareOf({ share, size }: ModelSpec): number {
  return share / size;
}

/**
 * Offered load of a model. Without groups only its waiting requests are visible, and most of those
 * leave unserved, so it is assumed to have at least its published share of the total load.
 */
function offeredLoadOf({ view }: Draft, model: ModelSpec, groups: number): number {
  const { offeredLoad, engine } = view;
  if (!offeredLoad) return groupShareOf(model);
  const own = offeredLoad.get(model.name) ?? 0;
  if (groups > 0) return own;
  const totalLoad = [...offeredLoad.values()].reduce((sum, work) => sum + work, 0);
  const totalShare = engine.models.reduce((sum, each) => sum + groupShareOf(each), 0);
  return Math.max(own, (totalLoad * groupShareOf(model)) / totalShare);
}

/**
 * Demand and groups of all models, if the demand is known and models compete for servers. A model without
 * groups goes first whatever its demand, which cannot be measured then.
 */
export function contendedSupply(
  draft: Draft,
  groups: ReadonlyMap<ModelId, number>,
): Supply | undefined {
  const { demand, engine, hasTraffic } = draft.view;
  if (!demand || !hasTraffic || !isEnabled(draft, 'worth')) return undefined;
  const supply = { models: engine.models, demand, groups };
  const hasAll = engine.models.every(({ name }) => (groups.get(name) ?? 0) > 0);
  return hasAll && isContended(supply) ? supply : undefined;
}

/** All models, the one that most needs another group first. */
export function rankByNeed(
  draft: Draft,
  counts: ReadonlyMap<ModelId, number>,
): readonly ModelNeed[] {
  const supply = contendedSupply(draft, counts);
  const needs = draft.view.engine.models.map((model): ModelNeed => {
    const groups = counts.get(model.name) ?? 0;
    const work = offeredLoadOf(draft, model, groups);
    const peak = draft.view.demand?.get(model.name)?.peakLoad ?? 0;
    const value = supply ? valueOfGroup(supply, model) / model.size : 0;
    return { model, work, peak, groups, need: work / (groups + 1), value };
  });
  return needs.sort(
    (a, b) =>
      b.value - a.value ||
      b.need - a.need ||
      b.model.size - a.model.size ||
      compareText(a.model.name, b.model.name),
  );
}

/**
 * Offered load per group above which another group is worth weight loads or reserved servers. Below it
 * a burst of two thirds more still finds free slots (1 / 0.6).
 */
const WORTHWHILE_LOAD = 0.6;

/** Worth per server from which a group is worth weight loads: a group of eight that is used 0.14 of the time. */
const MIN_VALUE = 0.05;

/** Whether another group of the model would be used; assumed while the offered load is unknown. */
export function isGroupWorthwhile(draft: Draft, { work, groups, value }: ModelNeed): boolean {
  if (!isEnabled(draft, 'wanted') || value > MIN_VALUE) return true;
  return draft.view.offeredLoad === undefined || groups === 0 || work > WORTHWHILE_LOAD * groups;
}

/**
 * Whether a group that needs no load is worth the domain's spares while models compete for servers. A larger
 * model loses a whole group with each member, and without a spare it is missing for the time of a load.
 */
export function isWorthReserve(
  draft: Draft,
  { model, value }: ModelNeed,
  needs: readonly ModelNeed[],
  servers: number,
): boolean {
  if (needs.every((need) => need.value === 0)) return true;
  const spared = needs
    .filter((need) => need.model.size > model.size)
    .map((need) => {
      const expectedLosses = lossRate(draft) * servers * need.model.loadMs;
      return need.value * need.model.size * Math.min(1, expectedLosses);
    });
  return value * model.size > Math.max(0, ...spared);
}

/** Whether the offered load is known and exceeds what the model's groups can take. */
export function isUnderprovisioned({ view }: Draft, { work, groups }: ModelNeed): boolean {
  return view.offeredLoad !== undefined && work > SHORTAGE_LOAD * groups;
}

/** Ranks models by their need for another group: by offered load or, while that is unknown, by share. */

import type { ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ModelSpec } from '../types';
import { isEnabled } from './state';
import type { Draft } from './state';

/** How much a model needs one more group. */
export interface ModelNeed {
  readonly model: ModelSpec;
  /** Offered load, in groups that it would keep busy. */
  readonly work: number;
  /** Groups that serve or are being formed. */
  readonly groups: number;
  /** Offered load per group if it had one more. */
  readonly need: number;
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

/** All models, the one that most needs another group first. */
export function rankByNeed(
  draft: Draft,
  counts: ReadonlyMap<ModelId, number>,
): readonly ModelNeed[] {
  const needs = draft.view.engine.models.map((model): ModelNeed => {
    const groups = counts.get(model.name) ?? 0;
    const work = offeredLoadOf(draft, model, groups);
    return { model, work, groups, need: work / (groups + 1) };
  });
  return needs.sort(
    (a, b) =>
      b.need - a.need || b.model.size - a.model.size || compareText(a.model.name, b.model.name),
  );
}

/**
 * Offered load per group above which another group is worth weight loads or reserved servers. Below it
 * a burst of two thirds more still finds free slots (1 / 0.6).
 */
const WORTHWHILE_LOAD = 0.6;

/** Whether another group of the model would be used; assumed while the offered load is unknown. */
export function isGroupWorthwhile(draft: Draft, { work, groups }: ModelNeed): boolean {
  if (!isEnabled(draft, 'wanted')) return true;
  return draft.view.offeredLoad === undefined || groups === 0 || work > WORTHWHILE_LOAD * groups;
}

/** Whether the offered load is known and exceeds what the model's groups can take. */
export function isUnderprovisioned({ view }: Draft, { work, groups }: ModelNeed): boolean {
  return view.offeredLoad !== undefined && work > SHORTAGE_LOAD * groups;
}

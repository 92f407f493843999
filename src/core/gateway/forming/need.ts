/** Which model lacks groups, by its work or, before anything is known of that, by its share. */

import type { ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ModelSpec } from '../types';
import { isEnabled } from './state';
import type { Draft } from './state';

/** How much a model needs one more group. */
export interface ModelNeed {
  readonly model: ModelSpec;
  /** Groups that it would keep busy. */
  readonly work: number;
  /** Groups that serve or soon will. */
  readonly groups: number;
  /** Work for each group, had it one more. */
  readonly need: number;
}

/** Above this much work for each group, requests wait. */
const SHORT_AT = 0.9;

/** `share` counts servers at work, so that a group's part is that share over its size. */
function partOf({ share, size }: ModelSpec): number {
  return share / size;
}

/**
 * Work of a model. Where it has no groups, nothing but the requests that wait shows its work, and most
 * of these leave: it is then taken to have at least its published part of all work.
 */
function workOf({ view }: Draft, model: ModelSpec, groups: number): number {
  const { offeredLoad: demand, engine } = view;
  if (!demand) return partOf(model);
  const own = demand.get(model.name) ?? 0;
  if (groups > 0) return own;
  const all = [...demand.values()].reduce((sum, work) => sum + work, 0);
  const parts = engine.models.reduce((sum, each) => sum + partOf(each), 0);
  return Math.max(own, (all * partOf(model)) / parts);
}

/** All models, the one that needs a further group most first. */
export function rankByNeed(
  draft: Draft,
  counts: ReadonlyMap<ModelId, number>,
): readonly ModelNeed[] {
  const needs = draft.view.engine.models.map((model): ModelNeed => {
    const groups = counts.get(model.name) ?? 0;
    const work = workOf(draft, model, groups);
    return { model, work, groups, need: work / (groups + 1) };
  });
  return needs.sort(
    (a, b) =>
      b.need - a.need || b.model.size - a.model.size || compareText(a.model.name, b.model.name),
  );
}

/**
 * Work for each group above which a further one is worth loads of weights, or servers that are kept for
 * losses. Below it a burst of two thirds more still finds places (1 / 0.6).
 */
const WANTED_AT = 0.6;

/** Whether a further group of the model would be put to use; so it is as long as no work is known. */
export function isGroupWorthwhile(draft: Draft, { work, groups }: ModelNeed): boolean {
  if (!isEnabled(draft, 'wanted')) return true;
  return draft.view.offeredLoad === undefined || groups === 0 || work > WANTED_AT * groups;
}

/** Whether callers are served and the model has fewer groups than its work fills. */
export function isUnderprovisioned({ view }: Draft, { work, groups }: ModelNeed): boolean {
  return view.offeredLoad !== undefined && work > SHORT_AT * groups;
}

/**
 * Worth of groups to callers: of one more group of a model, and of ending groups of one model for another.
 *
 * Load pattern: two models share the servers, and the load of one swings by half around its mean every
 * ten seconds or so. At its peaks its callers wait or are refused while groups of the other model have room. A mean over
 * a few seconds either hides the peaks or follows them; weights take 16 s to load, so a group that is begun
 * at a peak serves after it. The worth is therefore a mean over the swing, per unit of time, and a change
 * is judged over the time that it lasts, including the time in which neither group serves.
 *
 * Costs are in groups whose work is missing. All groups have the same number of slots, so a group of a large
 * model counts as many callers as one of a small model, and a change is made only if the groups that end have
 * room to spare at their own peaks.
 */

import type { ModelId } from '../../ids';
import type { ModelSpec } from '../types';

/** Demand for a model over all daemons, in groups that it would keep busy. */
export interface ModelDemand {
  /** Mean over the last 30 s, refused requests included. */
  readonly load: number;
  /** Peak of a sine wave with the same mean and variance as the load over that time. */
  readonly peakLoad: number;
  /** Part of the load that found no free slot. */
  readonly unserved: number;
  /** Lowest priority number among requests that waited in that time; absent if none did. */
  readonly urgency?: number;
}

/** Demand and number of groups of all models. */
export interface Supply {
  readonly models: readonly ModelSpec[];
  readonly demand: ReadonlyMap<ModelId, ModelDemand>;
  /** Groups that serve or are being formed. */
  readonly groups: ReadonlyMap<ModelId, number>;
}

/** Ending groups of some models so that another one has more. */
export interface GroupChange {
  readonly model: ModelId;
  /** Groups that the model gets. */
  readonly gained: number;
  /** Groups that end, by model. */
  readonly lost: ReadonlyMap<ModelId, number>;
  /** Time to stage weights first, while all groups serve. */
  readonly prepareMs: number;
  /** Time in which neither the old nor the new groups serve. */
  readonly pauseMs: number;
  /** Groups of the model that are expected to be missing at any time because the change uses up spares. */
  readonly riskedGroups: number;
}

/** Worth of a change, per unit of time, in groups. */
export interface ChangeWorth {
  /** Gain once the new groups serve. */
  readonly gain: number;
  /** Loss while neither the old nor the new ones do. */
  readonly loss: number;
  /** Mean over the horizon. */
  readonly net: number;
}

/** Longest time that a change is expected to last before the loads or the servers have changed. */
export const HORIZON_MS = 60_000;
/**
 * Weight of the unserved share. At 2, a caller of a model that is served 0.7 counts 1.8 times as much as one
 * of a model that is served 0.95 (1 + 4 x 0.3 against 1 + 4 x 0.05).
 */
const UNEVENNESS_WEIGHT = 2;
/** Urgency classes beyond this distance count as one, so that no model's callers count for nothing. */
const MAX_URGENCY_DISTANCE = 3;
/** Factor by which a caller counts more than one of the next less urgent class. */
const URGENCY_FACTOR = 1.25;
/**
 * Mean gain from which a change is made, in groups. Estimates of the load vary with the phase of a wave, and
 * a low threshold leads to changes for shortages after losses that are soon over.
 */
const MIN_GAIN = 0.25;

const NO_CHANGE: ReadonlyMap<ModelId, number> = new Map();

/**
 * Mean load beyond the capacity of `groups` groups, for a load that swings as a sine between its peak and
 * as far below its mean. Load within the capacity leaves nothing for later: waiting callers give up.
 */
export function expectedShortfall(
  { load, peakLoad }: Pick<ModelDemand, 'load' | 'peakLoad'>,
  groups: number,
): number {
  const swing = Math.max(0, peakLoad - load);
  const room = groups - load;
  if (room >= swing) return 0;
  if (room <= -swing) return -room;
  const level = room / swing;
  return (swing * (Math.sqrt(1 - level * level) - level * Math.acos(level))) / Math.PI;
}

function urgencyFactor({ demand }: Supply, { urgency }: ModelDemand): number {
  const known = [...demand.values()].flatMap((each) => each.urgency ?? []);
  const distance = urgency === undefined ? 0 : urgency - Math.min(...known);
  return URGENCY_FACTOR ** -Math.min(MAX_URGENCY_DISTANCE, distance);
}

/**
 * Cost of the demand that `groups` groups of a model leave unserved. It rises more than in proportion, so
 * that with too little capacity for all models the shares that they are served approach each other.
 */
function unservedCost(supply: Supply, { name }: ModelSpec, groups: number): number {
  const demand = supply.demand.get(name);
  if (!demand) return 0;
  const shortfall = expectedShortfall(demand, groups);
  if (shortfall === 0) return 0;
  const share = Math.min(1, shortfall / demand.load);
  return urgencyFactor(supply, demand) * shortfall * (1 + UNEVENNESS_WEIGHT * share);
}

/** Cost over all models if the numbers of groups change by `change`. */
function totalCost(supply: Supply, change: ReadonlyMap<ModelId, number>): number {
  return supply.models.reduce((sum, model) => {
    const groups = (supply.groups.get(model.name) ?? 0) + (change.get(model.name) ?? 0);
    return sum + unservedCost(supply, model, Math.max(0, groups));
  }, 0);
}

/** Worth of one more group of the model, in groups. */
export function valueOfGroup(supply: Supply, model: ModelSpec): number {
  const groups = supply.groups.get(model.name) ?? 0;
  return unservedCost(supply, model, groups) - unservedCost(supply, model, groups + 1);
}

/**
 * Whether several models compete for servers: one lacks room at the recent peak of its load. False while
 * the demand for any model is unknown.
 */
export function isContended({ models, demand, groups }: Supply): boolean {
  if (models.length < 2 || models.some(({ name }) => !demand.has(name))) return false;
  return models.some(({ name }) => (demand.get(name)?.peakLoad ?? 0) > (groups.get(name) ?? 0));
}

/** The supply after a change that is being made. */
export function withChange(
  supply: Supply,
  { model, gained, lost }: Pick<GroupChange, 'model' | 'gained' | 'lost'>,
): Supply {
  const groups = new Map(supply.groups);
  for (const [name, count] of lost) groups.set(name, Math.max(0, (groups.get(name) ?? 0) - count));
  groups.set(model, (groups.get(model) ?? 0) + gained);
  return { ...supply, groups };
}

/** Judges a change over the time that it is expected to last. */
export function judgeChange(supply: Supply, change: GroupChange, horizonMs: number): ChangeWorth {
  const { model, gained, lost, prepareMs, pauseMs, riskedGroups } = change;
  const ended = new Map([...lost].map(([name, count]) => [name, -count]));
  const now = totalCost(supply, NO_CHANGE);
  const gain = now - totalCost(supply, new Map(ended).set(model, gained));
  const loss = totalCost(supply, ended) - now;
  const servedMs = Math.max(0, horizonMs - prepareMs - pauseMs);
  const spec = supply.models.find(({ name }) => name === model);
  const risk = spec ? riskedGroups * valueOfGroup(supply, spec) : 0;
  return { gain, loss, net: (servedMs * gain - pauseMs * loss) / horizonMs - risk };
}

/**
 * Whether a change is worth making. `isBegun`: weights are staged for it already, so that half the gain
 * suffices: a change that has begun is not given up for a small difference.
 */
export function isWorthMaking({ net }: ChangeWorth, isBegun = false): boolean {
  return net >= MIN_GAIN * (isBegun ? 0.5 : 1);
}

/** A change with its worth. */
export interface JudgedChange<C extends GroupChange> {
  readonly change: C;
  readonly worth: ChangeWorth;
}

/** The change that is worth most, if any is worth making; of equal ones the first. */
export function chooseChange<C extends GroupChange>(
  supply: Supply,
  changes: readonly C[],
  horizonMs: (change: C) => number,
): JudgedChange<C> | undefined {
  let best: JudgedChange<C> | undefined;
  for (const change of changes) {
    const worth = judgeChange(supply, change, horizonMs(change));
    if (!isWorthMaking(worth)) continue;
    if (!best || worth.net > best.worth.net) best = { change, worth };
  }
  return best;
}

/** Prepares spares, so that a lost member is replaced without a load of weights. */

import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ReplicaGroup } from '../groups';
import type { BackendServer, ModelSpec } from '../types';
import { joinCost } from './form';
import { canStartLoads, noteLoads } from './loads';
import { isStandby, STANDBY_PREFIX, startFormation } from './start';
import { sendOrder, modelOf, isEnabled } from './state';
import type { Draft } from './state';

/** Spares of a domain that are warm for each model, or soon will be. */
function countWarm(
  draft: Draft,
  domain: DomainId,
  spares: readonly BackendServer[],
): Map<ModelId, number> {
  const counts = new Map<ModelId, number>();
  const add = (model: ModelId): void => {
    counts.set(model, (counts.get(model) ?? 0) + 1);
  };
  for (const server of spares) {
    const model = modelOf(draft, server);
    if (model !== undefined) add(model);
  }
  for (const { isStandby, model, members } of draft.formations.values()) {
    if (isStandby && members[0]?.domain === domain) add(model);
  }
  return counts;
}

/**
 * The model that a spare is kept warm for. One that served a model stays with it, whatever spares come
 * and go beside it: to change it costs a load, and for that long it replaces nobody. A fresh one takes
 * what its host has staged, or the model that fewest spares are warm for.
 */
function warmModel(
  draft: Draft,
  models: readonly ModelSpec[],
  server: BackendServer,
  warm: ReadonlyMap<ModelId, number>,
): ModelSpec | undefined {
  const own = models.find(({ name }) => name === modelOf(draft, server));
  const staged = models.find(({ name }) => server.staged.includes(name));
  const [fewest] = [...models].sort((a, b) => (warm.get(a.name) ?? 0) - (warm.get(b.name) ?? 0));
  return own ?? staged ?? fewest;
}

/**
 * Keeps spares warm for one model and staged for another, so that a lost member of either is replaced
 * without a load. A warm spare joins in a fraction of a second, a staged one in one or two.
 */
export function prepareSpares(
  draft: Draft,
  domain: DomainId,
  spares: readonly BackendServer[],
): void {
  if (!isEnabled(draft, 'spares')) return;
  // The largest group loses a member most often.
  const models = [...draft.view.engine.models].sort((a, b) => b.size - a.size);
  const warm = countWarm(draft, domain, spares);
  for (const server of [...spares].sort((a, b) => compareText(a.id, b.id))) {
    const model = warmModel(draft, models, server, warm);
    const other = models.find((each) => each !== model);
    if (!model) continue;
    if (modelOf(draft, server) === undefined) warm.set(model.name, (warm.get(model.name) ?? 0) + 1);
    prepareSpare(draft, server, model, other);
  }
}

function loadsForSpares({ view, settings }: Draft): number {
  return view.hasTraffic ? settings.maxSpareLoads : view.engine.loadsAtOnce;
}

function isLoading(draft: Draft, { id }: BackendServer): boolean {
  return draft.loads.some(({ server, until }) => server === id && draft.now < until);
}

function stage(draft: Draft, server: BackendServer, model: ModelSpec): void {
  if (isLoading(draft, server) || !canStartLoads(draft, 1, loadsForSpares(draft))) return;
  sendOrder(draft, server, { kind: 'stage', model: model.name });
  noteLoads(draft, [server], model);
}

function prepareSpare(
  draft: Draft,
  server: BackendServer,
  warm: ModelSpec,
  staged: ModelSpec | undefined,
): void {
  if (isLoading(draft, server)) return;
  if (modelOf(draft, server) !== warm.name) {
    const cost = joinCost(draft, server, warm);
    if (!canStartLoads(draft, cost.isLoad ? 1 : 0, loadsForSpares(draft))) return;
    startFormation(draft, warm, [server], STANDBY_PREFIX);
    return;
  }
  if (staged && !server.staged.includes(staged.name)) stage(draft, server, staged);
}

/**
 * Stages the weights of larger models on one member of each smaller group. A large group that lost a
 * member where no spare is left is then put together again within two seconds, at the price of a group
 * of a model that has enough, in place of a load of weights.
 */
export function stageMembers(draft: Draft, groups: readonly ReplicaGroup[]): void {
  if (!isEnabled(draft, 'staged-members')) return;
  const { models } = draft.view.engine;
  for (const { id, model, members } of groups) {
    const own = models.find(({ name }) => name === model);
    const larger = models.find(({ size }) => own !== undefined && size > own.size);
    const last = members.at(-1);
    const isKnown = larger && members.some(({ staged }) => staged.includes(larger.name));
    if (!larger || isKnown || !last || isStandby(id) || draft.retirements.has(id)) continue;
    if (last.membership?.state !== 'ready' || members.length !== own?.size) continue;
    stage(draft, last, larger);
  }
}

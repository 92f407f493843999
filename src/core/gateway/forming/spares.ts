/** Prepares spares, so that a lost member is replaced without a weight load. */

import type { DomainId, ModelId } from '../../ids';
import { compareText } from '../../../utils/common';
import type { ReplicaGroup } from '../groups';
import type { BackendServer, ModelSpec } from '../types';
import { joinCost } from './form';
import { canStartLoads, noteLoads } from './loads';
import { isStandby, STANDBY_PREFIX, startFormation } from './start';
import { sendOrder } from './sent-orders';
import { modelOf, isEnabled } from './state';
import type { Draft } from './state';

/** Number of the domain's spares that are warm for each model or being warmed. */
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
 * The model that a spare is kept warm for. A spare that served a model keeps it, however the other spares
 * change: switching costs a load, during which the spare can replace nobody. A new one takes the model
 * that is staged on its host, or the model with the fewest warm spares.
 */
function warmModel(
  draft: Draft,
  models: readonly ModelSpec[],
  server: BackendServer,
  warm: ReadonlyMap<ModelId, number>,
): ModelSpec | undefined {
  const own = models.find(({ name }) => name === modelOf(draft, server));
  const staged = models.find(({ name }) => server.staged.includes(name));
  const [leastWarm] = [...models].sort((a, b) => (warm.get(a.name) ?? 0) - (warm.get(b.name) ?? 0));
  return own ?? staged ?? leastWarm;
}

/**
 * Keeps spares warm for one model and stages another, so that a lost member of either is replaced
 * without a load. A warm spare joins in a fraction of a second, a staged one in one or two seconds.
 */
export function prepareSpares(
  draft: Draft,
  domain: DomainId,
  spares: readonly BackendServer[],
): void {
  if (!isEnabled(draft, 'spares')) return;
  // The larger a group, the more often it loses a member.
  const models = [...draft.view.engine.models].sort((a, b) => b.size - a.size);
  const warm = countWarm(draft, domain, spares);
  for (const server of [...spares].sort((a, b) => compareText(a.id, b.id))) {
    const model = warmModel(draft, models, server, warm);
    const other = models.find((spec) => spec !== model);
    if (!model) continue;
    if (modelOf(draft, server) === undefined) warm.set(model.name, (warm.get(model.name) ?? 0) + 1);
    prepareSpare(draft, server, model, other);
  }
}

function maxSpareLoads({ view, settings }: Draft): number {
  return view.hasTraffic ? settings.maxSpareLoads : view.engine.loadsAtOnce;
}

function isLoading(draft: Draft, { id }: BackendServer): boolean {
  return draft.loads.some(({ server, until }) => server === id && draft.now < until);
}

/** Stages the model's weights on the server's host, unless the limit of loads is reached. */
export function stage(
  draft: Draft,
  server: BackendServer,
  model: ModelSpec,
  maxConcurrent = maxSpareLoads(draft),
): void {
  if (isLoading(draft, server) || !canStartLoads(draft, 1, maxConcurrent)) return;
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
    if (!canStartLoads(draft, cost.isLoad ? 1 : 0, maxSpareLoads(draft))) return;
    startFormation(draft, warm, [server], STANDBY_PREFIX);
    return;
  }
  if (staged && !server.staged.includes(staged.name)) stage(draft, server, staged);
}

/**
 * Stages the weights of a larger model on one member of each smaller group. When a large group loses a
 * member and no spare remains, it can then be formed again within two seconds, at the cost of a group
 * of a model that has enough of them instead of a weight load.
 */
export function stageMembers(draft: Draft, groups: readonly ReplicaGroup[]): void {
  if (!isEnabled(draft, 'staged-members')) return;
  const { models } = draft.view.engine;
  for (const { id, model, members } of groups) {
    const own = models.find(({ name }) => name === model);
    const larger = models.find(({ size }) => own !== undefined && size > own.size);
    const last = members.at(-1);
    const isStaged = larger && members.some(({ staged }) => staged.includes(larger.name));
    if (!larger || isStaged || !last || isStandby(id) || draft.retirements.has(id)) continue;
    if (last.membership?.state !== 'ready' || members.length !== own?.size) continue;
    stage(draft, last, larger);
  }
}

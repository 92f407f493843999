/** Finds ending groups that will be formed again, and holds back the spares that they need. */

import type { DomainId, ModelId } from '../../ids';
import type { BackendServer } from '../types';
import { joinCost } from './form';
import { collectFreeServers, pickMembers, returningMembers } from './members';
import { isEnabled, isSlow } from './state';
import type { Draft } from './state';

/** Members of ending groups that will become free in the domain, by the model to form again with them. */
function listReleasing(
  draft: Draft,
  domain: DomainId,
): ReadonlyMap<ModelId, readonly BackendServer[]> {
  const releasing = new Map<ModelId, BackendServer[]>();
  for (const retirement of draft.retirements.values()) {
    const { model } = retirement;
    if (model === undefined) continue;
    const staying = returningMembers(draft, retirement).filter(
      (server) => server.domain === domain && !isSlow(draft, server.id),
    );
    if (staying.length > 0) releasing.set(model, [...(releasing.get(model) ?? []), ...staying]);
  }
  return releasing;
}

/**
 * The domain's free servers without the spares needed to form an ending group again. Its members become
 * free within about 100 ms. If a smaller group took the spares meanwhile, the remaining members would be
 * too few for a replacement and the larger model would lose a group permanently.
 */
export function excludeHeldSpares(
  draft: Draft,
  domain: DomainId,
  free: readonly BackendServer[],
): readonly BackendServer[] {
  if (!isEnabled(draft, 'held-spares')) return free;
  let remaining = free;
  for (const [name, releasing] of listReleasing(draft, domain)) {
    const model = draft.view.engine.models.find((spec) => spec.name === name);
    const missing = model ? model.size - (releasing.length % model.size) : 0;
    if (!model || missing === model.size || missing > remaining.length) continue;
    const held = new Set(pickMembers(draft, remaining, { ...model, size: missing }));
    remaining = remaining.filter((server) => !held.has(server));
  }
  return remaining;
}

/** Ending groups that will be formed again without a weight load, by model. */
export function countReturning(draft: Draft): ReadonlyMap<ModelId, number> {
  const free = collectFreeServers(draft);
  const domains = new Set(
    [...draft.retirements.values()].flatMap(({ model, members }) =>
      model === undefined ? [] : (members[0]?.domain ?? []),
    ),
  );
  const counts = new Map<ModelId, number>();
  for (const domain of domains) {
    let remaining = free.get(domain) ?? [];
    for (const [name, releasing] of listReleasing(draft, domain)) {
      const model = draft.view.engine.models.find((spec) => spec.name === name);
      if (!model) continue;
      const spares = remaining.filter((server) => !joinCost(draft, server, model).isLoad);
      const possible = Math.floor((releasing.length + spares.length) / model.size);
      const returning = Math.min(Math.ceil(releasing.length / model.size), possible);
      const used = new Set(spares.slice(0, Math.max(0, returning * model.size - releasing.length)));
      remaining = remaining.filter((server) => !used.has(server));
      counts.set(name, (counts.get(name) ?? 0) + returning);
    }
  }
  return counts;
}

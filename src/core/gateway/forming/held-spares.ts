/** Holds back the spares that a group which is ending needs to be formed again. */

import type { DomainId, ModelId } from '../../ids';
import type { BackendServer } from '../types';
import { pickMembers, remainingMembers } from './members';
import { isEnabled, isSlow } from './state';
import type { Draft } from './state';

/** Members of ending groups that will become free in the domain, by the model to form again with them. */
function listReleasing(
  draft: Draft,
  domain: DomainId,
): ReadonlyMap<ModelId, readonly BackendServer[]> {
  const releasing = new Map<ModelId, BackendServer[]>();
  for (const { model, members } of draft.retirements.values()) {
    if (model === undefined) continue;
    const staying = remainingMembers(draft, members).filter(
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

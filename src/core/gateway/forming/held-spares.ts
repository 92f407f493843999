/** Keeps the spares that complete a group which is just ending. */

import type { DomainId, ModelId } from '../../ids';
import type { BackendServer } from '../types';
import { pickMembers, remainingMembers } from './members';
import { isEnabled } from './state';
import type { Draft } from './state';

/** Members of ending groups that will be free in the domain, by the model to form again with them. */
function comingTo(draft: Draft, domain: DomainId): ReadonlyMap<ModelId, readonly BackendServer[]> {
  const coming = new Map<ModelId, BackendServer[]>();
  for (const { model, members } of draft.retirements.values()) {
    if (model === undefined) continue;
    const staying = remainingMembers(draft, members).filter((server) => server.domain === domain);
    if (staying.length > 0) coming.set(model, [...(coming.get(model) ?? []), ...staying]);
  }
  return coming;
}

/**
 * The domain's free servers without those that complete a group which is just ending. Its members come
 * free within some 100 ms. A smaller group formed of the spares meanwhile would leave the larger one
 * without its replacement: its survivors are then too few, and its model loses a group for good.
 */
export function excludeHeldSpares(
  draft: Draft,
  domain: DomainId,
  free: readonly BackendServer[],
): readonly BackendServer[] {
  if (!isEnabled(draft, 'held-spares')) return free;
  let left = free;
  for (const [name, coming] of comingTo(draft, domain)) {
    const model = draft.view.engine.models.find((each) => each.name === name);
    const lacking = model ? model.size - (coming.length % model.size) : 0;
    if (!model || lacking === model.size || lacking > left.length) continue;
    const held = new Set(pickMembers(draft, left, { ...model, size: lacking }));
    left = left.filter((server) => !held.has(server));
  }
  return left;
}

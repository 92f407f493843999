/** Requests of each organisation that this daemon recently served, by model. */

import { noteServed, rankByUse } from '../../core/gateway/fair-order';
import type { RecentUse } from '../../core/gateway/fair-order';
import type { ModelId, MonoTime, OrganisationId } from '../../core/ids';
import { later } from '../../core/ids';
import type { Clock } from '../../ports/runtime';

export interface OrganisationUse {
  noteServed(model: ModelId, organisation: OrganisationId | undefined): void;
  /** The lower one goes first; 0 for all while only one organisation uses the model. */
  rank(model: ModelId, organisation: OrganisationId | undefined): number;
  /** Number of organisations with requests for the model. */
  count(model: ModelId): number;
  /** Forgets organisations that have not used a model for a while. */
  prune(): void;
}

const KEPT_MS = 60_000;
const NO_ORGANISATION = '';

export function createOrganisationUse(clock: Clock): OrganisationUse {
  const uses = new Map<ModelId, Map<string, RecentUse>>();

  return {
    noteServed: (model, organisation) => {
      const name = organisation ?? NO_ORGANISATION;
      const known = uses.get(model) ?? new Map<string, RecentUse>();
      uses.set(model, known);
      known.set(name, noteServed(known.get(name), clock.now()));
    },
    rank: (model, organisation) => {
      const known = uses.get(model);
      if (!known) return 0;
      return rankByUse(known.get(organisation ?? NO_ORGANISATION), clock.now());
    },
    count: (model) => uses.get(model)?.size ?? 0,
    prune: () => {
      const limit: MonoTime = later(clock.now(), -KEPT_MS);
      for (const known of uses.values()) {
        for (const [name, { at }] of known) if (at < limit) known.delete(name);
      }
    },
  };
}

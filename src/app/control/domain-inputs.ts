/**
 * Feeds the reducers of the held domains everything but rows and engine reports: model plans, listed
 * instances, drain marks, open slots and the load on other domains.
 */

import type { ModelPlan } from '../../core/groups/domain-types';
import { openSlots } from '../../core/groups/slots';
import type { InstanceInfo } from '../../core/groups/types';
import type { DomainId, ModelId } from '../../core/ids';
import type { Directory } from './directory';
import type { HeldDomains } from './held-domains';
import type { ControlGossip } from './gossip';
import type { Watches } from './watches';

export interface DomainInputSources {
  readonly heldDomains: HeldDomains;
  readonly directory: Directory;
  readonly watches: Watches;
  readonly news: ControlGossip;
  readonly plans: () => Readonly<Record<ModelId, ModelPlan>>;
}

/** Sends inputs to the reducers of held domains. */
export interface DomainInputs {
  /** Sends the current inputs to one domain. */
  update(domain: DomainId): void;
  /** Sends the current inputs to all held domains. */
  readonly updateAll: () => void;
}

export function createDomainInputs(from: DomainInputSources): DomainInputs {
  const { heldDomains: heldDomains, directory, watches, news } = from;

  const send = (domain: DomainId, instances: readonly InstanceInfo[]): void => {
    const models = from.plans();
    const listed = directory.inDomain(domain);
    const groups = watches.all().map(({ row }) => row);
    heldDomains.dispatch(domain, { kind: 'configured', models });
    heldDomains.dispatch(domain, { kind: 'listed', instances: listed });
    for (const { id } of listed) {
      if (directory.isMarkedLeaving(id))
        heldDomains.dispatch(domain, { kind: 'drain', instance: id });
    }
    const open = openSlots({ domain, models, groups, instances });
    heldDomains.dispatch(domain, {
      kind: 'slots',
      open,
      loadsElsewhere: news.loadsInOtherDomains(domain),
    });
  };

  return {
    update: (domain) => {
      send(domain, directory.instances());
    },
    updateAll: () => {
      const instances = directory.instances();
      for (const { domain } of heldDomains.all()) send(domain, instances);
    },
  };
}

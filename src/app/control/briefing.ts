/** Tells the holders of domains what they need besides the rows and the reports. */

import type { ModelPlan } from '../../core/groups/domain-types';
import { openSlots } from '../../core/groups/slots';
import type { InstanceInfo } from '../../core/groups/types';
import type { DomainId, ModelId } from '../../core/ids';
import type { Directory } from './directory';
import type { Holders } from './holders';
import type { News } from './news';
import type { Watches } from './watches';

export interface BriefingSources {
  readonly holders: Holders;
  readonly directory: Directory;
  readonly watches: Watches;
  readonly news: News;
  readonly plans: () => Readonly<Record<ModelId, ModelPlan>>;
}

export interface Briefing {
  one(domain: DomainId): void;
  readonly all: () => void;
}

export function createBriefing(from: BriefingSources): Briefing {
  const { holders, directory, watches, news } = from;

  const tell = (domain: DomainId, instances: readonly InstanceInfo[]): void => {
    const models = from.plans();
    const listed = directory.inDomain(domain);
    const groups = watches.all().map(({ row }) => row);
    holders.tell(domain, { kind: 'configured', models });
    holders.tell(domain, { kind: 'listed', instances: listed });
    for (const { id } of listed) {
      if (directory.isMarked(id)) holders.tell(domain, { kind: 'drain', instance: id });
    }
    const open = openSlots({ domain, models, groups, instances });
    holders.tell(domain, { kind: 'slots', open, loadsElsewhere: news.loadsElsewhere(domain) });
  };

  return {
    one: (domain) => {
      tell(domain, directory.instances());
    },
    all: () => {
      const instances = directory.instances();
      for (const { domain } of holders.all()) tell(domain, instances);
    },
  };
}

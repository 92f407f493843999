/** The platform's instance list as last read, and who is said to be leaving. */

import type { InstanceInfo } from '../../core/groups/types';
import type { DomainId, InstanceId, ZoneId } from '../../core/ids';
import type { InstanceEntry } from '../../ports/platform';
import { logFailure, settleCall } from './context';
import type { ControlContext } from './context';

export interface Directory {
  /** Reads the list anew; a failed read leaves what is known. */
  readonly poll: () => void;
  /** All engine instances. */
  instances(): readonly InstanceInfo[];
  inDomain(domain: DomainId): readonly InstanceInfo[];
  domains(): ReadonlyMap<DomainId, ZoneId>;
  /** An operator's or a peer's word. */
  markLeaving(instance: InstanceId): void;
  /** Whether it was marked, whatever the list says. */
  isMarked(instance: InstanceId): boolean;
  readonly isLeaving: (instance: InstanceId) => boolean;
  has(instance: InstanceId): boolean;
}

export function createDirectory(ctx: ControlContext, changed: () => void): Directory {
  let byId = new Map<InstanceId, InstanceInfo>();
  let byDomain = new Map<DomainId, readonly InstanceInfo[]>();
  let reading = false;
  const marked = new Set<InstanceId>();

  const take = (entries: readonly InstanceEntry[]): void => {
    const facts = entries.flatMap((entry) => factsOf(entry) ?? []);
    byId = new Map(facts.map((one) => [one.id, one]));
    byDomain = groupByDomain(facts);
    for (const id of marked) {
      // It left: should an instance of that id come again, it is a new one.
      if (!byId.has(id)) marked.delete(id);
    }
    changed();
  };

  return {
    poll: () => {
      if (reading) return;
      reading = true;
      const done = () => {
        reading = false;
      };
      settleCall(
        ctx,
        ctx.instances.list(),
        (entries) => {
          done();
          take(entries);
        },
        (err) => {
          done();
          logFailure(ctx, err);
        },
      );
    },
    instances: () => [...byId.values()],
    inDomain: (domain) => byDomain.get(domain) ?? [],
    domains: () => zonesOf(byDomain),
    markLeaving: (instance) => {
      marked.add(instance);
    },
    isMarked: (instance) => marked.has(instance),
    has: (instance) => byId.has(instance),
    isLeaving: (instance) => marked.has(instance) || byId.get(instance)?.leaving === true,
  };
}

function factsOf(entry: InstanceEntry): InstanceInfo | undefined {
  const { id, address, domain, zone, accelerators, checksFencing } = entry;
  if (entry.role !== 'engine' || domain === undefined) return undefined;
  const leaving = entry.state === 'leaving';
  return { id, address, domain, zone, accelerators, leaving, checksFencing };
}

function groupByDomain(facts: readonly InstanceInfo[]): Map<DomainId, InstanceInfo[]> {
  const byDomain = new Map<DomainId, InstanceInfo[]>();
  for (const one of facts) {
    const list = byDomain.get(one.domain);
    if (list) list.push(one);
    else byDomain.set(one.domain, [one]);
  }
  return byDomain;
}

function zonesOf(
  byDomain: ReadonlyMap<DomainId, readonly InstanceInfo[]>,
): ReadonlyMap<DomainId, ZoneId> {
  const zones = new Map<DomainId, ZoneId>();
  for (const [domain, facts] of byDomain) {
    const zone = facts[0]?.zone;
    if (zone !== undefined) zones.set(domain, zone);
  }
  return zones;
}

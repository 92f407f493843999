/** The platform's instance list as last read, and the instances marked as leaving. */

import type { InstanceInfo } from '../../core/groups/types';
import type { DomainId, InstanceId, ZoneId } from '../../core/ids';
import type { InstanceEntry } from '../../ports/platform';
import { logFailure, settleCall } from './context';
import type { ControlContext } from './context';

/** The engine instances of the platform, by id and by domain. */
export interface Directory {
  /** Reads the list again; a failed read keeps the previous list. */
  readonly poll: () => void;
  /** All engine instances. */
  instances(): readonly InstanceInfo[];
  inDomain(domain: DomainId): readonly InstanceInfo[];
  domains(): ReadonlyMap<DomainId, ZoneId>;
  /** Marks an instance as leaving, on the request of an operator, a peer or the engine itself. */
  markLeaving(instance: InstanceId): void;
  /** Whether `markLeaving` was called for it, whatever the list says. */
  isMarkedLeaving(instance: InstanceId): boolean;
  /** Whether it is marked or listed as leaving. */
  readonly isLeaving: (instance: InstanceId) => boolean;
  has(instance: InstanceId): boolean;
}

/** Creates an empty directory; `onChange` is called after each successful read. */
export function createDirectory(ctx: ControlContext, onChange: () => void): Directory {
  let byId = new Map<InstanceId, InstanceInfo>();
  let byDomain = new Map<DomainId, readonly InstanceInfo[]>();
  let reading = false;
  const marked = new Set<InstanceId>();

  const replaceList = (entries: readonly InstanceEntry[]): void => {
    const infos = entries.flatMap((entry) => infoOf(entry) ?? []);
    byId = new Map(infos.map((info) => [info.id, info]));
    byDomain = groupByDomain(infos);
    for (const id of marked) {
      // It has left the list; an instance listed under that id later is a new one.
      if (!byId.has(id)) marked.delete(id);
    }
    onChange();
  };

  return {
    poll: () => {
      if (reading) return;
      reading = true;
      const finish = () => {
        reading = false;
      };
      settleCall(
        ctx,
        ctx.instances.list(),
        (entries) => {
          finish();
          replaceList(entries);
        },
        (err) => {
          finish();
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
    isMarkedLeaving: (instance) => marked.has(instance),
    has: (instance) => byId.has(instance),
    isLeaving: (instance) => marked.has(instance) || byId.get(instance)?.leaving === true,
  };
}

function infoOf(entry: InstanceEntry): InstanceInfo | undefined {
  const { id, address, domain, zone, accelerators, checksFencing } = entry;
  if (entry.role !== 'engine' || domain === undefined) return undefined;
  const leaving = entry.state === 'leaving';
  return { id, address, domain, zone, accelerators, leaving, checksFencing };
}

function groupByDomain(infos: readonly InstanceInfo[]): Map<DomainId, InstanceInfo[]> {
  const byDomain = new Map<DomainId, InstanceInfo[]>();
  for (const info of infos) {
    const list = byDomain.get(info.domain);
    if (list) list.push(info);
    else byDomain.set(info.domain, [info]);
  }
  return byDomain;
}

function zonesOf(
  byDomain: ReadonlyMap<DomainId, readonly InstanceInfo[]>,
): ReadonlyMap<DomainId, ZoneId> {
  const zones = new Map<DomainId, ZoneId>();
  for (const [domain, infos] of byDomain) {
    const zone = infos[0]?.zone;
    if (zone !== undefined) zones.set(domain, zone);
  }
  return zones;
}

/** The open groups that servers report, with the figures of their service. */

import { merge, Subject } from 'rxjs';
import type { BehaviorSubject, Observable } from 'rxjs';

import { findOpenGroups } from '../../core/gateway/groups';
import type { OpenGroup } from '../../core/gateway/groups';
import type { RouteTable } from '../../core/gateway/routes';
import type { EngineSpec, ModelSpec } from '../../core/gateway/types';
import type { InstanceId, ServiceId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { ServerRegistry } from './server-registry';

/** An open group with the figures of its service. */
export interface ServingGroup extends OpenGroup {
  readonly service: ServiceId;
  readonly engine: EngineSpec;
  readonly spec: ModelSpec;
}

export interface GroupIndex {
  /** The open groups by their heads. */
  groups(): ReadonlyMap<InstanceId, ServingGroup>;
  /** After a change of servers or configuration. */
  readonly changes: Observable<void>;
}

function findGroups(roster: ServerRegistry, table: RouteTable): Map<InstanceId, ServingGroup> {
  const found = new Map<InstanceId, ServingGroup>();
  for (const group of findOpenGroups(roster.servers.values())) {
    const { service } = group.head;
    const engine = table.service(service)?.engine;
    const spec = engine?.models.find(({ name }) => name === group.model);
    if (engine && spec) found.set(group.head.id, { ...group, service, engine, spec });
  }
  return found;
}

export function createGroupIndex(
  { logger }: GatewayContext,
  roster: ServerRegistry,
  routes: BehaviorSubject<RouteTable | undefined>,
): GroupIndex {
  const changes = new Subject<void>();
  let known: ReadonlyMap<InstanceId, ServingGroup> = new Map();
  /** Hundreds of servers change more often than anybody looks: groups are found anew when they are asked for. */
  let isStale = false;

  const logChanges = (next: ReadonlyMap<InstanceId, ServingGroup>): void => {
    for (const [head, { id, model }] of next) {
      if (known.get(head)?.id !== id) {
        logger.info('group serves', { step: 'board', group: id, model, head });
      }
    }
    for (const [head, { id }] of known) {
      if (next.get(head)?.id !== id) {
        logger.info('group serves no more', { step: 'board', group: id, head });
      }
    }
  };

  const rebuild = (): void => {
    isStale = false;
    if (!routes.value) return;
    const next = findGroups(roster, routes.value);
    logChanges(next);
    known = next;
  };

  // Either may come first: without the configuration no group is known to belong to a service.
  merge(roster.changes, routes).subscribe(() => {
    isStale = true;
    changes.next();
  });

  return {
    groups: () => {
      if (isStale) rebuild();
      return known;
    },
    changes,
  };
}

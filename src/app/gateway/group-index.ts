/** Index of the open groups that servers report, with the engine parameters of their service. */

import { merge, Subject } from 'rxjs';
import type { BehaviorSubject, Observable } from 'rxjs';

import { findOpenGroups } from '../../core/gateway/groups';
import type { OpenGroup } from '../../core/gateway/groups';
import type { RouteTable } from '../../core/gateway/routes';
import type { EngineSpec, ModelSpec } from '../../core/gateway/types';
import type { InstanceId, ServiceId } from '../../core/ids';
import type { GatewayContext } from './context';
import type { Stall } from './group-registry-types';
import type { ServerRegistry } from './server-registry';

/** An open group with the engine and model parameters of its service. */
export interface ServingGroup extends OpenGroup {
  readonly service: ServiceId;
  readonly engine: EngineSpec;
  readonly spec: ModelSpec;
}

export interface GroupIndex {
  /** Open groups by head. */
  groups(): ReadonlyMap<InstanceId, ServingGroup>;
  /** Emits after a change of the servers or the configuration. */
  readonly changes: Observable<void>;
  /** Groups whose heads have left them, by their own entries: requests that still run there get no more. */
  readonly left: Observable<Stall>;
}

function findGroups(
  serverRegistry: ServerRegistry,
  table: RouteTable,
): Map<InstanceId, ServingGroup> {
  const found = new Map<InstanceId, ServingGroup>();
  for (const group of findOpenGroups(serverRegistry.servers.values())) {
    const { service } = group.head;
    const engine = table.service(service)?.engine;
    const spec = engine?.models.find(({ name }) => name === group.model);
    if (engine && spec) found.set(group.head.id, { ...group, service, engine, spec });
  }
  return found;
}

export function createGroupIndex(
  { logger }: GatewayContext,
  serverRegistry: ServerRegistry,
  routes: BehaviorSubject<RouteTable | undefined>,
): GroupIndex {
  const changes = new Subject<void>();
  const left = new Subject<Stall>();
  let indexed: ReadonlyMap<InstanceId, ServingGroup> = new Map();
  /**
   * With hundreds of servers, changes are more frequent than reads, so the index is rebuilt on the
   * next read.
   */
  let isStale = false;

  const logChanges = (next: ReadonlyMap<InstanceId, ServingGroup>): void => {
    for (const [head, { id, model }] of next) {
      if (indexed.get(head)?.id !== id) {
        logger.info('group serves', { step: 'board', group: id, model, head });
      }
    }
    for (const [head, { id }] of indexed) {
      if (next.get(head)?.id !== id) {
        logger.info('group serves no more', { step: 'board', group: id, head });
      }
    }
  };

  /** An entry that expired says nothing: the group may still serve. */
  const findLeft = (groups: typeof indexed): Stall[] =>
    [...groups].flatMap(([head, { id }]) => {
      const entry = serverRegistry.servers.get(head);
      const hasLeft = entry !== undefined && entry.membership?.group !== id;
      return hasLeft ? [{ group: id, head, evidence: 'ended' as const }] : [];
    });

  const rebuild = (): void => {
    isStale = false;
    if (!routes.value) return;
    const next = findGroups(serverRegistry, routes.value);
    logChanges(next);
    const before = indexed;
    indexed = next;
    for (const stall of findLeft(before)) left.next(stall);
  };

  // Either may arrive first: without a configuration, no group can be assigned to a service.
  merge(serverRegistry.changes, routes).subscribe(() => {
    isStale = true;
    changes.next();
  });

  return {
    groups: () => {
      if (isStale) rebuild();
      return indexed;
    },
    changes,
    left,
  };
}

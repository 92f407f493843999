/** The places of each model's groups, and the requests that are in them or wait for one. */

import type { ModelId, ServiceId } from '../ids';
import { isStandby } from './forming/start';
import type { BackendServer } from './types';

/** One open group, as its load is known. */
export interface GroupLoad {
  readonly model: ModelId;
  /** Requests of all daemons in it. */
  readonly running: number;
  readonly batchSize: number;
  /** Whether nothing is sent to it for a while. */
  readonly isSuspect: boolean;
}

export interface WaitingLoad {
  readonly model: ModelId;
  readonly daemons: number;
  readonly requests: number;
}

export interface ModelWork {
  readonly model: ModelId;
  readonly groups: number;
  /** Groups of these that nothing is sent to. */
  readonly suspects: number;
  /** Requests that the groups run at a time. */
  readonly places: number;
  /** Requests that run. */
  readonly running: number;
  /** Requests beyond the places of their group: they wait in its engine. */
  readonly queued: number;
  /** Places without a request, in groups that are not suspected. */
  readonly free: number;
  /** Daemons with requests that wait for a place, and these requests. */
  readonly waitingDaemons: number;
  readonly waiting: number;
}

function emptyWork(model: ModelId): ModelWork {
  return {
    model,
    groups: 0,
    suspects: 0,
    places: 0,
    running: 0,
    queued: 0,
    free: 0,
    waitingDaemons: 0,
    waiting: 0,
  };
}

function addGroup(work: ModelWork, { running, batchSize, isSuspect }: GroupLoad): ModelWork {
  const free = isSuspect ? 0 : Math.max(0, batchSize - running);
  return {
    ...work,
    groups: work.groups + 1,
    suspects: work.suspects + Number(isSuspect),
    places: work.places + batchSize,
    running: work.running + Math.min(running, batchSize),
    queued: work.queued + Math.max(0, running - batchSize),
    free: work.free + free,
  };
}

/** Sums by model; a model without groups is among them where requests wait for it. */
export function summarizeWork(
  groups: readonly GroupLoad[],
  waiting: readonly WaitingLoad[],
): readonly ModelWork[] {
  const works = new Map<ModelId, ModelWork>();
  for (const group of groups) {
    works.set(group.model, addGroup(works.get(group.model) ?? emptyWork(group.model), group));
  }
  for (const { model, daemons, requests } of waiting) {
    const work = works.get(model) ?? emptyWork(model);
    works.set(model, { ...work, waitingDaemons: daemons, waiting: requests });
  }
  return [...works.values()];
}

/** What the backend servers of a service are at. */
export interface ServerWork {
  readonly service: ServiceId;
  readonly servers: number;
  readonly leaving: number;
  /** Members of groups that serve, as they report it; the heads alone say so of the whole group. */
  readonly ready: number;
  readonly joining: number;
  /** Kept warm to replace members. */
  readonly standby: number;
  /** Members of groups that end or are broken. */
  readonly ending: number;
  /** In no group. */
  readonly idle: number;
}

type Occupation = Exclude<keyof ServerWork, 'service' | 'servers'>;

function occupationOf({ isDraining, membership }: BackendServer): Occupation {
  if (isDraining) return 'leaving';
  if (!membership) return 'idle';
  if (membership.state === 'joining') return 'joining';
  if (isStandby(membership.group)) return 'standby';
  return membership.state === 'ready' || membership.state === 'open' ? 'ready' : 'ending';
}

/** Counts by service, of services whose servers form groups. */
export function summarizeServers(servers: Iterable<BackendServer>): readonly ServerWork[] {
  const works = new Map<ServiceId, ServerWork>();
  for (const server of servers) {
    const { service, domain } = server;
    if (domain === undefined) continue;
    const work = works.get(service) ?? {
      ...{ service, servers: 0, leaving: 0, ready: 0 },
      ...{ joining: 0, standby: 0, ending: 0, idle: 0 },
    };
    const occupation = occupationOf(server);
    works.set(service, {
      ...work,
      servers: work.servers + 1,
      [occupation]: work[occupation] + 1,
    });
  }
  return [...works.values()];
}

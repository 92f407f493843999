/** Summarizes the load of each model's groups, and the states of each service's servers, for logs and reports. */

import type { ModelId, ServiceId } from '../ids';
import { isStandby } from './forming/start';
import type { BackendServer } from './types';

/** The known load of one open group. */
export interface GroupLoad {
  readonly model: ModelId;
  /** Requests in it, from all daemons. */
  readonly running: number;
  readonly batchSize: number;
  /** Whether it is suspected, so that no requests are sent to it for a while. */
  readonly isSuspect: boolean;
}

/** Requests that wait in daemons for a slot of a model. */
export interface WaitingLoad {
  readonly model: ModelId;
  /** Number of daemons with waiting requests. */
  readonly daemons: number;
  readonly requests: number;
}

/** Load of a model's groups. */
export interface ModelWork {
  readonly model: ModelId;
  readonly groups: number;
  /** Number of these groups that are suspected. */
  readonly suspects: number;
  /** Slots of all groups. */
  readonly places: number;
  /** Requests that hold a slot. */
  readonly running: number;
  /** Requests beyond their group's slots, which queue in its engine. */
  readonly queued: number;
  /** Free slots, in groups that aren't suspected. */
  readonly free: number;
  /** Daemons with requests that wait for a slot, and the number of these requests. */
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

/** Sums up by model, including models without groups that have waiting requests. */
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

/** Numbers of a service's backend servers by state. */
export interface ServerWork {
  readonly service: ServiceId;
  /** All servers. */
  readonly servers: number;
  /** Draining servers. */
  readonly leaving: number;
  /** Members that report ready or open; only a head's state says whether its group serves. */
  readonly ready: number;
  readonly joining: number;
  /** Warm spares. */
  readonly standby: number;
  /** Members of closing or broken groups. */
  readonly ending: number;
  /** Servers in no group. */
  readonly idle: number;
}

type ServerState = Exclude<keyof ServerWork, 'service' | 'servers'>;

function serverStateOf({ isDraining, membership }: BackendServer): ServerState {
  if (isDraining) return 'leaving';
  if (!membership) return 'idle';
  if (membership.state === 'joining') return 'joining';
  if (isStandby(membership.group)) return 'standby';
  return membership.state === 'ready' || membership.state === 'open' ? 'ready' : 'ending';
}

/** Counts servers by service and state, for services whose servers form groups. */
export function summarizeServers(servers: Iterable<BackendServer>): readonly ServerWork[] {
  const works = new Map<ServiceId, ServerWork>();
  for (const server of servers) {
    const { service, domain } = server;
    if (domain === undefined) continue;
    const work = works.get(service) ?? {
      ...{ service, servers: 0, leaving: 0, ready: 0 },
      ...{ joining: 0, standby: 0, ending: 0, idle: 0 },
    };
    const state = serverStateOf(server);
    works.set(service, {
      ...work,
      servers: work.servers + 1,
      [state]: work[state] + 1,
    });
  }
  return [...works.values()];
}

/** The places of each model's groups, and the requests that are in them or wait for one. */

import type { ModelId } from '../ids';

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

/** Estimates when a forming group becomes routable, from the forming times of earlier groups. */

import { later } from '../ids';
import type { Epoch, GroupId, ModelId, MonoTime } from '../ids';
import type { GroupRow } from './types';

/** Weight of the newest forming time in the running mean. */
const NEWEST_WEIGHT = 0.3;
/** Estimate before any group of the model has formed, milliseconds. */
const INITIAL_ESTIMATE_MS = 10_000;

interface FormingGroup {
  readonly epoch: Epoch;
  readonly model: ModelId;
  readonly since: MonoTime;
}

/** Groups that are forming now, and the mean forming time of each model. */
export interface FormingEstimates {
  readonly forming: Readonly<Record<GroupId, FormingGroup>>;
  readonly meanMs: Readonly<Record<ModelId, number>>;
}

/** The estimates before any group was observed. */
export const NO_FORMING_ESTIMATES: FormingEstimates = { forming: {}, meanMs: {} };

/** Records which groups are forming now and removes all others. */
export function trackForming(
  state: FormingEstimates,
  rows: readonly GroupRow[],
  now: MonoTime,
): FormingEstimates {
  const forming: Record<GroupId, FormingGroup> = {};
  for (const { id, epoch, model, phase } of rows) {
    if (phase !== 'forming') continue;
    const known = state.forming[id];
    forming[id] = known?.epoch === epoch ? known : { epoch, model, since: now };
  }
  return { ...state, forming };
}

/** Adds the forming time of a group that became routable to its model's running mean. */
export function recordFormingTime(
  state: FormingEstimates,
  group: GroupId,
  now: MonoTime,
): FormingEstimates {
  const known = state.forming[group];
  if (!known) return state;
  const formingMs = now - known.since;
  const previousMs = state.meanMs[known.model];
  const meanMs =
    previousMs === undefined ? formingMs : previousMs + NEWEST_WEIGHT * (formingMs - previousMs);
  return { ...state, meanMs: { ...state.meanMs, [known.model]: meanMs } };
}

/** When the next forming group of the model should serve; undefined if none is forming. */
export function estimateReadyAt(
  state: FormingEstimates,
  model: ModelId,
  now: MonoTime,
): MonoTime | undefined {
  const meanMs = state.meanMs[model] ?? INITIAL_ESTIMATE_MS;
  const since = Object.values<FormingGroup>(state.forming)
    .filter((one) => one.model === model)
    .map((one) => one.since);
  if (since.length === 0) return undefined;
  return Math.max(later(Math.min(...since) as MonoTime, meanMs), now) as MonoTime;
}

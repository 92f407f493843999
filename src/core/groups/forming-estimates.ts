/** When a group that forms is likely to serve, learnt from those before it. */

import { later } from '../ids';
import type { Epoch, GroupId, ModelId, MonoTime } from '../ids';
import type { GroupRow } from './types';

/** Weight of the newest forming time in the running mean. */
const NEWEST = 0.3;
/** Before the first group of a model was seen to form, milliseconds. */
const FIRST_GUESS_MS = 10_000;

interface Forming {
  readonly epoch: Epoch;
  readonly model: ModelId;
  readonly since: MonoTime;
}

export interface FormingEstimates {
  readonly forming: Readonly<Record<GroupId, Forming>>;
  readonly meanMs: Readonly<Record<ModelId, number>>;
}

export const NO_FORMING_ESTIMATES: FormingEstimates = { forming: {}, meanMs: {} };

/** Notes which groups are forming now; forgets those that are gone. */
export function trackForming(
  state: FormingEstimates,
  rows: readonly GroupRow[],
  now: MonoTime,
): FormingEstimates {
  const forming: Record<GroupId, Forming> = {};
  for (const { id, epoch, model, phase } of rows) {
    if (phase !== 'forming') continue;
    const known = state.forming[id];
    forming[id] = known?.epoch === epoch ? known : { epoch, model, since: now };
  }
  return { ...state, forming };
}

/** Learns from a group that became routable. */
export function recordFormingTime(
  state: FormingEstimates,
  group: GroupId,
  now: MonoTime,
): FormingEstimates {
  const known = state.forming[group];
  if (!known) return state;
  const took = now - known.since;
  const before = state.meanMs[known.model];
  const mean = before === undefined ? took : before + NEWEST * (took - before);
  return { ...state, meanMs: { ...state.meanMs, [known.model]: mean } };
}

/** The earliest instant at which a forming group of the model should serve. */
export function estimateReadyAt(
  state: FormingEstimates,
  model: ModelId,
  now: MonoTime,
): MonoTime | undefined {
  const needs = state.meanMs[model] ?? FIRST_GUESS_MS;
  const since = Object.values<Forming>(state.forming)
    .filter((one) => one.model === model)
    .map((one) => one.since);
  if (since.length === 0) return undefined;
  return Math.max(later(Math.min(...since) as MonoTime, needs), now) as MonoTime;
}

/**
 * Decides whether daemons that the leader does not hear of may hold answers that it does not know.
 *
 * Load pattern: one daemon of several is cut off from the leader, or does not run for some seconds, while a group
 * has a silent member. The loads of the others name no answer of that group, and to end it would break those off
 * that the unheard daemon holds. A daemon that has crashed is not heard either, until its entry has lapsed.
 */

import { later } from '../ids';
import type { DaemonId, MonoTime } from '../ids';

/** What a daemon last told. */
export interface DaemonState {
  readonly id: DaemonId;
  readonly at: MonoTime;
  readonly isStopping: boolean;
  /** Its answers by head. */
  readonly running: readonly unknown[];
}

interface UnheardDaemon {
  readonly since: MonoTime;
  /** Whether it was stopping and held no answer any more. */
  readonly hasStopped: boolean;
}

export type UnheardDaemons = ReadonlyMap<DaemonId, UnheardDaemon>;

/** Daemons of a large fleet tell their loads every 400 ms; older ones may lack what was sent since. */
const HEARD_MS = 600;
/** Answers of a daemon that has not been heard for longer have reached their deadlines: most are below 10 s. */
const ANSWERS_END_MS = 15_000;

/**
 * The daemons that are not heard, of those that are registered or were heard a moment ago. One that is in neither
 * has left, or its entry has lapsed.
 */
export function noteUnheard(
  before: UnheardDaemons,
  registered: Iterable<DaemonId>,
  states: readonly DaemonState[],
  now: MonoTime,
): UnheardDaemons {
  const stateOf = new Map(states.map((state) => [state.id, state]));
  const ids = new Set([...registered, ...stateOf.keys()]);
  return new Map(
    [...ids].flatMap((id): [DaemonId, UnheardDaemon][] => {
      const state = stateOf.get(id);
      if (state && now < later(state.at, HEARD_MS)) return [];
      if (!state) return [[id, before.get(id) ?? { since: now, hasStopped: false }]];
      const hasStopped = state.isStopping && state.running.length === 0;
      return [[id, { since: state.at, hasStopped }]];
    }),
  );
}

/** Whether any of the daemons may hold answers. */
export function mayHoldAnswers(unheard: UnheardDaemons, now: MonoTime): boolean {
  return [...unheard.values()].some(
    ({ since, hasStopped }) => !hasStopped && now < later(since, ANSWERS_END_MS),
  );
}

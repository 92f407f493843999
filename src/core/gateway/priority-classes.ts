/**
 * Priority classes of a model's requests, over all daemons.
 *
 * Load pattern: more requests arrive than there are slots for, and they differ in priority. One daemon sees
 * four or five of the several hundred requests a second, so the order within its own queue says little about
 * who is served. The loads of all daemons are therefore exchanged by priority.
 */

import { expectLoad } from './capacity';
import type { ExpectedLoad, OfferedLoad } from './capacity';

/** Load of one priority class of a model; class 0 is the most urgent. */
export interface ClassLoad extends OfferedLoad {
  readonly priority: number;
}

/** What a priority class competes with. */
export interface ClassRank {
  readonly priority: number;
  /** Loads of all more urgent classes, of each daemon known or of all. */
  readonly urgent: readonly ClassLoad[];
  /** Loads of all less urgent classes. */
  readonly lessUrgent: readonly ClassLoad[];
}

const NO_LOAD: OfferedLoad = { waiting: 0, perSecond: 0 };

/** The sum of the loads whose class satisfies `includes`. */
export function sumClasses(
  classes: readonly ClassLoad[],
  includes: (priority: number) => boolean,
): OfferedLoad {
  return classes
    .filter(({ priority }) => includes(priority))
    .reduce<OfferedLoad>(
      (sum, { waiting, perSecond }) => ({
        waiting: sum.waiting + waiting,
        perSecond: sum.perSecond + perSecond,
      }),
      NO_LOAD,
    );
}

/** The rank of a class among the classes of all daemons. */
export function rankOf(classes: readonly ClassLoad[], priority: number): ClassRank {
  return {
    priority,
    urgent: classes.filter((other) => other.priority < priority),
    lessUrgent: classes.filter((other) => other.priority > priority),
  };
}

/** The sum of the expected loads: a backlog of one class is late even if another class has none. */
export function expectClasses(
  classes: readonly ClassLoad[],
  ages: Parameters<typeof expectLoad>[1],
): ExpectedLoad {
  return classes
    .map((load) => expectLoad(load, ages))
    .reduce((sum, { onTime, late }) => ({ onTime: sum.onTime + onTime, late: sum.late + late }), {
      onTime: 0,
      late: 0,
    });
}

/** What a daemon knows when it decides whether to hold a class back. */
export interface ViewState {
  /** Whether the loads of the other daemons are known and fresh. */
  readonly hasPeerLoads: boolean;
  /** Requests in the model's groups, divided by their slots. */
  readonly occupancy: number;
}

/** Occupancy above which a daemon without a current view serves only its more urgent classes. */
const NEARLY_FULL = 0.9;

/**
 * Whether a class has no capacity because the load of the other daemons is unknown: it belongs to the less
 * urgent half of the daemon's classes, and the groups are nearly full.
 */
export function isHeldBack(
  priorities: readonly number[],
  priority: number,
  { hasPeerLoads, occupancy }: ViewState,
): boolean {
  if (hasPeerLoads || occupancy <= NEARLY_FULL) return false;
  const moreUrgent = new Set(priorities.filter((other) => other < priority)).size;
  return moreUrgent >= Math.ceil(new Set([...priorities, priority]).size / 2);
}

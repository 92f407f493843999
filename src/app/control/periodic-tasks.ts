/** Runs named tasks periodically, each at its own interval. */

import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';

/** Tracks when each task is due next. */
export interface PeriodicTasks<K extends string> {
  /** Runs `work` if the task is due and schedules its next run; the first call always runs it. */
  runIfDue(task: K, now: MonoTime, everyMs: number, work: () => void): void;
  /** Makes the task due at the next tick. */
  markDue(task: K): void;
}

export function createPeriodicTasks<K extends string>(): PeriodicTasks<K> {
  const dueAt = new Map<K, MonoTime>();
  return {
    runIfDue: (task, now, everyMs, work) => {
      const at = dueAt.get(task);
      if (at !== undefined && now < at) return;
      dueAt.set(task, later(now, everyMs));
      work();
    },
    markDue: (task) => {
      dueAt.delete(task);
    },
  };
}

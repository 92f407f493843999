/** Work that is done again and again, each kind at its own interval. */

import { later } from '../../core/ids';
import type { MonoTime } from '../../core/ids';

export interface Due<K extends string> {
  /** Runs `work` if its time has come, and sets its next time; the first call always runs. */
  run(kind: K, now: MonoTime, everyMs: number, work: () => void): void;
  /** Makes `kind` due at the next tick. */
  now(kind: K): void;
}

export function createDue<K extends string>(): Due<K> {
  const dueAt = new Map<K, MonoTime>();
  return {
    run: (kind, now, everyMs, work) => {
      const at = dueAt.get(kind);
      if (at !== undefined && now < at) return;
      dueAt.set(kind, later(now, everyMs));
      work();
    },
    now: (kind) => {
      dueAt.delete(kind);
    },
  };
}

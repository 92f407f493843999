/** Probes of groups that the request plane asks for while they may not be given requests. */

import type { WatchState } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { GroupId, MonoTime } from '../../core/ids';
import type { ControlContext } from './context';
import type { Probes } from './probes';

export interface Demand {
  /** Probes a group now, unless it was not long ago. */
  want(state: WatchState): void;
  /** After evidence against a group: the next probe need not wait. */
  hurry(group: GroupId): void;
  /** The group serves again. */
  settled(group: GroupId): void;
  /** Drops what is kept of groups that are gone. */
  keep(groups: ReadonlySet<GroupId>): void;
}

interface Asked {
  readonly nextAt: MonoTime;
  readonly waitMs: number;
}

const FIRST_WAIT_MS = 250;
const LONGEST_WAIT_MS = 5_000;

export function createDemand(ctx: ControlContext, probes: Probes): Demand {
  const asked = new Map<GroupId, Asked>();
  return {
    want: ({ id, row }) => {
      const now = ctx.clock.now();
      const before = asked.get(id);
      if (before && now < before.nextAt) return;
      if (!probes.demand(row.members)) return;
      const waitMs = Math.min((before?.waitMs ?? FIRST_WAIT_MS / 2) * 2, LONGEST_WAIT_MS);
      // Spread, so that daemons which lost the same group don't probe it in step.
      asked.set(id, { nextAt: later(now, waitMs * (0.5 + ctx.random.next())), waitMs });
    },
    hurry: (group) => {
      asked.delete(group);
    },
    settled: (group) => {
      asked.delete(group);
    },
    keep: (groups) => {
      for (const id of asked.keys()) {
        if (!groups.has(id)) asked.delete(id);
      }
    },
  };
}

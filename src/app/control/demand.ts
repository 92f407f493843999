/** Probes of groups that the request plane asks for while they may not be given requests. */

import type { WatchState } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { GroupId, MonoTime } from '../../core/ids';
import type { ControlContext } from './context';
import type { Probes } from './probes';

export interface Demand {
  /** Probes a group now, unless it was not long ago; waits longer each time. */
  readonly want: (state: WatchState) => void;
  /** Probes a group that is in use and whose observations are about to go stale. */
  readonly renew: (state: WatchState) => void;
  /** After evidence against a group: probes it now, and goes on until it is settled. */
  pursue(state: WatchState): void;
  /** Probes the groups that are pursued. */
  tick(find: (group: GroupId) => WatchState | undefined): void;
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
/** How long a group is probed after evidence without being asked for. */
const PURSUED_MS = 30_000;

export function createDemand(ctx: ControlContext, probes: Probes): Demand {
  const asked = new Map<GroupId, Asked>();
  const pursued = new Map<GroupId, MonoTime>();

  const ask = ({ id, row }: WatchState, waitMs: number): void => {
    const now = ctx.clock.now();
    if (now < (asked.get(id)?.nextAt ?? now)) return;
    if (!probes.demand(row.members)) return;
    // Spread, so that daemons which lost the same group don't probe it in step.
    asked.set(id, { nextAt: later(now, waitMs * (0.5 + ctx.random.next())), waitMs });
  };

  const want = (state: WatchState): void => {
    const before = asked.get(state.id)?.waitMs ?? FIRST_WAIT_MS / 2;
    ask(state, Math.min(before * 2, LONGEST_WAIT_MS));
  };

  return {
    want,
    renew: (state) => {
      ask(state, FIRST_WAIT_MS);
    },
    pursue: (state) => {
      asked.delete(state.id);
      pursued.set(state.id, later(ctx.clock.now(), PURSUED_MS));
      want(state);
    },
    tick: (find) => {
      const now = ctx.clock.now();
      for (const [id, until] of pursued) {
        const state = find(id);
        if (state && now < until) want(state);
        else pursued.delete(id);
      }
    },
    settled: (group) => {
      asked.delete(group);
      pursued.delete(group);
    },
    keep: (groups) => {
      for (const id of asked.keys()) {
        if (!groups.has(id)) asked.delete(id);
      }
    },
  };
}

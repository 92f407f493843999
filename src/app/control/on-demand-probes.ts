/** Probes groups outside the regular interval, when requests need a fresh observation of them. */

import type { WatchState } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { GroupId, MonoTime } from '../../core/ids';
import type { ControlContext } from './context';
import type { Probes } from './probes';

/** On-demand probes with a backoff for each group. */
export interface OnDemandProbes {
  /** Probes an unroutable group, with exponential backoff between probes. */
  readonly want: (state: WatchState) => void;
  /** Probes a group in use whose observations soon go stale; doesn't increase the backoff. */
  readonly renew: (state: WatchState) => void;
  /** After a failed request: probes the group now, and repeatedly until it is ready again. */
  probeUntilReady(state: WatchState): void;
  /** Repeats the probes that `probeUntilReady` began. */
  tick(find: (group: GroupId) => WatchState | undefined): void;
  /** Resets the backoff of a group that is routable again. */
  onReady(group: GroupId): void;
  /** Drops the backoff of all groups but these. */
  retain(groups: ReadonlySet<GroupId>): void;
}

interface ProbeBackoff {
  readonly nextAt: MonoTime;
  readonly waitMs: number;
}

const MIN_WAIT_MS = 250;
const MAX_WAIT_MS = 5_000;
/** How long `probeUntilReady` repeats its probes. */
const REPROBE_WINDOW_MS = 30_000;

export function createOnDemandProbes(ctx: ControlContext, probes: Probes): OnDemandProbes {
  const backoffs = new Map<GroupId, ProbeBackoff>();
  const reprobeUntil = new Map<GroupId, MonoTime>();

  const probe = ({ id, row }: WatchState, waitMs: number): void => {
    const now = ctx.clock.now();
    if (now < (backoffs.get(id)?.nextAt ?? now)) return;
    if (!probes.probeNow(row.members)) return;
    // Randomized, so that daemons which lost the same group don't probe it in step.
    backoffs.set(id, { nextAt: later(now, waitMs * (0.5 + ctx.random.next())), waitMs });
  };

  const want = (state: WatchState): void => {
    const previousMs = backoffs.get(state.id)?.waitMs ?? MIN_WAIT_MS / 2;
    probe(state, Math.min(previousMs * 2, MAX_WAIT_MS));
  };

  return {
    want,
    renew: (state) => {
      probe(state, MIN_WAIT_MS);
    },
    probeUntilReady: (state) => {
      backoffs.delete(state.id);
      reprobeUntil.set(state.id, later(ctx.clock.now(), REPROBE_WINDOW_MS));
      want(state);
    },
    tick: (find) => {
      const now = ctx.clock.now();
      for (const [id, until] of reprobeUntil) {
        const state = find(id);
        if (state && now < until) want(state);
        else reprobeUntil.delete(id);
      }
    },
    onReady: (group) => {
      backoffs.delete(group);
      reprobeUntil.delete(group);
    },
    retain: (groups) => {
      for (const id of backoffs.keys()) {
        if (!groups.has(id)) backoffs.delete(id);
      }
    },
  };
}

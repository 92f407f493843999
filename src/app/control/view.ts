/** The request plane's view of groups: which are routable, expected soon, or lost. */

import {
  NO_FORMING_ESTIMATES,
  estimateReadyAt,
  trackForming,
  recordFormingTime,
} from '../../core/groups/forming-estimates';
import { isAwaitingProbe } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { GroupView } from '../parts';
import type { ControlContext } from './context';
import type { OnDemandProbes } from './on-demand-probes';
import { createLosses } from './losses';
import { selectRoutable } from './watches';
import type { WatchChange, Watches } from './watches';

/** Time within which an on-demand probe is expected to be answered. */
const EXPECTED_PROBE_MS = 100;

/** The group view offered to the request plane, with its inputs. */
export interface View extends GroupView {
  /** Handles a group that became or stopped being routable. */
  onWatchChange(change: WatchChange): void;
  /** Updates the forming estimates and drops the probe backoff of removed groups. */
  trackForming(): void;
}

export function createView(
  ctx: ControlContext,
  watches: Watches,
  onDemandProbes: OnDemandProbes,
): View {
  const { clock } = ctx;
  const losses = createLosses(ctx, watches);
  let estimates = NO_FORMING_ESTIMATES;
  return {
    routable: (model) =>
      selectRoutable(watches.ofModel(model), clock.now(), {
        missing: onDemandProbes.want,
        expiring: onDemandProbes.renew,
      }),
    expectedAt: (model) => {
      const now = clock.now();
      for (const { state } of watches.ofModel(model)) {
        if (isAwaitingProbe(state, now)) return later(clock.epoch(), EXPECTED_PROBE_MS);
      }
      const at = estimateReadyAt(estimates, model, now);
      return at && later(clock.epoch(), at - now);
    },
    report: ({ group, epoch, kind }) => {
      // A full group refuses as well, so a refusal is no evidence about its members.
      if (kind === 'refused') return;
      watches.evidence(group, epoch);
      const state = watches.get(group);
      if (state) onDemandProbes.probeUntilReady(state);
    },
    lost: losses.lost,
    onWatchChange: (change) => {
      losses.note(change);
      if (change.kind !== 'ready') return;
      estimates = recordFormingTime(estimates, change.group, clock.now());
      onDemandProbes.onReady(change.group);
    },
    trackForming: () => {
      const rows = watches.all().map(({ row }) => row);
      estimates = trackForming(estimates, rows, clock.now());
      onDemandProbes.retain(new Set(rows.map(({ id }) => id)));
    },
  };
}

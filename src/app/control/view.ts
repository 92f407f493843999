/** Where model requests may go, as the request plane asks and is told. */

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
import type { Demand } from './demand';
import { createLosses } from './losses';
import { routableNow } from './watches';
import type { WatchChange, Watches } from './watches';

/** A probe on demand should be answered within this time. */
const PROBE_MS = 100;

export interface View extends GroupView {
  /** A group became routable or ceased to be. */
  note(change: WatchChange): void;
  /** Looks at which groups are forming. */
  refresh(): void;
}

export function createView(ctx: ControlContext, watches: Watches, demand: Demand): View {
  const { clock } = ctx;
  const losses = createLosses(ctx, watches);
  let expectations = NO_FORMING_ESTIMATES;
  return {
    routable: (model) =>
      routableNow(watches.ofModel(model), clock.now(), {
        missing: demand.want,
        expiring: demand.renew,
      }),
    expectedAt: (model) => {
      const now = clock.now();
      for (const { state } of watches.ofModel(model)) {
        if (isAwaitingProbe(state, now)) return later(clock.epoch(), PROBE_MS);
      }
      const at = estimateReadyAt(expectations, model, now);
      return at && later(clock.epoch(), at - now);
    },
    report: ({ group, epoch, kind }) => {
      // A full group refuses too; that says nothing of its members.
      if (kind === 'refused') return;
      watches.evidence(group, epoch);
      const state = watches.get(group);
      if (state) demand.pursue(state);
    },
    lost: losses.lost,
    note: (change) => {
      losses.note(change);
      if (change.kind !== 'ready') return;
      expectations = recordFormingTime(expectations, change.group, clock.now());
      demand.settled(change.group);
    },
    refresh: () => {
      const rows = watches.all().map(({ row }) => row);
      expectations = trackForming(expectations, rows, clock.now());
      demand.keep(new Set(rows.map(({ id }) => id)));
    },
  };
}

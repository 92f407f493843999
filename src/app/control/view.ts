/** Where model requests may go, as the request plane asks and is told. */

import { NO_EXPECTATIONS, expectedAt, noteForming, noteReady } from '../../core/groups/expect';
import type { RoutableGroup } from '../../core/groups/types';
import { isUnsettled } from '../../core/groups/watch';
import { later } from '../../core/ids';
import type { GroupView } from '../parts';
import type { ControlContext } from './context';
import type { Demand } from './demand';
import { createLosses } from './losses';
import type { WatchChange, Watches } from './watches';

/** A group in use is probed when its observations have no longer than this to go. */
const RENEW_BEFORE_MS = 1_000;
/** A probe on demand should be answered within this time. */
const PROBE_MS = 100;

export interface View extends GroupView {
  /** A group became routable or ceased to be. */
  note(change: WatchChange): void;
  /** Looks at which groups are forming. */
  refresh(): void;
}

export function createView(ctx: ControlContext, watches: Watches, demand: Demand): View {
  const { clock, config } = ctx;
  const losses = createLosses(ctx, watches);
  let expectations = NO_EXPECTATIONS;
  return {
    routable: (model) => {
      const now = clock.now();
      const maxBatch = config.current().models[model]?.maxBatch ?? 1;
      const groups: RoutableGroup[] = [];
      for (const { state, routable } of watches.ofModel(model)) {
        if (!routable || now >= routable.routableUntil) {
          demand.want(state);
          continue;
        }
        groups.push({ ...routable, maxBatch });
        if (routable.routableUntil - now < RENEW_BEFORE_MS) demand.renew(state);
      }
      return groups;
    },
    expectedAt: (model) => {
      const now = clock.now();
      for (const { state } of watches.ofModel(model)) {
        if (isUnsettled(state, now)) return later(clock.epoch(), PROBE_MS);
      }
      const at = expectedAt(expectations, model, now);
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
      expectations = noteReady(expectations, change.group, clock.now());
      demand.settled(change.group);
    },
    refresh: () => {
      const rows = watches.all().map(({ row }) => row);
      expectations = noteForming(expectations, rows, clock.now());
      demand.keep(new Set(rows.map(({ id }) => id)));
    },
  };
}

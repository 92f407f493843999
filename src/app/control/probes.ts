/** Probes the instances that this daemon watches, each once an interval, spread over it. */

import type { EngineReport } from '../../core/groups/types';
import { later } from '../../core/ids';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { StepError } from '../../utils/errors';
import { logFailure, settleCall } from './context';
import type { ControlContext } from './context';

export interface ProbeHooks {
  reported(report: EngineReport, sentAt: MonoTime): void;
  silent(instance: InstanceId, sentAt: MonoTime): void;
}

export interface Probes {
  /** Sets what is probed each interval. */
  assign(targets: ReadonlyMap<InstanceId, string>): void;
  /** Starts the probes that are due. */
  tick(probeMs: number): void;
  /** Probes at once, within the budget of probes on demand; false when that is spent. */
  demand(targets: readonly ProbeTarget[]): boolean;
  readonly assigned: number;
}

export interface ProbeTarget {
  readonly instance: InstanceId;
  readonly address: string;
}

const MS_PER_SECOND = 1_000;

export function createProbes(ctx: ControlContext, hooks: ProbeHooks): Probes {
  let assigned: ReadonlyMap<InstanceId, string> = new Map();
  const dueAt = new Map<InstanceId, MonoTime>();
  const running = new Set<InstanceId>();
  let tokens = ctx.settings.demandPerSecond;
  let filledAt = ctx.clock.now();

  const probe = ({ instance, address }: ProbeTarget): void => {
    if (running.has(instance)) return;
    running.add(instance);
    const sentAt = ctx.clock.now();
    const onSilent = (err?: StepError): void => {
      running.delete(instance);
      if (err) logFailure(ctx, err);
      hooks.silent(instance, sentAt);
    };
    const onReport = (report: EngineReport): void => {
      // Another instance has taken over the address.
      if (report.instance !== instance) {
        onSilent();
        return;
      }
      running.delete(instance);
      hooks.reported(report, sentAt);
    };
    settleCall(ctx, ctx.engine.report(address), onReport, onSilent);
  };

  const refill = (now: MonoTime): void => {
    const { demandPerSecond } = ctx.settings;
    const gained = ((now - filledAt) / MS_PER_SECOND) * demandPerSecond;
    tokens = Math.min(demandPerSecond, tokens + gained);
    filledAt = now;
  };

  return {
    assign: (targets) => {
      assigned = targets;
      for (const id of dueAt.keys()) {
        if (!targets.has(id)) dueAt.delete(id);
      }
    },
    tick: (probeMs) => {
      const now = ctx.clock.now();
      for (const [instance, address] of assigned) {
        const due = dueAt.get(instance);
        if (due !== undefined && now < due) continue;
        // The first one at once; then spread, so that probes don't go out in one burst.
        const spread = due === undefined ? ctx.random.next() : 1;
        dueAt.set(instance, later(now, probeMs * spread));
        probe({ instance, address });
      }
    },
    demand: (targets) => {
      refill(ctx.clock.now());
      if (tokens < targets.length) return false;
      tokens -= targets.length;
      for (const target of targets) probe(target);
      return true;
    },
    get assigned() {
      return assigned.size;
    },
  };
}

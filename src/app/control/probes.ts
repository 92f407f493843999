/** Probes the instances assigned to this daemon, each once an interval, spread over the interval. */

import type { EngineReport } from '../../core/groups/types';
import { later } from '../../core/ids';
import type { InstanceId, MonoTime } from '../../core/ids';
import type { StepError } from '../../utils/errors';
import { logFailure, settleCall } from './context';
import type { ControlContext } from './context';

/** Outcomes of probes; `sentAt` is when the probe was sent. */
export interface ProbeHooks {
  reported(report: EngineReport, sentAt: MonoTime): void;
  /** No valid answer from this instance. */
  silent(instance: InstanceId, sentAt: MonoTime): void;
}

/** Sends the probes of this daemon. */
export interface Probes {
  /** Sets the instances to probe each interval, with their addresses. */
  assign(targets: ReadonlyMap<InstanceId, string>): void;
  /** Sends the probes that are due. */
  tick(probeMs: number): void;
  /** Probes at once, within the rate limit of on-demand probes; false when that is exhausted. */
  probeNow(targets: readonly ProbeTarget[]): boolean;
  /** Number of instances probed each interval. */
  readonly assignedCount: number;
}

/** An instance to probe and its address. */
export interface ProbeTarget {
  readonly instance: InstanceId;
  readonly address: string;
}

const MS_PER_SECOND = 1_000;

export function createProbes(ctx: ControlContext, hooks: ProbeHooks): Probes {
  let assigned: ReadonlyMap<InstanceId, string> = new Map();
  const dueAt = new Map<InstanceId, MonoTime>();
  const running = new Set<InstanceId>();
  let tokens = ctx.settings.onDemandProbesPerSecond;
  let refilledAt = ctx.clock.now();

  const probe = ({ instance, address }: ProbeTarget): void => {
    if (running.has(instance)) return;
    running.add(instance);
    const sentAt = ctx.clock.now();
    const onNoAnswer = (err?: StepError): void => {
      running.delete(instance);
      if (err) logFailure(ctx, err);
      hooks.silent(instance, sentAt);
    };
    const onReport = (report: EngineReport): void => {
      // Another instance answers at this address now.
      if (report.instance !== instance) {
        onNoAnswer();
        return;
      }
      running.delete(instance);
      hooks.reported(report, sentAt);
    };
    settleCall(ctx, ctx.engine.report(address), onReport, onNoAnswer);
  };

  const refill = (now: MonoTime): void => {
    const { onDemandProbesPerSecond } = ctx.settings;
    const refilled = ((now - refilledAt) / MS_PER_SECOND) * onDemandProbesPerSecond;
    tokens = Math.min(onDemandProbesPerSecond, tokens + refilled);
    refilledAt = now;
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
        const nextAt = dueAt.get(instance);
        if (nextAt !== undefined && now < nextAt) continue;
        // A random first interval spreads the probes, so that they don't go out in one burst.
        const fraction = nextAt === undefined ? ctx.random.next() : 1;
        dueAt.set(instance, later(now, probeMs * fraction));
        probe({ instance, address });
      }
    },
    probeNow: (targets) => {
      refill(ctx.clock.now());
      if (tokens < targets.length) return false;
      tokens -= targets.length;
      for (const target of targets) probe(target);
      return true;
    },
    get assignedCount() {
      return assigned.size;
    },
  };
}

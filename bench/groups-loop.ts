/** Simulates the domain reducer with one domain, one holder and engines with fixed durations. */

import { createDomain, reduceDomain } from '../src/core/groups/domain';
import type {
  DomainEffect,
  DomainEvent,
  DomainSettings,
  DomainState,
  GroupTransaction,
  ModelPlan,
} from '../src/core/groups/domain-types';
import { groupsOf } from '../src/core/groups/health';
import { keyOf } from '../src/core/groups/rows';
import { openSlots } from '../src/core/groups/slots';
import type { GroupRow, InstanceInfo } from '../src/core/groups/types';
import type { DomainId, Epoch, FencingNumber, ModelId, MonoTime, ZoneId } from '../src/core/ids';
import {
  createFakeEngine,
  holds,
  executeOrder,
  advanceEngine,
  reportOf,
  restart,
} from '../tests/support/control-engine';
import type { FakeEngine } from '../tests/support/control-engine';
import { TIMES } from './groups-history';
import type { Fault } from './groups-history';

export interface LoopOptions {
  readonly instances: number;
  readonly models: readonly ModelPlan[];
  readonly faults: readonly Fault[];
  readonly days: number;
  readonly settings?: Partial<DomainSettings>;
}

/** Totals over the complete history. */
export interface LoopResult {
  /** Seconds in which a wanted group could not serve, by model. */
  readonly downtimeS: Readonly<Record<string, number>>;
  /** Accelerator-seconds of running instances that no serving group held. */
  readonly strandedS: number;
  readonly loads: number;
  readonly faults: number;
}

const DOMAIN = 'd' as DomainId;
const MS = 1_000;
const SECONDS_A_DAY = 86_400;
/** Seconds without a change after which the simulation uses longer steps. */
const UNCHANGED_S = 20;
const SLOW_STEP_S = 10;
/** Members that the weight store serves concurrently at full rate; more share its bandwidth. */
const STORE_PARALLEL = 4;

export interface Loop {
  readonly engines: Map<string, FakeEngine>;
  state: DomainState;
  now: number;
  loads: number;
  changed: boolean;
  version: number;
}

/** A domain of idle instances, permanently held by one daemon. */
export function createLoop({
  instances,
  models,
  settings,
}: Omit<LoopOptions, 'faults' | 'days'>): Loop {
  const engines = new Map<string, FakeEngine>();
  for (let i = 0; i < instances; i++) {
    const id = `e${String(i).padStart(3, '0')}`;
    engines.set(id, createFakeEngine({ id }));
  }
  const options = { domain: DOMAIN, ...(settings && { settings }) };
  const state = createDomain(options, 0 as MonoTime);
  const loop: Loop = { engines, state, now: 0, loads: 0, changed: false, version: 1 };
  const lease = { fencing: 1 as FencingNumber, fenceVersion: 1, validUntil: Infinity as MonoTime };
  configure(loop, models);
  tell(loop, { kind: 'listed', instances: factsOf(engines) });
  tell(loop, { kind: 'leased', lease });
  return loop;
}

export function configure(loop: Loop, models: readonly ModelPlan[]): void {
  const plans = Object.fromEntries(models.map((plan) => [plan.id, plan]));
  tell(loop, { kind: 'configured', models: plans });
}

function factsOf(engines: ReadonlyMap<string, FakeEngine>): readonly InstanceInfo[] {
  return [...engines.values()].map(({ id, address }) => ({
    id,
    address,
    domain: DOMAIN,
    zone: 'z' as ZoneId,
    accelerators: 1,
    leaving: false,
    checksFencing: true,
  }));
}

function tell(loop: Loop, event: DomainEvent): void {
  const step = reduceDomain(loop.state, event, { now: (loop.now * MS) as MonoTime });
  loop.state = step.state;
  for (const effect of step.effects) run[effect.kind](loop, effect as never);
}

const run: {
  readonly [K in DomainEffect['kind']]: (
    loop: Loop,
    effect: Extract<DomainEffect, { kind: K }>,
  ) => void;
} = {
  read: (loop, { instances }) => {
    const groups = Object.values<DomainState['groups'][GroupRow['id']]>(loop.state.groups);
    const rows = instances.map(
      (instance) =>
        loop.state.instanceRows[instance] ?? {
          version: 0,
          row: { instance, epoch: 0 as Epoch, fencing: 0 as FencingNumber },
        },
    );
    tell(loop, { kind: 'read', groups, instances: rows });
  },
  commit: (loop, { transaction }) => {
    loop.changed = true;
    tell(loop, { kind: 'committed', id: transaction.id, versions: versionsOf(loop, transaction) });
  },
  order: (loop, { instance, order }) => {
    const engine = loop.engines.get(instance);
    if (!engine) return;
    const wasLoading = engine.loading;
    const loading = [...loop.engines.values()].filter((one) => one.loading).length + 1;
    const loadedAt = loop.now + TIMES.load * Math.max(1, loading / STORE_PARALLEL);
    executeOrder(engine, order, { fencing: 1, loadedAt }, loop.now);
    if (engine.loading && engine.loading !== wasLoading) loop.loads++;
    loop.changed = true;
    report(loop, engine);
  },
};

function versionsOf(loop: Loop, tx: GroupTransaction): Readonly<Record<string, number>> {
  loop.version++;
  const puts = tx.writes.filter(({ write }) => write.row !== undefined);
  return Object.fromEntries(puts.map(({ write }) => [keyOf(write), loop.version]));
}

function report(loop: Loop, engine: FakeEngine): void {
  const sentAt = (loop.now * MS) as MonoTime;
  const instance = engine.id;
  if (engine.up) tell(loop, { kind: 'reported', instance, report: reportOf(engine), sentAt });
  else tell(loop, { kind: 'silent', instance, sentAt });
}

function injectFault(loop: Loop, fault: Fault, returns: Return[]): void {
  const all = [...loop.engines.values()];
  const one = all[fault.pick % all.length];
  const struck = fault.kind === 'dark' ? all : one ? [one] : [];
  for (const engine of struck) {
    if (!engine.up) continue;
    engine.up = false;
    returns.push({ engine, at: fault.at + fault.forS, fresh: fault.kind !== 'pause' });
  }
}

interface Return {
  readonly engine: FakeEngine;
  readonly at: number;
  /** Restarts as a new process without weights. */
  readonly fresh: boolean;
}

function bringBack(loop: Loop, returns: Return[]): void {
  for (const one of returns.filter(({ at }) => at <= loop.now)) {
    returns.splice(returns.indexOf(one), 1);
    one.engine.up = true;
    loop.changed = true;
    if (one.fresh) restart(one.engine, loop.now);
  }
}

/** Whether every member serves the group, according to the engines' own state. */
export function isServing(loop: Loop, row: GroupRow): boolean {
  if (row.phase === 'draining') return false;
  return row.members.every(({ instance }) => {
    const engine = loop.engines.get(instance);
    return engine !== undefined && holds(engine, row.id, row.epoch) && engine.state === 'serving';
  });
}

interface Sums {
  readonly downtimeS: Record<string, number>;
  strandedS: number;
}

/** Accumulates the current shortfall, according to the engines' own state, over `seconds`. */
function measure(loop: Loop, models: readonly ModelPlan[], sums: Sums, seconds: number): boolean {
  const serving = groupsOf(loop.state).filter((row) => isServing(loop, row));
  const used = new Set(serving.flatMap((row) => row.members.map((member) => member.instance)));
  let allServe = true;
  for (const plan of models) {
    const short = plan.replicas - serving.filter((row) => row.model === plan.id).length;
    if (short > 0) allServe = false;
    sums.downtimeS[plan.id] = (sums.downtimeS[plan.id] ?? 0) + short * seconds;
  }
  const running = [...loop.engines.values()].filter(({ up }) => up);
  sums.strandedS += running.filter(({ id }) => !used.has(id)).length * seconds;
  return allServe;
}

/** One round of probes and one tick. */
export function look(loop: Loop): void {
  for (const engine of loop.engines.values()) advanceEngine(engine, loop.engines, loop.now);
  for (const engine of loop.engines.values()) report(loop, engine);
  const { state } = loop;
  const groups = groupsOf(state);
  const instances = factsOf(loop.engines);
  const open = openSlots({ domain: DOMAIN, models: state.models, groups, instances });
  tell(loop, { kind: 'slots', open, loadsElsewhere: 0 });
  tell(loop, { kind: 'tick' });
}

/** Replays a history; measurement starts once the first groups have had time to form. */
export function playHistory(options: LoopOptions): LoopResult {
  const loop = createLoop(options);
  const sums: Sums = { downtimeS: {}, strandedS: 0 };
  const returns: Return[] = [];
  const faults = [...options.faults];
  const beginAt = TIMES.load * 10;
  const endAt = options.days * SECONDS_A_DAY;
  let unchangedS = 0;
  while (loop.now < endAt) {
    loop.changed = false;
    bringBack(loop, returns);
    for (; faults[0] && faults[0].at <= loop.now; faults.shift()) {
      if (loop.now >= beginAt) injectFault(loop, faults[0], returns);
      loop.changed = true;
    }
    look(loop);
    unchangedS = loop.changed ? 0 : unchangedS + 1;
    const next = Math.min(faults[0]?.at ?? endAt, ...returns.map(({ at }) => at), endAt);
    const step = stepFrom(loop, unchangedS, next);
    const counted = loop.now >= beginAt ? step : 0;
    measure(loop, options.models, sums, counted);
    loop.now += step;
  }
  return { ...sums, loads: loop.loads, faults: options.faults.length };
}

/** Step of one second; longer after a period without changes while no load is in progress. */
function stepFrom(loop: Loop, unchangedS: number, next: number): number {
  const loading = [...loop.engines.values()].some((engine) => engine.loading);
  if (unchangedS < UNCHANGED_S || loading) return 1;
  const isComplete = groupsOf(loop.state).every((row) => isServing(loop, row));
  const maxStepS = isComplete ? Infinity : SLOW_STEP_S;
  return Math.max(1, Math.min(maxStepS, Math.ceil(next - loop.now)));
}

export function modelOf(id: string, change: Omit<ModelPlan, 'id'>): ModelPlan {
  return { id: id as ModelId, ...change };
}

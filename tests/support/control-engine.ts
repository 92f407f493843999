/** A fake engine in memory, as docs/INTERFACES.md describes it, that records the groups it held. */

import type { PlannedOrder } from '../../src/core/groups/domain-types';
import type { EngineReport } from '../../src/core/groups/types';
import type { Epoch, GroupId, InstanceId, ModelId } from '../../src/core/ids';

export type OrderAnswer = 'done' | 'stale-fencing' | 'stale-epoch' | 'other-group' | 'unreachable';

/** Interval during which an engine held a group; `to` is absent while it still does. */
export interface HeldRecord {
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly from: number;
  to?: number;
}

export interface FakeEngine {
  readonly id: InstanceId;
  readonly address: string;
  readonly checksFencing: boolean;
  state: EngineReport['state'];
  group?: GroupId | undefined;
  epoch?: Epoch | undefined;
  rank?: number | undefined;
  model?: ModelId | undefined;
  members: readonly string[];
  weights: Set<ModelId>;
  loading?: { readonly model: ModelId; readonly until: number } | undefined;
  incarnation: number;
  /** Number of weight fetches started by preload orders. */
  preloads: number;
  fencing: number;
  inFlight: number;
  leaving: boolean;
  /** While false, it neither answers nor acts; it keeps its state until set again. */
  up: boolean;
  readonly heldBy: HeldRecord[];
}

export interface FakeEngineOptions {
  readonly id: string;
  readonly checksFencing?: boolean;
  readonly weights?: readonly string[];
}

export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
  return {
    id: options.id as InstanceId,
    address: `${options.id}:1`,
    checksFencing: options.checksFencing ?? true,
    state: 'idle',
    members: [],
    weights: new Set(options.weights as readonly ModelId[] | undefined),
    incarnation: 1,
    preloads: 0,
    fencing: 0,
    inFlight: 0,
    leaving: false,
    up: true,
    heldBy: [],
  };
}

export function reportOf(engine: FakeEngine): EngineReport {
  const { group, epoch, rank, model } = engine;
  return {
    instance: engine.id,
    incarnation: `${engine.id}#${engine.incarnation}`,
    state: engine.state,
    ...(group === undefined ? {} : { group }),
    ...(epoch === undefined ? {} : { epoch }),
    ...(rank === undefined ? {} : { rank }),
    ...(model === undefined ? {} : { model }),
    weights: [...engine.weights],
    inFlight: engine.inFlight,
    queued: 0,
    fencing: engine.fencing,
    leaving: engine.leaving,
  };
}

/** Whether the engine is up and holds the group at this epoch. */
export function holds(engine: FakeEngine, group: GroupId, epoch: Epoch): boolean {
  return engine.up && engine.group === group && engine.epoch === epoch;
}

function leave(engine: FakeEngine, now: number): void {
  const last = engine.heldBy.at(-1);
  if (last) last.to ??= now;
  engine.group = undefined;
  engine.epoch = undefined;
  engine.rank = undefined;
  engine.model = undefined;
  engine.members = [];
}

export interface OrderBy {
  readonly fencing: number;
  /** When a fetch of weights ends, if one is needed. */
  readonly loadedAt: number;
}

/** Executes or refuses an order. */
export function executeOrder(
  engine: FakeEngine,
  order: PlannedOrder,
  by: OrderBy,
  now: number,
): OrderAnswer {
  if (!engine.up) return 'unreachable';
  if (engine.checksFencing && by.fencing < engine.fencing) return 'stale-fencing';
  engine.fencing = Math.max(engine.fencing, by.fencing);
  if (order.kind === 'preload') {
    if (engine.group === undefined && !engine.weights.has(order.model) && !engine.loading) {
      // Its state remains idle during a preload.
      engine.loading = { model: order.model, until: by.loadedAt };
      engine.preloads++;
    }
    return 'done';
  }
  if (order.kind !== 'join') return drainOrRelease(engine, order, now);
  const isOther = engine.group !== undefined && engine.group !== order.group;
  if (isOther && engine.checksFencing) return 'other-group';
  if (engine.group === order.group && (engine.epoch ?? 0) > order.epoch) return 'stale-epoch';
  join(engine, order, by, now);
  return 'done';
}

function join(
  engine: FakeEngine,
  order: Extract<PlannedOrder, { kind: 'join' }>,
  by: OrderBy,
  now: number,
): void {
  const { inFlight } = engine;
  leave(engine, now);
  engine.inFlight = inFlight;
  engine.group = order.group;
  engine.epoch = order.epoch;
  engine.rank = order.rank;
  engine.model = order.model;
  engine.members = order.members.map((member) => member.instance);
  engine.heldBy.push({ group: order.group, epoch: order.epoch, from: now });
  // Rank 0 serves only once all other members do.
  const hasWeights = engine.weights.has(order.model);
  engine.state = hasWeights && order.rank !== 0 ? 'serving' : 'loading';
  if (hasWeights || engine.loading?.model === order.model) return;
  engine.loading = { model: order.model, until: by.loadedAt };
}

function drainOrRelease(
  engine: FakeEngine,
  order: Extract<PlannedOrder, { kind: 'drain' | 'release' }>,
  now: number,
): OrderAnswer {
  if (engine.group !== order.group) return engine.group === undefined ? 'done' : 'other-group';
  if ((engine.epoch ?? 0) > order.epoch) return 'stale-epoch';
  if (order.kind === 'drain') {
    if (engine.state === 'serving') engine.state = 'draining';
    return 'done';
  }
  leave(engine, now);
  engine.inFlight = 0;
  engine.state = 'idle';
  return 'done';
}

/** Advances to `now`: completes a fetch of weights, and lets rank 0 check the other members. */
export function advanceEngine(
  engine: FakeEngine,
  all: ReadonlyMap<string, FakeEngine>,
  now: number,
): void {
  if (!engine.up) return;
  if (engine.loading && now >= engine.loading.until) {
    engine.weights.add(engine.loading.model);
    engine.loading = undefined;
    if (engine.group !== undefined && engine.rank !== 0) engine.state = 'serving';
  }
  if (engine.rank === 0 && engine.group !== undefined) updateGroupState(engine, all);
}

function updateGroupState(engine: FakeEngine, all: ReadonlyMap<string, FakeEngine>): void {
  const { group, epoch, model, state } = engine;
  if (group === undefined || epoch === undefined || model === undefined) return;
  const others = engine.members.filter((id) => id !== engine.id).map((id) => all.get(id));
  const isComplete = others.every((one) => one !== undefined && holds(one, group, epoch));
  const isReady = others.every((one) => one?.state === 'serving' || one?.state === 'draining');
  if (state === 'loading') {
    if (isComplete && isReady && engine.weights.has(model)) engine.state = 'serving';
  } else if (!isComplete) {
    engine.state = 'broken';
    engine.inFlight = 0;
  }
}

/** Restarts the process: it leaves its group, and loses its weights unless `keepsWeights`. */
export function restart(engine: FakeEngine, now: number, keepsWeights = false): void {
  leave(engine, now);
  engine.incarnation++;
  engine.state = 'idle';
  engine.loading = undefined;
  engine.fencing = 0;
  engine.inFlight = 0;
  engine.up = true;
  if (!keepsWeights) engine.weights.clear();
}

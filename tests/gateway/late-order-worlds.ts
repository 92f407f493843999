/**
 * Walks the interleavings of a small fleet, its leaders and orders without an answer. Such an order may be carried out at
 * any later step, after newer ones. A run takes the default at each decision (the order is answered, nothing late is
 * carried out), but for a few deviations; all runs with up to so many deviations are walked, those with fewest first.
 */

import { setImmediate } from 'node:timers/promises';

import type { OrderEffect } from '../../src/core/gateway/forming/state';
import { createFormingState } from '../../src/core/gateway/forming/state';
import { noteResult, noteSuspect, planGroups } from '../../src/core/gateway/forming/plan';
import type { EngineSpec } from '../../src/core/gateway/types';
import type { InstanceId, ModelId } from '../../src/core/ids';
import { createEngineFleet } from '../../stand-ins/users-platform/engines';
import type { EngineFleet } from '../../stand-ins/users-platform/engines';
import { at, ENGINE, LARGE, SERVICE, SMALL } from './support';

const TICK_MS = 100;
const RUNS_PER_TURN = 100;
/** Orders without an answer are carried out so much later. */
const MIN_LATE_MS = 2_000;
const MAX_LATE_MS = 12_000;
/** What is sent again so soon after an order without an answer gets none either. */
const UNANSWERED_MS = 300;
/** Late orders are carried out as early as they can be, or near other orders: elsewhere the time makes no difference. */
const NEAR_MS = 400;
/** The group and its spare are formed by then. */
const CALM_MS = 3_000;

/** An engine whose groups have two members each. */
function pairsOf(...names: readonly ModelId[]): EngineSpec {
  const models = ENGINE.models.filter(({ name }) => names.includes(name));
  return { ...ENGINE, models: models.map((model) => ({ ...model, size: 2 })) };
}

export const ONE_MODEL = pairsOf(SMALL);
export const TWO_MODELS = pairsOf(SMALL, LARGE);

/** What happens to the world beside the orders, and what is decided about it. */
export interface Scenario {
  readonly engine: EngineSpec;
  readonly offeredLoad?: ReadonlyMap<ModelId, number>;
  readonly servers: number;
  /** When the trouble begins, milliseconds. */
  readonly from: number;
  readonly until: number;
  /** Called at each step from `from` on; `decide` names a deviation. */
  readonly step: (world: World) => void;
}

export interface World {
  readonly fleet: EngineFleet;
  /** Milliseconds since the trouble began. */
  readonly sinceMs: number;
  /** The member beside the head of the model's first group, if one serves. */
  readonly member: (model: ModelId) => InstanceId | undefined;
  /** True if the deviation with this label is taken here. */
  readonly decide: (label: string) => boolean;
  /** Another daemon takes the lease over. */
  readonly replaceLeader: () => void;
}

interface PendingOrder {
  readonly effect: OrderEffect;
  readonly sentAt: number;
}

/** One run: whether each decision was open to a deviation, the deviations taken, and what was violated. */
interface Run {
  readonly decisions: number;
  readonly trace: readonly string[];
  readonly violations: readonly string[];
}

const describeOrder = ({ server, order }: OrderEffect): string =>
  `${order.kind} ${'group' in order ? order.group : order.model} to ${server.id}`;

/** Whether the n-th decision deviates. */
type Deviates = (n: number, label: string) => boolean;

function play(scenario: Scenario, deviates: Deviates): Run {
  const fleet = createEngineFleet({
    ...{
      engine: scenario.engine,
      service: SERVICE,
      domains: [scenario.servers],
      hasTraffic: false,
    },
  });
  let state = createFormingState();
  let fencing = 1;
  let decisions = 0;
  let nearUntil = 0;
  const trace: string[] = [];
  let pending: PendingOrder[] = [];
  /** Until when orders get no answer, by key. */
  const unanswered = new Map<string, number>();

  const decide = (label: string): boolean => {
    const timed = `${fleet.now()} ${label}`;
    const isTaken = deviates(decisions, timed);
    decisions += 1;
    if (isTaken) trace.push(timed);
    return isTaken;
  };
  const keep = (effect: OrderEffect): void => {
    pending.push({ effect, sentAt: fleet.now() });
    state = noteResult(state, effect.key, 'unknown');
  };
  const send = (effect: OrderEffect): void => {
    const { order, server, key } = effect;
    nearUntil = fleet.now() + NEAR_MS;
    const isGroupOrder = order.kind === 'join' || order.kind === 'open' || order.kind === 'leave';
    if (fleet.now() < (unanswered.get(key) ?? 0)) {
      keep(effect);
      return;
    }
    if (isGroupOrder && decide(`${describeOrder(effect)} is not answered`)) {
      unanswered.set(key, fleet.now() + UNANSWERED_MS);
      keep(effect);
      return;
    }
    const result = fleet.carryOut(server.id, order);
    state = noteResult(state, key, result);
  };
  const carryOutLate = (one: PendingOrder): boolean => {
    const ageMs = fleet.now() - one.sentAt;
    const isDue = ageMs >= MAX_LATE_MS;
    const isNear = fleet.now() < nearUntil || ageMs < MIN_LATE_MS + TICK_MS;
    const mayCome = ageMs >= MIN_LATE_MS && isNear;
    if (!isDue && !(mayCome && decide(`${describeOrder(one.effect)} is carried out`))) return false;
    fleet.carryOut(one.effect.server.id, one.effect.order);
    return true;
  };
  const member = (model: ModelId): InstanceId | undefined => {
    const joined = [...fleet.servers.values()].map((server) => server.joined);
    return joined.find((one) => one?.state === 'open' && one.model === model)?.members[1];
  };
  while (fleet.now() < scenario.until && fleet.violations.length === 0) {
    fleet.advance(TICK_MS);
    pending = pending.filter((one) => !carryOutLate(one));
    for (const id of fleet.stalled()) state = noteSuspect(state, id, at(fleet.now() + 20_000));
    if (fleet.now() >= scenario.from)
      scenario.step({
        ...{ fleet, member, decide, sinceMs: fleet.now() - scenario.from },
        replaceLeader: () => {
          state = createFormingState();
          fencing += 1;
        },
      });
    const hasTraffic = fleet.now() >= CALM_MS;
    if (hasTraffic) fleet.beginTraffic();
    const plan = planGroups(
      state,
      {
        ...{
          servers: fleet.rows(),
          lapsed: fleet.lapsed(),
          ended: fleet.ended,
          engine: scenario.engine,
        },
        ...{ fencing, hasTraffic },
        ...(hasTraffic && scenario.offeredLoad && { offeredLoad: scenario.offeredLoad }),
      },
      at(fleet.now()),
    );
    state = plan.state;
    for (const effect of plan.orders) send(effect);
  }
  return { decisions, trace, violations: [...fleet.violations] };
}

/** Result of a walk: runs played, and the first run with fewest deviations that violates an invariant. */
export interface Walk {
  readonly runs: number;
  readonly shortest: Pick<Run, 'trace' | 'violations'> | undefined;
}

/** Walks all runs with up to `maxDeviations`, breadth first, and stops at the first violation. */
export async function walk(scenario: Scenario, maxDeviations: number): Promise<Walk> {
  let layer: (readonly number[])[] = [[]];
  let runs = 0;
  for (let depth = 0; depth <= maxDeviations; depth++) {
    const next: (readonly number[])[] = [];
    for (const taken of layer) {
      // The test runner gives up a worker that does not respond.
      if (runs % RUNS_PER_TURN === 0) await setImmediate();
      const indices = new Set(taken);
      const run = play(scenario, (n) => indices.has(n));
      runs += 1;
      if (run.violations.length > 0) return { runs, shortest: run };
      if (depth === maxDeviations) continue;
      for (let n = (taken.at(-1) ?? -1) + 1; n < run.decisions; n++) next.push([...taken, n]);
    }
    layer = next;
  }
  return { runs, shortest: undefined };
}

/** Plays the deviations of a trace, each as soon as a decision begins or ends as it says. */
export function replay(scenario: Scenario, trace: readonly string[]): Run {
  const left = [...trace];
  return play(scenario, (_, label) => {
    const [next] = left;
    const isNext = next !== undefined && (label === next || label.endsWith(` ${next}`));
    if (isNext) left.shift();
    return isNext;
  });
}

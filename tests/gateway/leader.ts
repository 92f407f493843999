/** Runs the group planner's core against a simulated fleet, as the lease holder does. */

import { createFormingState } from '../../src/core/gateway/forming/state';
import type {
  FormingMechanism,
  FormingState,
  FormingView,
} from '../../src/core/gateway/forming/state';
import { noteResult, noteSuspect, planGroups } from '../../src/core/gateway/forming/plan';
import { noteStalled } from '../../src/core/gateway/forming/adopt';
import type { EngineSpec } from '../../src/core/gateway/types';
import { brandAs } from '../../src/core/ids';
import type { GroupId, InstanceId, ModelId, MonoTime, ZoneId } from '../../src/core/ids';
import type { EngineFleet } from '../../stand-ins/users-platform/engines';
import { at, ENGINE } from './support';

const TICK_MS = 50;

export interface LeaderOptions {
  readonly engine?: EngineSpec;
  readonly hasTraffic?: boolean;
  /** Delay in the execution of an order, by the number of the order. */
  readonly lateMs?: (n: number) => number;
  /** Offered load of each model, in full groups. */
  readonly offeredLoad?: ReadonlyMap<ModelId, number>;
  /** Load and demand as the group planner measures them; called before each plan once callers are served. */
  readonly measure?: (now: MonoTime) => Pick<FormingView, 'offeredLoad' | 'demand'>;
  /** Mechanisms that are disabled. */
  readonly disabledMechanisms?: readonly FormingMechanism[];
}

export function createLeader(
  fleet: EngineFleet,
  {
    hasTraffic: startsWithTraffic = false,
    lateMs = () => 0,
    offeredLoad,
    measure,
    engine = ENGINE,
    disabledMechanisms = [],
  }: LeaderOptions = {},
) {
  let hasTraffic = startsWithTraffic;
  let fencing = 1;
  let orders = 0;
  /** Servers whose rows expired before the process of the current leader began. */
  let unknown = new Set<InstanceId>();
  let evacuated: ReadonlySet<ZoneId> = new Set();
  /** Orders to servers of evacuated zones. */
  let misdirected = 0;
  let state: FormingState = createFormingState({ disabledMechanisms });

  const step = (): void => {
    fleet.advance(TICK_MS);
    const now = at(fleet.now());
    for (const id of fleet.stalled()) state = noteSuspect(state, id, at(now + 20_000));
    const view = {
      servers: fleet.rows(),
      lapsed: new Map([...fleet.lapsed()].filter(([id]) => !unknown.has(id))),
      ended: fleet.ended,
      engine,
      fencing,
      hasTraffic,
      evacuated,
      ...(offeredLoad && { offeredLoad }),
      ...(hasTraffic && measure?.(now)),
    };
    const plan = planGroups(state, view, now);
    state = plan.state;
    for (const effect of plan.orders) {
      orders += 1;
      if (evacuated.has(effect.server.zone)) misdirected += 1;
      const result = fleet.take(effect, lateMs(orders));
      state = noteResult(state, effect.key, result);
    }
  };

  return {
    run: (ms: number): void => {
      for (let passed = 0; passed < ms; passed += TICK_MS) step();
    },
    /**
     * Another daemon takes over the lease; it knows only what servers report, and with `isNewProcess` no
     * server whose row expired earlier.
     */
    replace: ({ isNewProcess = false } = {}): void => {
      if (isNewProcess) unknown = new Set(fleet.lapsed().keys());
      fencing += 1;
      state = createFormingState({ disabledMechanisms });
    },
    /** Traffic starts; the fleet's own weight loads keep their speed. */
    beginTraffic: (): void => {
      hasTraffic = true;
    },
    noteStalled: (group: GroupId): void => {
      state = noteStalled(state, group);
    },
    /** Evacuates these zones and no others. */
    evacuate: (...zones: readonly string[]): void => {
      evacuated = new Set(zones.map((zone) => brandAs<ZoneId>(zone)));
    },
    misdirected: () => misdirected,
    orders: () => orders,
    state: () => state,
  };
}

/** State transitions of a member on orders, as pure functions. */

import type { EngineOrder, JoinOrder, OrderAuthority } from '../../src/ports/engine';
import type { EngineState, Member } from '../../src/core/groups/types';
import type { Epoch, GroupId, ModelId } from '../../src/core/ids';

/** The group that a member belongs to. */
export interface Holding {
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly rank: number;
  readonly model: ModelId;
  readonly members: readonly Member[];
}

export interface MemberState {
  /** New with each start. */
  readonly incarnation: string;
  readonly phase: EngineState;
  readonly holding?: Holding;
  /** Most recently used last. */
  readonly weights: readonly ModelId[];
  /** Highest fencing number seen. */
  readonly fencing: number;
  readonly leaving: boolean;
}

export type OrderRefusal = 'stale-fencing' | 'stale-epoch' | 'busy' | 'other-group' | 'late';

/** Request body of `POST /orders`. */
export interface OrderBody {
  readonly order: EngineOrder;
  readonly by: OrderAuthority;
}

/** What an order is checked against besides the state. */
export interface OrderContext {
  readonly checksFencing: boolean;
  /** Requests running or queued. */
  readonly inFlight: number;
  /** Milliseconds since the Unix epoch. */
  readonly now: number;
}

/** The next state and what the member has to do. */
export interface OrderResult {
  readonly state: MemberState;
  readonly refused?: OrderRefusal;
  /** Weights to fetch next. */
  readonly fetch?: ModelId;
  /** Whether the requests in flight are aborted. */
  readonly abortsRequests?: boolean;
}

type OrderHandlers = {
  readonly [K in EngineOrder['kind']]: (
    state: MemberState,
    order: Extract<EngineOrder, { kind: K }>,
    ctx: OrderContext,
  ) => OrderResult;
};

function refuse(state: MemberState, refused: OrderRefusal): OrderResult {
  return { state, refused };
}

function isFree({ phase }: MemberState, { inFlight }: OrderContext): boolean {
  return phase === 'broken' || inFlight === 0;
}

function joinGroup(state: MemberState, order: JoinOrder): OrderResult {
  const { group, epoch, rank, model, members } = order;
  const holding = { group, epoch, rank, model, members };
  const joined = { ...state, phase: 'loading' as const, holding };
  return state.weights.includes(model)
    ? { state: joined, abortsRequests: true }
    : { state: joined, abortsRequests: true, fetch: model };
}

/** Checks common to drain and release. */
function refusalOf(state: MemberState, group: GroupId, epoch: Epoch): OrderRefusal | undefined {
  if (state.holding === undefined) return undefined;
  if (state.holding.group !== group) return 'other-group';
  return epoch < state.holding.epoch ? 'stale-epoch' : undefined;
}

const ORDER_HANDLERS: OrderHandlers = {
  join: (state, order, ctx) => {
    const held = state.holding;
    if (held === undefined) return joinGroup(state, order);
    if (held.group !== order.group) {
      return ctx.checksFencing ? refuse(state, 'other-group') : joinGroup(state, order);
    }
    if (order.epoch < held.epoch) return refuse(state, 'stale-epoch');
    if (order.epoch === held.epoch && state.phase !== 'broken') return { state };
    return isFree(state, ctx) ? joinGroup(state, order) : refuse(state, 'busy');
  },
  drain: (state, { group, epoch }) => {
    const refused = refusalOf(state, group, epoch);
    if (refused !== undefined) return refuse(state, refused);
    if (state.holding === undefined || state.phase === 'broken') return { state };
    return { state: { ...state, phase: 'draining' } };
  },
  release: (state, { group, epoch }, ctx) => {
    const refused = refusalOf(state, group, epoch);
    if (refused !== undefined) return refuse(state, refused);
    if (!isFree(state, ctx)) return refuse(state, 'busy');
    const { incarnation, weights, fencing, leaving } = state;
    return { state: { incarnation, weights, fencing, leaving, phase: 'idle' } };
  },
  preload: (state, { model }) =>
    state.weights.includes(model) ? { state } : { state, fetch: model },
};

function checkFencing(
  state: MemberState,
  by: OrderAuthority,
  now: number,
): OrderRefusal | undefined {
  if (by.deadline < now) return 'late';
  return by.fencing < state.fencing ? 'stale-fencing' : undefined;
}

/** Applies an order, or returns the unchanged state with the reason of the refusal. */
export function applyOrder(
  state: MemberState,
  { order, by }: OrderBody,
  ctx: OrderContext,
): OrderResult {
  const refused = ctx.checksFencing ? checkFencing(state, by, ctx.now) : undefined;
  if (refused !== undefined) return refuse(state, refused);
  const seen = { ...state, fencing: Math.max(state.fencing, by.fencing) };
  const handler = ORDER_HANDLERS[order.kind] as (
    state: MemberState,
    order: EngineOrder,
    ctx: OrderContext,
  ) => OrderResult;
  return handler(seen, order, ctx);
}

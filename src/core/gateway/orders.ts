/** Orders to the members of replica groups, and what becomes of them. */

import type { Epoch, GroupId, InstanceId, ModelId } from '../ids';

interface ToGroup {
  readonly group: GroupId;
  readonly epoch: Epoch;
}

/** Become a member of a group; the first of `members` is its head. */
export interface JoinOrder extends ToGroup {
  readonly kind: 'join';
  readonly model: ModelId;
  readonly members: readonly InstanceId[];
}

/** To the head: start to serve. The engine checks no other member. */
export interface OpenOrder extends ToGroup {
  readonly kind: 'open';
}

/** To the head: stop serving, after the requests in flight or at once. */
export interface CloseOrder extends ToGroup {
  readonly kind: 'close';
  readonly mode: 'finish' | 'abort';
}

/** Give up the membership at once. */
export interface LeaveOrder extends ToGroup {
  readonly kind: 'leave';
}

/** Load a model's weights onto the host, beside all other work. */
export interface StageOrder {
  readonly kind: 'stage';
  readonly model: ModelId;
}

export type ServerOrder = JoinOrder | OpenOrder | CloseOrder | LeaveOrder | StageOrder;

/**
 * - `done`: the order has begun, or what it asks for holds already.
 * - `refused`: it does not fit the server's state; it had no effect and never will.
 * - `other-server`: another server answers at the address; the one meant has ended.
 * - `not-sent`: no byte left, as when the connection was refused.
 * - `unknown`: no answer; it may take effect now, later or never.
 */
export type OrderResult = 'done' | 'refused' | 'other-server' | 'not-sent' | 'unknown';

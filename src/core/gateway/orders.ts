/** Orders to the members of replica groups, and their results. */

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

/** To the head: start to serve. The engine doesn't check the other members. */
export interface OpenOrder extends ToGroup {
  readonly kind: 'open';
}

/** To the head: stop serving, after the requests in flight or at once. */
export interface CloseOrder extends ToGroup {
  readonly kind: 'close';
  readonly mode: 'finish' | 'abort';
}

/** Leave the group at once. */
export interface LeaveOrder extends ToGroup {
  readonly kind: 'leave';
}

/** Load a model's weights onto the host, in the background. */
export interface StageOrder {
  readonly kind: 'stage';
  readonly model: ModelId;
}

/** Any order to a backend server. */
export type ServerOrder = JoinOrder | OpenOrder | CloseOrder | LeaveOrder | StageOrder;

/**
 * Result of an order.
 *
 * - `done`: the order has started, or its effect is already in place.
 * - `refused`: it doesn't fit the server's state; it had no effect and never will.
 * - `other-server`: another server responds at the address; the intended one has ended.
 * - `not-sent`: no byte was sent, for example because the connection was refused.
 * - `unknown`: no response; it may take effect now, later or never.
 */
export type OrderResult = 'done' | 'refused' | 'other-server' | 'not-sent' | 'unknown';

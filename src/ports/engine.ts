/** Model engines: orders and reports. Requests to engines go through the HTTP upstream. */

import type { ResultAsync } from 'neverthrow';

import type { EngineReport, Member } from '../core/groups/types';
import type { DomainId, EpochTime, Epoch, FencingNumber, GroupId, ModelId } from '../core/ids';
import type { StepError } from '../utils/errors';

/** Load weights and serve as one member of a group. */
export interface JoinOrder {
  readonly kind: 'join';
  readonly group: GroupId;
  readonly epoch: Epoch;
  readonly model: ModelId;
  readonly rank: number;
  readonly members: readonly Member[];
}

/** Take no new request; finish those in flight. */
export interface DrainOrder {
  readonly kind: 'drain';
  readonly group: GroupId;
  readonly epoch: Epoch;
}

/** Leave the group and become idle. */
export interface ReleaseOrder {
  readonly kind: 'release';
  readonly group: GroupId;
  readonly epoch: Epoch;
}

/** Fetch weights ahead of a join. */
export interface PreloadOrder {
  readonly kind: 'preload';
  readonly model: ModelId;
}

export type EngineOrder = JoinOrder | DrainOrder | ReleaseOrder | PreloadOrder;

/** What gives an order its authority. */
export interface OrderAuthority {
  readonly domain: DomainId;
  readonly fencing: FencingNumber;
  /** An engine that looks at it refuses the order after this instant. */
  readonly deadline: EpochTime;
}

/**
 * Errors: `conflict` (old fencing number or other epoch: refused), `unavailable` (not reached),
 * `store-unknown` never; `backend-lost` (the order may have taken effect).
 */
export interface Engine {
  report(address: string): ResultAsync<EngineReport, StepError>;
  order(
    address: string,
    order: EngineOrder,
    by: OrderAuthority,
  ): ResultAsync<EngineReport, StepError>;
}

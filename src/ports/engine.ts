/** Control interface of model engines: orders and reports. Inference requests use the HTTP upstream. */

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

/** Accept no new requests; finish those in flight. */
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

/** The lease in whose name an order is sent. */
export interface OrderAuthority {
  readonly domain: DomainId;
  readonly fencing: FencingNumber;
  /** Engines that check it refuse the order after this time. */
  readonly deadline: EpochTime;
}

/**
 * Client of an engine. Errors: `conflict` (refused: stale fencing number or another epoch), `unavailable` (not
 * reached), `backend-lost` (the order may have taken effect); never `store-unknown`.
 */
export interface Engine {
  report(address: string): ResultAsync<EngineReport, StepError>;
  order(
    address: string,
    order: EngineOrder,
    by: OrderAuthority,
  ): ResultAsync<EngineReport, StepError>;
}

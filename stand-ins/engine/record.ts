/** History of a member for assertions in tests. The daemons never read it. */

import type { Holding, OrderBody, OrderRefusal } from './orders';

/** An order that was received. */
export interface OrderEntry extends OrderBody {
  readonly at: number;
  readonly refused?: OrderRefusal;
}

/** A request that was executed. */
export interface RunEntry {
  readonly attempt: string;
  /** Hash of path and body. */
  readonly fingerprint: string;
  readonly group: string;
  readonly epoch: number;
  /** Milliseconds since the Unix epoch; `end` is absent while it runs. */
  readonly at: number;
  end?: number;
}

/** A span during which the member belonged to a group; `to` is absent while it lasts. */
export interface HeldEntry {
  readonly group: string;
  readonly epoch: number;
  readonly from: number;
  to?: number;
}

export interface MemberRecord {
  readonly orders: OrderEntry[];
  readonly runs: RunEntry[];
  readonly heldBy: HeldEntry[];
}

export function createRecord(): MemberRecord {
  return { orders: [], runs: [], heldBy: [] };
}

/** Records the current group of the member; closes the previous entry where it changed. */
export function recordHolding(
  record: MemberRecord,
  holding: Holding | undefined,
  now: number,
): void {
  const last = record.heldBy.at(-1);
  const open = last?.to === undefined ? last : undefined;
  if (open !== undefined) {
    if (open.group === holding?.group && open.epoch === holding.epoch) return;
    open.to = now;
  }
  if (holding === undefined) return;
  record.heldBy.push({ group: holding.group, epoch: holding.epoch, from: now });
}

/** What a member did, for the oracles of tests. The daemons never read it. */

import type { Holding, OrderBody, OrderRefusal } from './orders';

export interface OrderEntry extends OrderBody {
  readonly at: number;
  readonly refused?: OrderRefusal;
}

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

/** Notes that the member is now held so; ends the entry before. */
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

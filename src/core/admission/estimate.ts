/** How long a request would wait for a slot, from the work ahead of it and the measured rate. */

import type { MonoTime } from '../ids';
import { workBefore, workThrough } from './queue';
import type { Account, Entry, Pool } from './types';

/** Bounds of the correction, so that a few odd answers cannot shut admission. */
const MIN_STRETCH = 0.25;
const MAX_STRETCH = 4;

/** Measured time in a slot over the estimated one. */
export function stretch(pool: Pool): number {
  if (pool.estimatedMs === 0) return 1;
  return Math.min(MAX_STRETCH, Math.max(MIN_STRETCH, pool.servedMs / pool.estimatedMs));
}

/** Time in a slot that a request of this estimate really takes, milliseconds. */
export function serviceMs(pool: Pool, estimateMs: number): number {
  return estimateMs * stretch(pool);
}

/**
 * Wait until `aheadMs` of the account's own work is done, at its share of the slots, or until all
 * queued work is done, whichever is less. Milliseconds; infinite without capacity.
 */
function waitMs(pool: Pool, account: Account, aheadMs: number, allMs: number): number {
  if (pool.slots === 0) return Infinity;
  const backlogged = pool.backloggedShare + (account.queue.size > 0 ? 0 : account.share);
  const part = account.share / backlogged;
  const work = Math.min(aheadMs / part, allMs);
  return serviceMs(pool, work) / pool.slots;
}

/** Wait of a request that is about to join the bucket, behind all that is in it. */
export function joinWaitMs(pool: Pool, account: Account, bucket: number, ownMs: number): number {
  const ahead = workThrough(account.queue, bucket) + ownMs;
  return waitMs(pool, account, ahead, pool.queuedMs + ownMs);
}

/** Wait of the first request of its bucket. */
export function queuedWaitMs(pool: Pool, { account, bucket, req }: Entry): number {
  const ahead = workBefore(account.queue, bucket) + req.estimateMs;
  return waitMs(pool, account, ahead, pool.queuedMs);
}

/** When capacity is there at the earliest. */
export function capacityAt(pool: Pool, now: MonoTime): MonoTime | undefined {
  return pool.slots > 0 ? now : pool.expectedAt;
}

/** How long a request would wait for a slot: the work ahead of it over the rate left for it. */

import type { MonoTime } from '../ids';
import { startTag } from './pool';
import { arrivalRateBefore, workBefore, workThrough } from './queue';
import { rateAt } from './rate';
import type { Account, AdmissionOptions, Entry, Pool } from './types';

/** Bounds of the correction, so that a few odd answers cannot shut admission. */
const MIN_STRETCH = 0.25;
const MAX_STRETCH = 4;

/** What an estimate is made from besides the request. */
export interface EstimateContext {
  readonly now: MonoTime;
  readonly opts: AdmissionOptions;
}

/** Measured time in a slot over the estimated one. */
export function estimateCorrection(pool: Pool): number {
  if (pool.meanEstimateMs === 0) return 1;
  return Math.min(MAX_STRETCH, Math.max(MIN_STRETCH, pool.meanServiceMs / pool.meanEstimateMs));
}

/** Time in a slot that a request of this estimate really takes, milliseconds. */
export function serviceMs(pool: Pool, estimateMs: number): number {
  return estimateMs * estimateCorrection(pool);
}

/** Estimated work done per millisecond by all slots. */
function poolSpeed(pool: Pool): number {
  return pool.slots / estimateCorrection(pool);
}

/** The same for one account: its share among those that wait, or what the others leave. */
function accountSpeed(pool: Pool, account: Account, { now, opts }: EstimateContext): number {
  const all = poolSpeed(pool);
  const waiting = pool.backloggedShare + (account.queue.size > 0 ? 0 : account.share);
  const byShare = (all * account.share) / waiting;
  if (opts.arrivalMemoryMs === 0) return byShare;
  const memoryMs = opts.arrivalMemoryMs;
  const others = rateAt(pool.arrivals, now, memoryMs) - rateAt(account.arrivals, now, memoryMs);
  return Math.max(byShare, all - others);
}

/** Work that the account may have done ahead of all others, milliseconds. */
function creditMs(pool: Pool, account: Account, opts: AdmissionOptions): number {
  return Math.max(0, pool.virtualTime - startTag(pool, account, opts)) * account.share;
}

/** Wait until `aheadMs` of the account's work is done; infinite without capacity. */
function waitMs(pool: Pool, account: Account, work: Work, ctx: EstimateContext): number {
  if (pool.slots === 0) return Infinity;
  const credited = Math.min(work.aheadMs, creditMs(pool, account, ctx.opts));
  const speed = accountSpeed(pool, account, ctx);
  const denser = arrivalRateBefore(account.queue, work.bucket, ctx.now, ctx.opts.arrivalMemoryMs);
  const left = speed - denser;
  const rest = work.aheadMs - credited;
  const ownMs = credited / poolSpeed(pool) + (rest > 0 ? over(rest, left) : 0);
  return Math.min(ownMs, drainMs(pool, work.allMs, ctx));
}

/** Time until all queued work is done, given what comes in; no request waits longer. */
function drainMs(pool: Pool, allMs: number, { now, opts }: EstimateContext): number {
  const left = poolSpeed(pool) - rateAt(pool.arrivals, now, opts.arrivalMemoryMs);
  return over(allMs, left);
}

function over(workMs: number, speed: number): number {
  return speed > 0 ? workMs / speed : Infinity;
}

interface Work {
  readonly bucket: number;
  /** Of the same account, the request itself included. */
  readonly aheadMs: number;
  /** Of all accounts, the request itself included. */
  readonly allMs: number;
}

/** Wait of a request that is about to join its bucket, behind all that is in it. */
export function joinWaitMs(entry: Entry, ctx: EstimateContext): number {
  const { pool, account, bucket, req } = entry;
  const aheadMs = workThrough(account.queue, bucket) + req.estimateMs;
  const allMs = pool.queuedMs + req.estimateMs;
  return waitMs(pool, account, { bucket, aheadMs, allMs }, ctx);
}

/** Wait of the first request of its bucket. */
export function queuedWaitMs(entry: Entry, ctx: EstimateContext): number {
  const { pool, account, bucket, req } = entry;
  const aheadMs = workBefore(account.queue, bucket) + req.estimateMs;
  return waitMs(pool, account, { bucket, aheadMs, allMs: pool.queuedMs }, ctx);
}

/** When capacity is there at the earliest. */
export function capacityAt(pool: Pool, now: MonoTime): MonoTime | undefined {
  return pool.slots > 0 ? now : pool.expectedAt;
}

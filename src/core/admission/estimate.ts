/** Estimates how long a request waits for a slot: the work ahead of it over its service rate. */

import type { MonoTime } from '../ids';
import { startTag } from './pool';
import { arrivalRateBefore, workBefore, workThrough } from './queue';
import { rateAt } from './rate';
import type { Account, AdmissionOptions, Entry, Pool } from './types';

/** Bounds of the correction, so that a few outliers cannot block admission. */
const MIN_CORRECTION = 0.25;
const MAX_CORRECTION = 4;

/** Inputs of an estimate besides the request. */
export interface EstimateContext {
  readonly now: MonoTime;
  readonly opts: AdmissionOptions;
}

/** Measured service time relative to the estimated one, bounded. */
export function estimateCorrection(pool: Pool): number {
  if (pool.meanEstimateMs === 0) return 1;
  return Math.min(
    MAX_CORRECTION,
    Math.max(MIN_CORRECTION, pool.meanServiceMs / pool.meanEstimateMs),
  );
}

/** Corrected service time of a request with this estimate, milliseconds. */
export function serviceMs(pool: Pool, estimateMs: number): number {
  return estimateMs * estimateCorrection(pool);
}

/** Estimated work done per millisecond by all slots. */
function poolSpeed(pool: Pool): number {
  return pool.slots / estimateCorrection(pool);
}

/**
 * The same for one account: its share among the backlogged accounts, or the rate that the arrivals
 * of the others leave, whichever is greater.
 */
function accountSpeed(pool: Pool, account: Account, { now, opts }: EstimateContext): number {
  const all = poolSpeed(pool);
  const totalShare = pool.backloggedShare + (account.queue.size > 0 ? 0 : account.share);
  const byShare = (all * account.share) / totalShare;
  if (opts.arrivalMemoryMs === 0) return byShare;
  const memoryMs = opts.arrivalMemoryMs;
  const others = rateAt(pool.arrivals, now, memoryMs) - rateAt(account.arrivals, now, memoryMs);
  return Math.max(byShare, all - others);
}

/** Work that an account below its share may do ahead of all others, milliseconds. */
function creditMs(pool: Pool, account: Account, opts: AdmissionOptions): number {
  return Math.max(0, pool.virtualTime - startTag(pool, account, opts)) * account.share;
}

/**
 * Wait until `work.aheadMs` of the account's work is done, milliseconds; infinite without capacity.
 */
function waitMs(pool: Pool, account: Account, work: Work, ctx: EstimateContext): number {
  if (pool.slots === 0) return Infinity;
  const credited = Math.min(work.aheadMs, creditMs(pool, account, ctx.opts));
  const speed = accountSpeed(pool, account, ctx);
  const denserRate = arrivalRateBefore(
    account.queue,
    work.bucket,
    ctx.now,
    ctx.opts.arrivalMemoryMs,
  );
  const remainingSpeed = speed - denserRate;
  const remainingMs = work.aheadMs - credited;
  const ownMs =
    credited / poolSpeed(pool) + (remainingMs > 0 ? durationMs(remainingMs, remainingSpeed) : 0);
  return Math.min(ownMs, drainMs(pool, work.allMs, ctx));
}

/** Time until all queued work is done at the current arrival rate; no request waits longer. */
function drainMs(pool: Pool, allMs: number, { now, opts }: EstimateContext): number {
  const remainingSpeed = poolSpeed(pool) - rateAt(pool.arrivals, now, opts.arrivalMemoryMs);
  return durationMs(allMs, remainingSpeed);
}

function durationMs(workMs: number, speed: number): number {
  return speed > 0 ? workMs / speed : Infinity;
}

interface Work {
  readonly bucket: number;
  /** Work of the same account, including the request itself. */
  readonly aheadMs: number;
  /** Work of all accounts, including the request itself. */
  readonly allMs: number;
}

/** Wait of a request that is about to join the end of its bucket, milliseconds. */
export function joinWaitMs(entry: Entry, ctx: EstimateContext): number {
  const { pool, account, bucket, req } = entry;
  const aheadMs = workThrough(account.queue, bucket) + req.estimateMs;
  const allMs = pool.queuedMs + req.estimateMs;
  return waitMs(pool, account, { bucket, aheadMs, allMs }, ctx);
}

/** Wait of a queued request that is first in its bucket, milliseconds. */
export function queuedWaitMs(entry: Entry, ctx: EstimateContext): number {
  const { pool, account, bucket, req } = entry;
  const aheadMs = workBefore(account.queue, bucket) + req.estimateMs;
  return waitMs(pool, account, { bucket, aheadMs, allMs: pool.queuedMs }, ctx);
}

/** Earliest instant with capacity; `undefined` if none is expected. */
export function capacityAt(pool: Pool, now: MonoTime): MonoTime | undefined {
  return pool.slots > 0 ? now : pool.expectedAt;
}

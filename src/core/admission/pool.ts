/**
 * The slots of one model, scheduled by start-time fair queueing over the organisations (Goyal, Vin,
 * Cheng). Work is time in a slot, charged by estimate and corrected by measurement.
 */

import type { ModelId, MonoTime } from '../ids';
import { createHeap, peek, push, remove, update } from './heap';
import type { AdmissionPolicy } from './policies';
import { headEntry, bucketAt, createQueue, dequeue, enqueue } from './queue';
import { addWork, createRate } from './rate';
import type { Account, AdmissionOptions, AdmissionRequest, Entry, Pool } from './types';

/** Weight of the newest sample in the moving averages of service time. */
const NEWEST_WEIGHT = 0.02;

/** Creates a pool without slots. */
export function createPool(model: ModelId): Pool {
  return {
    model,
    slots: 0,
    running: 0,
    queued: 0,
    queuedMs: 0,
    backloggedShare: 0,
    virtualTime: 0,
    meanServiceMs: 0,
    meanEstimateMs: 0,
    arrivals: createRate(),
    expectedAt: undefined,
    accounts: new Map(),
    byStartTag: createHeap<Account>((a, b) => a.start < b.start),
    byQueueLength: createHeap<Account>((a, b) => queuedPerShare(a) > queuedPerShare(b)),
    byStartBy: createHeap<Entry>((a, b) => a.startBy < b.startBy),
  };
}

/** Queue length relative to the account's share. */
export function queuedPerShare(account: Account): number {
  return account.queue.size / account.share;
}

/** The account that a request is charged to; created when first used. */
export function accountOf(pool: Pool, req: AdmissionRequest, policy: AdmissionPolicy): Account {
  const owner = policy.fair ? req.organisation : SHARED_ACCOUNT;
  const existing = pool.accounts.get(owner);
  if (existing !== undefined) {
    if (policy.fair) setShare(pool, existing, req.share);
    return existing;
  }
  const share = policy.fair ? req.share : 1;
  const account: Account = {
    organisation: owner,
    queue: createQueue(),
    share,
    start: -Infinity,
    running: 0,
    arrivals: createRate(),
  };
  pool.accounts.set(owner, account);
  return account;
}

/** Owner of the only account of a policy without shares. */
const SHARED_ACCOUNT = '' as AdmissionRequest['organisation'];

function setShare(pool: Pool, account: Account, share: number): void {
  if (account.share === share) return;
  if (account.queue.size > 0) pool.backloggedShare += share - account.share;
  account.share = share;
  update(pool.byQueueLength, account);
}

/** Adds the work of an admitted or queued request to the arrival rates. */
export function countArrival(
  { pool, account, bucket, req }: Entry,
  policy: AdmissionPolicy,
  now: MonoTime,
  memoryMs: number,
): void {
  const bucketRate = bucketAt(account.queue, bucket, policy).arrivals;
  for (const rate of [pool.arrivals, account.arrivals, bucketRate]) {
    addWork(rate, req.estimateMs, now, memoryMs);
  }
}

/**
 * Start tag of the account's next request. An account that used less than its share may be behind
 * the virtual time, and so goes first, but by no more than its credit.
 */
export function startTag(pool: Pool, account: Account, opts: AdmissionOptions): number {
  const totalShare = pool.backloggedShare > 0 ? pool.backloggedShare : account.share;
  const credit = (opts.creditMs * pool.slots) / totalShare;
  return Math.max(account.start, pool.virtualTime - credit);
}

/** Adds a request to its account's queue. */
export function addQueued(
  pool: Pool,
  entry: Entry,
  policy: AdmissionPolicy,
  opts: AdmissionOptions,
): void {
  const { account } = entry;
  enqueue(account.queue, entry, policy);
  push(pool.byStartBy, entry);
  pool.queued += 1;
  pool.queuedMs += entry.req.estimateMs;
  if (account.queue.size > 1) {
    update(pool.byQueueLength, account);
    return;
  }
  pool.backloggedShare += account.share;
  account.start = startTag(pool, account, opts);
  push(pool.byStartTag, account);
  push(pool.byQueueLength, account);
}

/** Removes a request from its account's queue. */
export function removeQueued(pool: Pool, entry: Entry): void {
  const { account } = entry;
  dequeue(account.queue, entry);
  remove(pool.byStartBy, entry);
  pool.queued -= 1;
  pool.queuedMs = pool.queued === 0 ? 0 : pool.queuedMs - entry.req.estimateMs;
  if (account.queue.size > 0) {
    update(pool.byQueueLength, account);
    return;
  }
  remove(pool.byStartTag, account);
  remove(pool.byQueueLength, account);
  pool.backloggedShare = pool.queued === 0 ? 0 : pool.backloggedShare - account.share;
}

/** The queued request that gets the next slot. */
export function nextQueued(pool: Pool): Entry | undefined {
  const account = peek(pool.byStartTag);
  return account && headEntry(account.queue);
}

/** Gives a request a slot and charges its account the estimate. */
export function takeSlot(pool: Pool, entry: Entry, now: MonoTime, opts: AdmissionOptions): void {
  const { account } = entry;
  entry.startedAt = now;
  pool.running += 1;
  account.running += 1;
  const start = startTag(pool, account, opts);
  pool.virtualTime = Math.max(pool.virtualTime, start);
  account.start = start + entry.req.estimateMs / account.share;
  update(pool.byStartTag, account);
}

/** Frees the slot and corrects the charge to the time for which it was held. */
export function freeSlot(pool: Pool, entry: Entry, startedAt: MonoTime, now: MonoTime): void {
  const { account, req } = entry;
  const heldMs = now - startedAt;
  pool.running -= 1;
  account.running -= 1;
  account.start += (heldMs - req.estimateMs) / account.share;
  update(pool.byStartTag, account);
  updateAverages(pool, heldMs, req.estimateMs);
}

function updateAverages(pool: Pool, heldMs: number, estimateMs: number): void {
  const weight = pool.meanEstimateMs === 0 ? 1 : NEWEST_WEIGHT;
  pool.meanServiceMs += weight * (heldMs - pool.meanServiceMs);
  pool.meanEstimateMs += weight * (estimateMs - pool.meanEstimateMs);
}

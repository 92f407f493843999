/**
 * Slots of one model and whose turn it is: start-time fair queueing over the organisations (Goyal,
 * Vin, Cheng), with time in a slot as the work, charged by estimate and corrected by measurement.
 */

import type { ModelId, MonoTime } from '../ids';
import { createHeap, peek, push, remove, update } from './heap';
import type { AdmissionPolicy } from './policies';
import { headEntry, bucketAt, createQueue, dequeue, enqueue } from './queue';
import { addWork, createRate } from './rate';
import type { Account, AdmissionOptions, AdmissionRequest, Entry, Pool } from './types';

/** Weight of the newest measurement of time in a slot. */
const NEWEST_WEIGHT = 0.02;

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

export function queuedPerShare(account: Account): number {
  return account.queue.size / account.share;
}

/** The account a request is charged to. */
export function accountOf(pool: Pool, req: AdmissionRequest, policy: AdmissionPolicy): Account {
  const owner = policy.fair ? req.organisation : SHARED_ACCOUNT;
  const known = pool.accounts.get(owner);
  if (known !== undefined) {
    if (policy.fair) setShare(pool, known, req.share);
    return known;
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

/** Owner of all requests where organisations have no shares. */
const SHARED_ACCOUNT = '' as AdmissionRequest['organisation'];

function setShare(pool: Pool, account: Account, share: number): void {
  if (account.share === share) return;
  if (account.queue.size > 0) pool.backloggedShare += share - account.share;
  account.share = share;
  update(pool.byQueueLength, account);
}

/** Counts the work of a request that was let in, at once or into the queue. */
export function countArrival(
  { pool, account, bucket, req }: Entry,
  policy: AdmissionPolicy,
  now: MonoTime,
  memoryMs: number,
): void {
  const ofBucket = bucketAt(account.queue, bucket, policy).arrivals;
  for (const rate of [pool.arrivals, account.arrivals, ofBucket]) {
    addWork(rate, req.estimateMs, now, memoryMs);
  }
}

/**
 * Start tag of the account's next request. One that used less than its share may lie behind the
 * virtual time, and so goes first, but not by more than the credit.
 */
export function startTag(pool: Pool, account: Account, opts: AdmissionOptions): number {
  const known = pool.backloggedShare > 0 ? pool.backloggedShare : account.share;
  const credit = (opts.creditMs * pool.slots) / known;
  return Math.max(account.start, pool.virtualTime - credit);
}

/** Puts a request into its account's queue. */
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

/** Takes a request out of its account's queue. */
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

/** The queued request whose turn it is. */
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

/** Frees the slot and corrects the charge by the time it was really held. */
export function freeSlot(pool: Pool, entry: Entry, startedAt: MonoTime, now: MonoTime): void {
  const { account, req } = entry;
  const heldMs = now - startedAt;
  pool.running -= 1;
  account.running -= 1;
  account.start += (heldMs - req.estimateMs) / account.share;
  update(pool.byStartTag, account);
  learn(pool, heldMs, req.estimateMs);
}

function learn(pool: Pool, heldMs: number, estimateMs: number): void {
  const weight = pool.meanEstimateMs === 0 ? 1 : NEWEST_WEIGHT;
  pool.meanServiceMs += weight * (heldMs - pool.meanServiceMs);
  pool.meanEstimateMs += weight * (estimateMs - pool.meanEstimateMs);
}

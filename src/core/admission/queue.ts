/** The queue of one organisation: buckets by worth density, a heap by deadline in each. */

import { createHeap, peek, push, remove } from './heap';
import type { AdmissionPolicy } from './policies';
import { createRate, rateAt } from './rate';
import type { MonoTime } from '../ids';
import type { Bucket, Entry, OrganisationQueue } from './types';

export function createQueue(): OrganisationQueue {
  return { buckets: [], size: 0 };
}

export function enqueue(queue: OrganisationQueue, entry: Entry, policy: AdmissionPolicy): void {
  const bucket = bucketAt(queue, entry.bucket, policy);
  push(bucket.entries, entry);
  count(queue, bucket, entry, 1);
}

export function dequeue(queue: OrganisationQueue, entry: Entry): void {
  const bucket = queue.buckets[entry.bucket];
  if (bucket === undefined || !remove(bucket.entries, entry)) return;
  count(queue, bucket, entry, -1);
}

/** The bucket of that number, made if it is new. */
export function bucketAt(queue: OrganisationQueue, index: number, policy: AdmissionPolicy): Bucket {
  const known = queue.buckets[index];
  if (known !== undefined) return known;
  const bucket: Bucket = {
    entries: createHeap((a, b) => policy.before(a, b)),
    workMs: 0,
    arrivals: createRate(),
  };
  queue.buckets[index] = bucket;
  return bucket;
}

function count(queue: OrganisationQueue, bucket: Bucket, entry: Entry, by: 1 | -1): void {
  const workMs = by * entry.req.estimateMs;
  queue.size += by;
  // Sums of fractions drift; what is empty holds nothing.
  bucket.workMs = bucket.entries.items.length === 0 ? 0 : bucket.workMs + workMs;
}

function isFilled(bucket: Bucket | undefined): bucket is Bucket {
  return bucket !== undefined && bucket.entries.items.length > 0;
}

/** The request that goes next. */
export function headEntry(queue: OrganisationQueue): Entry | undefined {
  const bucket = queue.buckets.find(isFilled);
  return bucket && peek(bucket.entries);
}

/** A request of the least dense bucket, and one that is not about to go. */
export function lastBucketTail(queue: OrganisationQueue): Entry | undefined {
  return queue.buckets.findLast(isFilled)?.entries.items.at(-1);
}

/** The most pressing request of the least dense bucket. */
export function lastBucketHead(queue: OrganisationQueue): Entry | undefined {
  const bucket = queue.buckets.findLast(isFilled);
  return bucket && peek(bucket.entries);
}

/** Estimated work in buckets that go before this one, milliseconds. */
export function workBefore(queue: OrganisationQueue, bucket: number): number {
  let workMs = 0;
  for (let i = 0; i < bucket; i++) workMs += queue.buckets[i]?.workMs ?? 0;
  return workMs;
}

/** The same with this bucket's own work. */
export function workThrough(queue: OrganisationQueue, bucket: number): number {
  return workBefore(queue, bucket + 1);
}

/** Work per millisecond that comes in for buckets that go before this one. */
export function arrivalRateBefore(
  queue: OrganisationQueue,
  bucket: number,
  now: MonoTime,
  memoryMs: number,
): number {
  let sum = 0;
  for (let i = 0; i < bucket; i++) {
    const before = queue.buckets[i];
    if (before !== undefined) sum += rateAt(before.arrivals, now, memoryMs);
  }
  return sum;
}

/** The queue of one organisation: buckets by worth density, each a heap ordered by deadline. */

import { createHeap, peek, push, remove } from './heap';
import type { AdmissionPolicy } from './policies';
import { createRate, rateAt } from './rate';
import type { MonoTime } from '../ids';
import type { Bucket, Entry, OrganisationQueue } from './types';

/** Creates an empty queue. */
export function createQueue(): OrganisationQueue {
  return { buckets: [], size: 0 };
}

/** Adds a request to its bucket. */
export function enqueue(queue: OrganisationQueue, entry: Entry, policy: AdmissionPolicy): void {
  const bucket = bucketAt(queue, entry.bucket, policy);
  push(bucket.entries, entry);
  count(queue, bucket, entry, 1);
}

/** Removes a request; does nothing if it is not queued. */
export function dequeue(queue: OrganisationQueue, entry: Entry): void {
  const bucket = queue.buckets[entry.bucket];
  if (bucket === undefined || !remove(bucket.entries, entry)) return;
  count(queue, bucket, entry, -1);
}

/** The bucket with that index, created when first used. */
export function bucketAt(queue: OrganisationQueue, index: number, policy: AdmissionPolicy): Bucket {
  const existing = queue.buckets[index];
  if (existing !== undefined) return existing;
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
  // Set to 0 when empty: repeated adding and subtracting of fractions accumulates rounding errors.
  bucket.workMs = bucket.entries.items.length === 0 ? 0 : bucket.workMs + workMs;
}

function hasEntries(bucket: Bucket | undefined): bucket is Bucket {
  return bucket !== undefined && bucket.entries.items.length > 0;
}

/** The request that is served next. */
export function headEntry(queue: OrganisationQueue): Entry | undefined {
  const bucket = queue.buckets.find(hasEntries);
  return bucket && peek(bucket.entries);
}

/** The last heap item of the least dense bucket; the next one to be served only if it is alone. */
export function lastBucketTail(queue: OrganisationQueue): Entry | undefined {
  return queue.buckets.findLast(hasEntries)?.entries.items.at(-1);
}

/** The first request, by the policy's order, of the least dense bucket. */
export function lastBucketHead(queue: OrganisationQueue): Entry | undefined {
  const bucket = queue.buckets.findLast(hasEntries);
  return bucket && peek(bucket.entries);
}

/** Estimated work in the buckets before this one, milliseconds. */
export function workBefore(queue: OrganisationQueue, bucket: number): number {
  let workMs = 0;
  for (let i = 0; i < bucket; i++) workMs += queue.buckets[i]?.workMs ?? 0;
  return workMs;
}

/** Estimated work up to and including this bucket, milliseconds. */
export function workThrough(queue: OrganisationQueue, bucket: number): number {
  return workBefore(queue, bucket + 1);
}

/** Arrival rate of the buckets before this one, in work per millisecond. */
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

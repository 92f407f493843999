/** Load shedding: which requests cannot be served in time, and which are dropped for others. */

import type { RandomContext } from '../random';
import { capacityAt, queuedWaitMs } from './estimate';
import { peek } from './heap';
import { estimatedWaitMs, refuseQueued } from './held';
import type { AdmissionPolicy } from './policies';
import { queuedPerShare } from './pool';
import { lastBucketHead, lastBucketTail } from './queue';
import type { AdmissionState, Entry, Pool, RefusalReason, RefusedRequest } from './types';

/** Why a request may not be queued; `undefined` if it may. */
export function queueRefusalReason(
  state: AdmissionState,
  entry: Entry,
  policy: AdmissionPolicy,
  ctx: RandomContext,
): RefusalReason | undefined {
  if (!policy.queues) return 'queue-full';
  const { now } = ctx;
  const availableAt = capacityAt(entry.pool, now);
  if (availableAt === undefined) return 'no-capacity';
  if (!policy.refusesEarly) return undefined;
  if (availableAt > now) return availableAt > entry.startBy ? 'no-capacity' : undefined;
  const waitMs = estimatedWaitMs(state, entry, ctx) * state.opts.waitSafety;
  return now + waitMs > entry.startBy ? 'deadline-unreachable' : undefined;
}

/** Whether the queue of the model is at its limit. */
export function isFull({ opts }: AdmissionState, pool: Pool): boolean {
  return pool.queued >= Math.max(opts.minQueue, pool.slots * opts.queuePerSlot);
}

/**
 * The queued request to drop for this one in a full queue, if any: one of the organisation with the
 * longest queue for its share, else a less dense one of the same organisation.
 */
export function selectVictim(entry: Entry, policy: AdmissionPolicy): Entry | undefined {
  if (!policy.displaces) return undefined;
  const { pool, account } = entry;
  const longest = peek(pool.byQueueLength);
  if (longest !== undefined && longest !== account) {
    const ownAfter = (account.queue.size + 1) / account.share;
    if (ownAfter <= queuedPerShare(longest)) return lastBucketTail(longest.queue);
  }
  const ownTail = lastBucketTail(account.queue);
  return ownTail !== undefined && ownTail.bucket > entry.bucket ? ownTail : undefined;
}

/** Refuses the account's least dense requests that will miss their deadline behind `added`. */
export function shedUnreachable(
  state: AdmissionState,
  added: Entry,
  refused: RefusedRequest[],
  ctx: RandomContext,
): void {
  if (added.pool.slots === 0) return;
  const { queue } = added.account;
  for (let entry = lastBucketHead(queue); entry !== undefined; entry = lastBucketHead(queue)) {
    const startAt =
      ctx.now + queuedWaitMs(entry, { now: ctx.now, opts: state.opts }) * state.opts.waitSafety;
    if (entry === added || startAt <= entry.startBy) return;
    refused.push(refuseQueued(state, entry, 'displaced', ctx));
  }
}

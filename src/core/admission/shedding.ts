/** What cannot be served in time, and what gives way to what. */

import type { RandomContext } from '../random';
import { capacityAt, queuedWaitMs } from './estimate';
import { peek } from './heap';
import { estimatedWaitMs, refuseQueued } from './held';
import type { AdmissionPolicy } from './policies';
import { queuedPerShare } from './pool';
import { lastBucketHead, lastBucketTail } from './queue';
import type { AdmissionState, Entry, Pool, RefusalReason, RefusedRequest } from './types';

/** Why a request may not even wait, if so. */
export function queueRefusalReason(
  state: AdmissionState,
  entry: Entry,
  policy: AdmissionPolicy,
  ctx: RandomContext,
): RefusalReason | undefined {
  if (!policy.queues) return 'queue-full';
  const { now } = ctx;
  const from = capacityAt(entry.pool, now);
  if (from === undefined) return 'no-capacity';
  if (!policy.refusesEarly) return undefined;
  if (from > now) return from > entry.startBy ? 'no-capacity' : undefined;
  const wait = estimatedWaitMs(state, entry, ctx) * state.opts.waitSafety;
  return now + wait > entry.startBy ? 'deadline-unreachable' : undefined;
}

export function isFull({ opts }: AdmissionState, pool: Pool): boolean {
  return pool.queued >= Math.max(opts.minQueue, pool.slots * opts.queuePerSlot);
}

/** The queued request that gives way to this one in a full queue, if any should. */
export function selectVictim(entry: Entry, policy: AdmissionPolicy): Entry | undefined {
  if (!policy.displaces) return undefined;
  const { pool, account } = entry;
  const fullest = peek(pool.byQueueLength);
  if (fullest !== undefined && fullest !== account) {
    const ownAfter = (account.queue.size + 1) / account.share;
    if (ownAfter <= queuedPerShare(fullest)) return lastBucketTail(fullest.queue);
  }
  const ownWorst = lastBucketTail(account.queue);
  return ownWorst !== undefined && ownWorst.bucket > entry.bucket ? ownWorst : undefined;
}

/** Gives up the least dense requests of the account that can no longer be in time. */
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

/** What cannot be served in time, and what gives way to what. */

import type { ChanceContext } from '../random';
import { capacityAt, queuedWaitMs } from './estimate';
import { peek } from './heap';
import { backlogMs, giveUp } from './held';
import type { AdmissionPolicy } from './policies';
import { queuedPerShare } from './pool';
import { mostPressedOfWorst, worst } from './queue';
import type { AdmissionState, Entry, Pool, RefusalReason, RefusedRequest } from './types';

/** Why a request may not even wait, if so. */
export function whyNotQueue(
  state: AdmissionState,
  entry: Entry,
  policy: AdmissionPolicy,
  ctx: ChanceContext,
): RefusalReason | undefined {
  if (!policy.queues) return 'queue-full';
  const { now } = ctx;
  const from = capacityAt(entry.pool, now);
  if (from === undefined) return 'no-capacity';
  if (!policy.refusesEarly) return undefined;
  if (from > now) return from > entry.startBy ? 'no-capacity' : undefined;
  const wait = backlogMs(state, entry, ctx) * state.opts.waitSafety;
  return now + wait > entry.startBy ? 'deadline-unreachable' : undefined;
}

export function isFull({ opts }: AdmissionState, pool: Pool): boolean {
  return pool.queued >= Math.max(opts.minQueue, pool.slots * opts.queuePerSlot);
}

/** The queued request that gives way to this one in a full queue, if any should. */
export function leastOf(entry: Entry, policy: AdmissionPolicy): Entry | undefined {
  if (!policy.displaces) return undefined;
  const { pool, account } = entry;
  const fullest = peek(pool.fullest);
  if (fullest !== undefined && fullest !== account) {
    const ownAfter = (account.queue.size + 1) / account.share;
    if (ownAfter <= queuedPerShare(fullest)) return worst(fullest.queue);
  }
  const ownWorst = worst(account.queue);
  return ownWorst !== undefined && ownWorst.bucket > entry.bucket ? ownWorst : undefined;
}

/** Gives up the least dense requests of the account that can no longer be in time. */
export function shedHopeless(
  state: AdmissionState,
  added: Entry,
  refused: RefusedRequest[],
  ctx: ChanceContext,
): void {
  if (added.pool.slots === 0) return;
  const { queue } = added.account;
  for (
    let entry = mostPressedOfWorst(queue);
    entry !== undefined;
    entry = mostPressedOfWorst(queue)
  ) {
    const startAt =
      ctx.now + queuedWaitMs(entry, { now: ctx.now, opts: state.opts }) * state.opts.waitSafety;
    if (entry === added || startAt <= entry.startBy) return;
    refused.push(giveUp(state, entry, 'displaced', ctx));
  }
}

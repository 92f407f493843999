/** Tracks the requests that admission holds, and admits or refuses queued ones. */

import type { MonoTime, RequestId } from '../ids';
import { later } from '../ids';
import type { RandomContext } from '../random';
import { joinWaitMs } from './estimate';
import { peek } from './heap';
import { countInFlight } from './limits';
import type { AdmissionPolicy } from './policies';
import { countArrival, removeQueued, nextQueued, takeSlot } from './pool';
import { refuse } from './refusal';
import type {
  AdmissionState,
  Entry,
  Pool,
  RefusalReason,
  RefusedRequest,
  QueueUpdate,
} from './types';

/** Starts to count a request that was admitted or queued. */
export function track(
  state: AdmissionState,
  entry: Entry,
  policy: AdmissionPolicy,
  now: MonoTime,
): void {
  countArrival(entry, policy, now, state.opts.arrivalMemoryMs);
  state.entries.set(entry.req.id, entry);
  countInFlight(state, entry.req, 1);
}

/** Stops counting a request. */
export function untrack(state: AdmissionState, entry: Entry): void {
  state.entries.delete(entry.req.id);
  countInFlight(state, entry.req, -1);
}

/** Wait of a request that would join the queue now, milliseconds. */
export function estimatedWaitMs(
  { opts }: AdmissionState,
  entry: Entry,
  { now }: RandomContext,
): number {
  return joinWaitMs(entry, { now, opts });
}

/** Time until the backlog is small enough for a request like this one, milliseconds. */
export function retryAfterMs(state: AdmissionState, entry: Entry, ctx: RandomContext): number {
  const { pool, startBy } = entry;
  const { now } = ctx;
  if (pool.slots === 0) return pool.expectedAt === undefined ? Infinity : pool.expectedAt - now;
  return now + estimatedWaitMs(state, entry, ctx) - startBy;
}

/** Removes a request from the queue and refuses it. */
export function refuseQueued(
  state: AdmissionState,
  entry: Entry,
  reason: RefusalReason,
  ctx: RandomContext,
): RefusedRequest {
  untrack(state, entry);
  removeQueued(entry.pool, entry);
  const hasNoCapacity = reason === 'no-capacity';
  const afterMs = hasNoCapacity
    ? retryAfterMs(state, entry, ctx)
    : estimatedWaitMs(state, entry, ctx);
  return { id: entry.req.id, verdict: refuse(reason, afterMs, state.opts, ctx) };
}

/** Why a queued request whose latest start has passed is refused. */
export function expiryReason(entry: Entry, now: MonoTime): RefusalReason {
  return entry.req.deadline <= now ? 'deadline-passed' : 'deadline-unreachable';
}

/** Gives free slots to queued requests in fair-queueing order. */
export function fillSlots(state: AdmissionState, pool: Pool, ctx: RandomContext): QueueUpdate {
  const admitted: RequestId[] = [];
  const refused: RefusedRequest[] = [];
  while (pool.running < pool.slots) {
    const entry = nextQueued(pool);
    if (entry === undefined) break;
    if (entry.startBy <= ctx.now) {
      refused.push(refuseQueued(state, entry, expiryReason(entry, ctx.now), ctx));
      continue;
    }
    removeQueued(pool, entry);
    takeSlot(pool, entry, ctx.now, state.opts);
    admitted.push(entry.req.id);
  }
  return { state, admitted, refused };
}

/** Refuses queued requests whose latest start is before the next expected capacity. */
export function refuseWithoutCapacity(
  state: AdmissionState,
  pool: Pool,
  ctx: RandomContext,
): QueueUpdate {
  const { expectedAt } = pool;
  const refused: RefusedRequest[] = [];
  for (let entry = peek(pool.byStartBy); entry !== undefined; entry = peek(pool.byStartBy)) {
    if (expectedAt !== undefined && entry.startBy >= expectedAt) break;
    refused.push(refuseQueued(state, entry, 'no-capacity', ctx));
  }
  return { state, admitted: [], refused };
}

/** When expected capacity is overdue; `undefined` if there is capacity or none is expected. */
export function overdueAt({ opts }: AdmissionState, pool: Pool): MonoTime | undefined {
  if (pool.slots > 0 || pool.expectedAt === undefined) return undefined;
  return later(pool.expectedAt, opts.expectedGraceMs);
}

/** Whether the expected capacity of the pool is overdue. */
export function isOverdue(state: AdmissionState, pool: Pool, now: MonoTime): boolean {
  const at = overdueAt(state, pool);
  return at !== undefined && at <= now;
}

/** Refuses all requests that wait for overdue capacity, and no longer expects it. */
export function refuseOverdue(
  state: AdmissionState,
  pool: Pool,
  ctx: RandomContext,
): readonly RefusedRequest[] {
  pool.expectedAt = undefined;
  return refuseWithoutCapacity(state, pool, ctx).refused;
}

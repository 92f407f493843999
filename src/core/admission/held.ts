/** The requests that admission holds, and how those in a queue leave it. */

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

export function untrack(state: AdmissionState, entry: Entry): void {
  state.entries.delete(entry.req.id);
  countInFlight(state, entry.req, -1);
}

/** Wait of a request that would join now. */
export function estimatedWaitMs(
  { opts }: AdmissionState,
  entry: Entry,
  { now }: RandomContext,
): number {
  return joinWaitMs(entry, { now, opts });
}

/** Time until the backlog will have shrunk enough for a request like this one. */
export function retryAfterMs(state: AdmissionState, entry: Entry, ctx: RandomContext): number {
  const { pool, startBy } = entry;
  const { now } = ctx;
  if (pool.slots === 0) return pool.expectedAt === undefined ? Infinity : pool.expectedAt - now;
  return now + estimatedWaitMs(state, entry, ctx) - startBy;
}

/** Takes a queued request out and refuses it. */
export function refuseQueued(
  state: AdmissionState,
  entry: Entry,
  reason: RefusalReason,
  ctx: RandomContext,
): RefusedRequest {
  untrack(state, entry);
  removeQueued(entry.pool, entry);
  const isWithout = reason === 'no-capacity';
  const afterMs = isWithout ? retryAfterMs(state, entry, ctx) : estimatedWaitMs(state, entry, ctx);
  return { id: entry.req.id, verdict: refuse(reason, afterMs, state.opts, ctx) };
}

export function expiryReason(entry: Entry, now: MonoTime): RefusalReason {
  return entry.req.deadline <= now ? 'deadline-passed' : 'deadline-unreachable';
}

/** Gives free slots to queued requests in turn. */
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

/** Gives up queued requests for which capacity will not be back in time. */
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

/** When those that wait for capacity have waited long enough, if any do. */
export function overdueAt({ opts }: AdmissionState, pool: Pool): MonoTime | undefined {
  if (pool.slots > 0 || pool.expectedAt === undefined) return undefined;
  return later(pool.expectedAt, opts.expectedGraceMs);
}

export function isOverdue(state: AdmissionState, pool: Pool, now: MonoTime): boolean {
  const at = overdueAt(state, pool);
  return at !== undefined && at <= now;
}

/** Gives up all that wait for capacity that has not come, and expects none any more. */
export function refuseOverdue(
  state: AdmissionState,
  pool: Pool,
  ctx: RandomContext,
): readonly RefusedRequest[] {
  pool.expectedAt = undefined;
  return refuseWithoutCapacity(state, pool, ctx).refused;
}

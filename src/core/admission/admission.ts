/**
 * Admission control: admits a request, queues it for a slot, or refuses it at once with a retry
 * time. No I/O: every function updates the state in place and returns it. The state belongs to one
 * event loop. Each operation takes O(log n) of the requests and organisations held.
 */

import type { ModelId, MonoTime, RequestId } from '../ids';
import { later } from '../ids';
import type { RandomContext } from '../random';
import { serviceMs } from './estimate';
import { peek } from './heap';
import {
  estimatedWaitMs,
  fillSlots,
  untrack,
  refuseQueued,
  refuseWithoutCapacity,
  refuseOverdue,
  track,
  isOverdue,
  overdueAt,
  expiryReason,
  retryAfterMs,
} from './held';
import { exceededLimit } from './limits';
import type { AdmissionPolicy } from './policies';
import { ADMISSION_POLICIES } from './policies';
import { accountOf, createPool, addQueued, removeQueued, takeSlot, freeSlot } from './pool';
import { refuse } from './refusal';
import { isFull, selectVictim, shedUnreachable, queueRefusalReason } from './shedding';
import { ADMISSION_DEFAULTS } from './types';
import type {
  Admission,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionState,
  Entry,
  Pool,
  RefusedRequest,
  QueueUpdate,
  Verdict,
} from './types';

/** The initial state, without capacity, with options that override {@link ADMISSION_DEFAULTS}. */
export function createAdmission(opts: Partial<AdmissionOptions> = {}): AdmissionState {
  return {
    opts: { ...ADMISSION_DEFAULTS, ...opts },
    pools: new Map(),
    entries: new Map(),
    inFlight: new Map(),
    seq: 0,
  };
}

/** Decides on a new request. Its id must not be in use. */
export function admit(state: AdmissionState, req: AdmissionRequest, ctx: RandomContext): Admission {
  // Not stored: callers that name a model without capacity must not create a pool for it.
  const pool = state.pools.get(req.model) ?? createPool(req.model);
  const policy = ADMISSION_POLICIES[state.opts.policy];
  const refused: RefusedRequest[] = [];
  const verdict = decide(state, createEntry(state, pool, req, policy), policy, refused, ctx);
  return { state, verdict, admitted: [], refused };
}

/** Frees the slot or queue entry of a request that ended or was cancelled; ignores unknown ids. */
export function release(state: AdmissionState, id: RequestId, ctx: RandomContext): QueueUpdate {
  const entry = state.entries.get(id);
  if (entry === undefined) return { state, admitted: [], refused: [] };
  untrack(state, entry);
  if (entry.startedAt === undefined) removeQueued(entry.pool, entry);
  else freeSlot(entry.pool, entry, entry.startedAt, ctx.now);
  return fillSlots(state, entry.pool, ctx);
}

/**
 * Refuses queued requests whose deadline can no longer be met, and those that wait for overdue
 * capacity. Call it at the instant given by `nextExpiry`.
 */
export function expire(state: AdmissionState, ctx: RandomContext): QueueUpdate {
  const refused: RefusedRequest[] = [];
  for (const pool of state.pools.values()) {
    if (isOverdue(state, pool, ctx.now)) refused.push(...refuseOverdue(state, pool, ctx));
    for (let entry = peek(pool.byStartBy); entry !== undefined; entry = peek(pool.byStartBy)) {
      if (entry.startBy > ctx.now) break;
      refused.push(refuseQueued(state, entry, expiryReason(entry, ctx.now), ctx));
    }
  }
  return { state, admitted: [], refused };
}

/** When `expire` is due next; `undefined` if nothing is queued. */
export function nextExpiry(state: AdmissionState): MonoTime | undefined {
  let earliest: MonoTime | undefined;
  for (const pool of state.pools.values()) {
    const first = peek(pool.byStartBy)?.startBy;
    if (first === undefined) continue;
    const overdue = overdueAt(state, pool);
    const at = overdue === undefined || first < overdue ? first : overdue;
    if (earliest === undefined || at < earliest) earliest = at;
  }
  return earliest;
}

/**
 * Sets the slots of a model on this daemon. Without slots, queued requests stay only if capacity is
 * expected (`expectedAt`) before their latest start.
 */
export function setCapacity(
  state: AdmissionState,
  model: ModelId,
  slots: number,
  ctx: RandomContext,
  expectedAt?: MonoTime,
): QueueUpdate {
  const pool = poolOf(state, model);
  pool.slots = slots;
  pool.expectedAt = slots > 0 ? undefined : expectedAt;
  const queueUpdate =
    slots > 0 ? fillSlots(state, pool, ctx) : refuseWithoutCapacity(state, pool, ctx);
  const isEmpty = pool.running === 0 && pool.queued === 0;
  if (slots === 0 && expectedAt === undefined && isEmpty) state.pools.delete(model);
  return queueUpdate;
}

function poolOf(state: AdmissionState, model: ModelId): Pool {
  const existing = state.pools.get(model);
  if (existing !== undefined) return existing;
  const pool = createPool(model);
  state.pools.set(model, pool);
  return pool;
}

function createEntry(
  state: AdmissionState,
  pool: Pool,
  req: AdmissionRequest,
  policy: AdmissionPolicy,
): Entry {
  state.seq += 1;
  const serviceTimeMs = policy.refusesEarly ? serviceMs(pool, req.estimateMs) : 0;
  return {
    req,
    pool,
    account: accountOf(pool, req, policy),
    seq: state.seq,
    bucket: policy.bucketOf(req),
    startBy: later(req.deadline, -serviceTimeMs),
    startedAt: undefined,
  };
}

function decide(
  state: AdmissionState,
  entry: Entry,
  policy: AdmissionPolicy,
  refused: RefusedRequest[],
  ctx: RandomContext,
): Verdict {
  const { req, pool } = entry;
  if (req.deadline <= ctx.now)
    return refuse('deadline-passed', estimatedWaitMs(state, entry, ctx), state.opts, ctx);
  const exceeded = exceededLimit(state, req);
  if (exceeded !== undefined) {
    return refuse(exceeded, serviceMs(pool, req.estimateMs), state.opts, ctx);
  }
  if (pool.running < pool.slots) {
    // The queue is empty while a slot is free, so even a request that may be late delays no other.
    track(state, entry, policy, ctx.now);
    takeSlot(pool, entry, ctx.now, state.opts);
    return { kind: 'admitted' };
  }
  const reason = queueRefusalReason(state, entry, policy, ctx);
  if (reason !== undefined) return refuse(reason, retryAfterMs(state, entry, ctx), state.opts, ctx);
  if (isFull(state, pool)) {
    const victim = selectVictim(entry, policy);
    if (victim === undefined)
      return refuse('queue-full', estimatedWaitMs(state, entry, ctx), state.opts, ctx);
    refused.push(refuseQueued(state, victim, 'displaced', ctx));
  }
  track(state, entry, policy, ctx.now);
  addQueued(pool, entry, policy, state.opts);
  if (policy.refusesEarly) shedUnreachable(state, entry, refused, ctx);
  return { kind: 'queued' };
}

/**
 * Admission: lets a request in, has it wait for a slot, or refuses it at once with when to come
 * back. Pure but for its state, a record that one loop owns and that every function changes in
 * place and hands back. Each operation takes O(log n) of the requests and organisations it holds.
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
  // A model without capacity so far gets no entry of its own from callers naming it.
  const pool = state.pools.get(req.model) ?? createPool(req.model);
  const policy = ADMISSION_POLICIES[state.opts.policy];
  const refused: RefusedRequest[] = [];
  const verdict = decide(state, createEntry(state, pool, req, policy), policy, refused, ctx);
  return { state, verdict, admitted: [], refused };
}

/**
 * The request is over, was cancelled, or was given up. Frees its slot or its place in the queue; a
 * request that is not held is passed over.
 */
export function release(state: AdmissionState, id: RequestId, ctx: RandomContext): QueueUpdate {
  const entry = state.entries.get(id);
  if (entry === undefined) return { state, admitted: [], refused: [] };
  untrack(state, entry);
  if (entry.startedAt === undefined) removeQueued(entry.pool, entry);
  else freeSlot(entry.pool, entry, entry.startedAt, ctx.now);
  return fillSlots(state, entry.pool, ctx);
}

/**
 * Refuses queued requests whose deadline can no longer be met, and those that wait for capacity
 * which is overdue. To be called at `nextExpiry`.
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

/** When `expire` next has something to do. */
export function nextExpiry(state: AdmissionState): MonoTime | undefined {
  let earliest: MonoTime | undefined;
  for (const pool of state.pools.values()) {
    const first = peek(pool.byStartBy)?.startBy;
    if (first === undefined) continue;
    const due = overdueAt(state, pool);
    const at = due === undefined || first < due ? first : due;
    if (earliest === undefined || at < earliest) earliest = at;
  }
  return earliest;
}

/**
 * Sets the slots of a model on this daemon. Without slots, queued requests stay only if capacity is
 * expected in time for them (`expectedAt`).
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
  const settled = slots > 0 ? fillSlots(state, pool, ctx) : refuseWithoutCapacity(state, pool, ctx);
  const isEmpty = pool.running === 0 && pool.queued === 0;
  if (slots === 0 && expectedAt === undefined && isEmpty) state.pools.delete(model);
  return settled;
}

function poolOf(state: AdmissionState, model: ModelId): Pool {
  const known = state.pools.get(model);
  if (known !== undefined) return known;
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
  const neededMs = policy.refusesEarly ? serviceMs(pool, req.estimateMs) : 0;
  return {
    req,
    pool,
    account: accountOf(pool, req, policy),
    seq: state.seq,
    bucket: policy.bucketOf(req),
    startBy: later(req.deadline, -neededMs),
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
  const broken = exceededLimit(state, req);
  if (broken !== undefined) {
    return refuse(broken, serviceMs(pool, req.estimateMs), state.opts, ctx);
  }
  if (pool.running < pool.slots) {
    // Nothing waits while a slot is free, so even a request that may be late takes no one's place.
    track(state, entry, policy, ctx.now);
    takeSlot(pool, entry, ctx.now, state.opts);
    return { kind: 'admitted' };
  }
  const reason = queueRefusalReason(state, entry, policy, ctx);
  if (reason !== undefined) return refuse(reason, retryAfterMs(state, entry, ctx), state.opts, ctx);
  if (isFull(state, pool)) {
    const given = selectVictim(entry, policy);
    if (given === undefined)
      return refuse('queue-full', estimatedWaitMs(state, entry, ctx), state.opts, ctx);
    refused.push(refuseQueued(state, given, 'displaced', ctx));
  }
  track(state, entry, policy, ctx.now);
  addQueued(pool, entry, policy, state.opts);
  if (policy.refusesEarly) shedUnreachable(state, entry, refused, ctx);
  return { kind: 'queued' };
}

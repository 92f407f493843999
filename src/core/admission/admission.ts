/**
 * Admission: lets a request in, has it wait for a slot, or refuses it at once with when to come
 * back. Pure but for its state, a record that one loop owns and that every function changes in
 * place and hands back. Each operation takes O(log n) of the requests and organisations it holds.
 */

import type { ModelId, MonoTime, RequestId } from '../ids';
import { later } from '../ids';
import type { ChanceContext } from '../random';
import { capacityAt, joinWaitMs, queuedWaitMs, serviceMs } from './estimate';
import { peek } from './heap';
import { brokenLimit, countInFlight } from './limits';
import type { AdmissionPolicy } from './policies';
import { ADMISSION_POLICIES } from './policies';
import {
  accountOf,
  countArrival,
  createPool,
  enter,
  leave,
  nextInTurn,
  occupy,
  queuedPerShare,
  vacate,
} from './pool';
import { mostPressedOfWorst, worst } from './queue';
import { refuse } from './refusal';
import { ADMISSION_DEFAULTS } from './types';
import type {
  Admission,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionState,
  Entry,
  Pool,
  RefusalReason,
  RefusedRequest,
  Settled,
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
export function admit(state: AdmissionState, req: AdmissionRequest, ctx: ChanceContext): Admission {
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
export function release(state: AdmissionState, id: RequestId, ctx: ChanceContext): Settled {
  const entry = state.entries.get(id);
  if (entry === undefined) return { state, admitted: [], refused: [] };
  forget(state, entry);
  if (entry.startedAt === undefined) leave(entry.pool, entry);
  else vacate(entry.pool, entry, entry.startedAt, ctx.now);
  return fillSlots(state, entry.pool, ctx);
}

/** Refuses queued requests whose deadline can no longer be met. To be called at `nextExpiry`. */
export function expire(state: AdmissionState, ctx: ChanceContext): Settled {
  const refused: RefusedRequest[] = [];
  for (const pool of state.pools.values()) {
    for (let entry = peek(pool.expiry); entry !== undefined; entry = peek(pool.expiry)) {
      if (entry.startBy > ctx.now) break;
      refused.push(giveUp(state, entry, reasonOf(entry, ctx.now), ctx));
    }
  }
  return { state, admitted: [], refused };
}

/** When `expire` next has something to do. */
export function nextExpiry(state: AdmissionState): MonoTime | undefined {
  let earliest: MonoTime | undefined;
  for (const pool of state.pools.values()) {
    const at = peek(pool.expiry)?.startBy;
    if (at !== undefined && (earliest === undefined || at < earliest)) earliest = at;
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
  ctx: ChanceContext,
  expectedAt?: MonoTime,
): Settled {
  const pool = poolOf(state, model);
  pool.slots = slots;
  pool.expectedAt = slots > 0 ? undefined : expectedAt;
  const settled = slots > 0 ? fillSlots(state, pool, ctx) : giveUpHopeless(state, pool, ctx);
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
  ctx: ChanceContext,
): Verdict {
  const { req, pool } = entry;
  if (req.deadline <= ctx.now)
    return refuse('deadline-passed', backlogMs(state, entry, ctx), state.opts, ctx);
  const broken = brokenLimit(state, req);
  if (broken !== undefined) {
    return refuse(broken, serviceMs(pool, req.estimateMs), state.opts, ctx);
  }
  if (pool.running < pool.slots) {
    // Nothing waits while a slot is free, so even a request that may be late takes no one's place.
    hold(state, entry, policy, ctx.now);
    occupy(pool, entry, ctx.now, state.opts);
    return { kind: 'admitted' };
  }
  const reason = whyNotQueue(state, entry, policy, ctx);
  if (reason !== undefined) return refuse(reason, retryMs(state, entry, ctx), state.opts, ctx);
  if (isFull(state, pool)) {
    const given = leastOf(entry, policy);
    if (given === undefined)
      return refuse('queue-full', backlogMs(state, entry, ctx), state.opts, ctx);
    refused.push(giveUp(state, given, 'displaced', ctx));
  }
  hold(state, entry, policy, ctx.now);
  enter(pool, entry, policy, state.opts);
  if (policy.refusesEarly) shedHopeless(state, entry, refused, ctx);
  return { kind: 'queued' };
}

function whyNotQueue(
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

/** Wait of a request that would join now. */
function backlogMs({ opts }: AdmissionState, entry: Entry, { now }: ChanceContext): number {
  return joinWaitMs(entry, { now, opts });
}

/** Time until the backlog will have shrunk enough for a request like this one. */
function retryMs(state: AdmissionState, entry: Entry, ctx: ChanceContext): number {
  const { pool, startBy } = entry;
  const { now } = ctx;
  if (pool.slots === 0) return pool.expectedAt === undefined ? Infinity : pool.expectedAt - now;
  return now + backlogMs(state, entry, ctx) - startBy;
}

function isFull({ opts }: AdmissionState, pool: Pool): boolean {
  return pool.queued >= Math.max(opts.minQueue, pool.slots * opts.queuePerSlot);
}

/** The queued request that gives way to this one in a full queue, if any should. */
function leastOf(entry: Entry, policy: AdmissionPolicy): Entry | undefined {
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
function shedHopeless(
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

function hold(state: AdmissionState, entry: Entry, policy: AdmissionPolicy, now: MonoTime): void {
  countArrival(entry, policy, now, state.opts.arrivalMemoryMs);
  state.entries.set(entry.req.id, entry);
  countInFlight(state, entry.req, 1);
}

function forget(state: AdmissionState, entry: Entry): void {
  state.entries.delete(entry.req.id);
  countInFlight(state, entry.req, -1);
}

/** Takes a queued request out and refuses it. */
function giveUp(
  state: AdmissionState,
  entry: Entry,
  reason: RefusalReason,
  ctx: ChanceContext,
): RefusedRequest {
  forget(state, entry);
  leave(entry.pool, entry);
  const isWithout = reason === 'no-capacity';
  const afterMs = isWithout ? retryMs(state, entry, ctx) : backlogMs(state, entry, ctx);
  return { id: entry.req.id, verdict: refuse(reason, afterMs, state.opts, ctx) };
}

function reasonOf(entry: Entry, now: MonoTime): RefusalReason {
  return entry.req.deadline <= now ? 'deadline-passed' : 'deadline-unreachable';
}

/** Gives free slots to queued requests in turn. */
function fillSlots(state: AdmissionState, pool: Pool, ctx: ChanceContext): Settled {
  const admitted: RequestId[] = [];
  const refused: RefusedRequest[] = [];
  while (pool.running < pool.slots) {
    const entry = nextInTurn(pool);
    if (entry === undefined) break;
    if (entry.startBy <= ctx.now) {
      refused.push(giveUp(state, entry, reasonOf(entry, ctx.now), ctx));
      continue;
    }
    leave(pool, entry);
    occupy(pool, entry, ctx.now, state.opts);
    admitted.push(entry.req.id);
  }
  return { state, admitted, refused };
}

/** Gives up queued requests for which capacity will not be back in time. */
function giveUpHopeless(state: AdmissionState, pool: Pool, ctx: ChanceContext): Settled {
  const { expectedAt } = pool;
  const refused: RefusedRequest[] = [];
  for (let entry = peek(pool.expiry); entry !== undefined; entry = peek(pool.expiry)) {
    if (expectedAt !== undefined && entry.startBy >= expectedAt) break;
    refused.push(giveUp(state, entry, 'no-capacity', ctx));
  }
  return { state, admitted: [], refused };
}

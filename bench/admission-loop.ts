/**
 * Discrete-event simulation of the admission core: seeded arrivals, slots with service times.
 * It compares admission policies and does not model a cluster.
 */

import {
  admit,
  createAdmission,
  expire,
  nextExpiry,
  release,
  setCapacity,
} from '../src/core/admission/admission';
import { createHeap, peek, push, remove } from '../src/core/admission/heap';
import type {
  AdmissionOptions,
  AdmissionRequest,
  AdmissionState,
  QueueUpdate,
} from '../src/core/admission/types';
import { createRandom } from '../src/adapters/runtime';
import type { CallerClass } from '../src/core/config/types';
import { brandAs } from '../src/core/ids';
import type { ModelId, MonoTime, OrganisationId, RequestId } from '../src/core/ids';
import type { Random } from '../src/core/random';

const MODEL = brandAs<ModelId>('model');

/** A kind of request: its class, mean service time and fraction of its organisation's requests. */
export interface Kind {
  readonly class: CallerClass;
  readonly meanMs: number;
  readonly part: number;
}

export interface Tenant {
  readonly name: string;
  readonly share: number;
  /** Offered load, in slots. */
  readonly load: number;
}

export interface LoopOptions {
  readonly admission: Partial<AdmissionOptions>;
  readonly slots: number;
  readonly tenants: readonly Tenant[];
  readonly kinds: readonly Kind[];
  /** Standard deviation of the logarithm of service times. */
  readonly spread: number;
  /** Requests per burst; 1 for plain Poisson arrivals. */
  readonly burst: number;
  readonly endMs: number;
  readonly seed: number;
}

/** Outcome counts and latencies of one organisation's requests. */
export interface TenantResult {
  readonly name: string;
  offered: number;
  answered: number;
  inTime: number;
  offeredWorth: number;
  worthInTime: number;
  /** Milliseconds from arrival to completion of each answered request. */
  readonly latenciesMs: number[];
  /** Milliseconds from arrival to refusal of each refused request. */
  readonly refusalsMs: number[];
}

/** A tenant with its own random stream, so that its requests don't depend on the other tenants. */
interface Source {
  readonly tenant: Tenant;
  readonly random: Random;
  readonly result: TenantResult;
}

interface Arrival {
  readonly kind: 'arrival';
  readonly at: number;
  readonly source: Source;
}

interface End {
  readonly kind: 'end';
  readonly at: number;
  readonly id: RequestId;
}

type LoopEvent = Arrival | End;

interface Job {
  readonly req: AdmissionRequest;
  readonly at: number;
  readonly serviceMs: number;
  readonly result: TenantResult;
}

interface Loop {
  readonly opts: LoopOptions;
  readonly random: Random;
  readonly events: ReturnType<typeof createHeap<LoopEvent>>;
  readonly state: AdmissionState;
  readonly jobs: Map<RequestId, Job>;
  now: number;
  seq: number;
}

/** Runs the simulation and returns each organisation's result, in the order of `tenants`. */
export function runLoop(opts: LoopOptions): readonly TenantResult[] {
  const loop = createLoop(opts);
  const sources = opts.tenants.map((tenant, i) => createSource(tenant, opts.seed, i));
  for (const source of sources) scheduleArrival(loop, source);
  for (let event = peek(loop.events); event !== undefined; event = peek(loop.events)) {
    expireUntil(loop, event.at);
    remove(loop.events, event);
    loop.now = event.at;
    if (event.kind === 'arrival') arrive(loop, event.source);
    else finish(loop, event.id);
  }
  return sources.map(({ result }) => result);
}

const STREAMS_PER_SEED = 1_000;

function createSource(tenant: Tenant, seed: number, index: number): Source {
  const random = createRandom(seed * STREAMS_PER_SEED + index + 1);
  return { tenant, random, result: createResult(tenant.name) };
}

function createLoop(opts: LoopOptions): Loop {
  const random = createRandom(opts.seed);
  const state = createAdmission(opts.admission);
  setCapacity(state, MODEL, opts.slots, { now: brandAs<MonoTime>(0), random });
  return {
    opts,
    random,
    events: createHeap<LoopEvent>((a, b) => a.at < b.at),
    state,
    jobs: new Map(),
    now: 0,
    seq: 0,
  };
}

function createResult(name: string): TenantResult {
  return {
    name,
    offered: 0,
    answered: 0,
    inTime: 0,
    offeredWorth: 0,
    worthInTime: 0,
    latenciesMs: [],
    refusalsMs: [],
  };
}

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}

/** Log-normal sample with the given mean (Box-Muller transform). */
function logNormal(random: Random, mean: number, spread: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return mean * Math.exp(spread * normal - (spread * spread) / 2);
}

function scheduleArrival(loop: Loop, source: Source): void {
  const { kinds, burst, endMs } = loop.opts;
  const meanMs = kinds.reduce((sum, kind) => sum + kind.part * kind.meanMs, 0);
  const gapMs = (meanMs * burst) / source.tenant.load;
  const at = loop.now + exponential(source.random, gapMs);
  if (at < endMs) push(loop.events, { kind: 'arrival', at, source });
}

function arrive(loop: Loop, source: Source): void {
  scheduleArrival(loop, source);
  for (let i = 0; i < loop.opts.burst; i++) offer(loop, source);
}

function offer(loop: Loop, { tenant, random, result }: Source): void {
  const { now, state } = loop;
  const kind = pickKind(loop.opts.kinds, random);
  if (kind === undefined) return;
  loop.seq += 1;
  const req: AdmissionRequest = {
    id: brandAs<RequestId>(`r${loop.seq}`),
    organisation: brandAs<OrganisationId>(tenant.name),
    class: kind.class,
    share: tenant.share,
    model: MODEL,
    deadline: brandAs<MonoTime>(now + kind.class.deadlineMs),
    estimateMs: kind.meanMs,
  };
  const serviceMs = logNormal(random, kind.meanMs, loop.opts.spread);
  loop.jobs.set(req.id, { req, at: now, serviceMs, result });
  result.offered += 1;
  result.offeredWorth += kind.class.worth;
  const admission = admit(state, req, context(loop));
  if (admission.verdict.kind === 'admitted') begin(loop, req.id);
  if (admission.verdict.kind === 'refused') end(loop, req.id);
  settle(loop, admission);
}

function pickKind(kinds: readonly Kind[], random: Random): Kind | undefined {
  let remaining = random.next();
  return kinds.find((kind) => {
    remaining -= kind.part;
    return remaining < 0;
  });
}

function context(loop: Loop) {
  return { now: brandAs<MonoTime>(loop.now), random: loop.random };
}

function begin(loop: Loop, id: RequestId): void {
  const job = loop.jobs.get(id);
  if (job !== undefined) push(loop.events, { kind: 'end', at: loop.now + job.serviceMs, id });
}

/** Removes a refused request and records its time to refusal. */
function end(loop: Loop, id: RequestId): void {
  const job = loop.jobs.get(id);
  loop.jobs.delete(id);
  job?.result.refusalsMs.push(loop.now - job.at);
}

function finish(loop: Loop, id: RequestId): void {
  const job = loop.jobs.get(id);
  if (job !== undefined) {
    const { result, req } = job;
    loop.jobs.delete(id);
    result.answered += 1;
    result.latenciesMs.push(loop.now - job.at);
    if (loop.now <= req.deadline) {
      result.inTime += 1;
      result.worthInTime += req.class.worth;
    }
  }
  settle(loop, release(loop.state, id, context(loop)));
}

function settle(loop: Loop, settled: QueueUpdate): void {
  for (const id of settled.admitted) begin(loop, id);
  for (const { id } of settled.refused) end(loop, id);
}

function expireUntil(loop: Loop, until: number): void {
  for (
    let at = nextExpiry(loop.state);
    at !== undefined && at < until;
    at = nextExpiry(loop.state)
  ) {
    loop.now = Math.max(loop.now, at);
    settle(loop, expire(loop.state, context(loop)));
  }
}

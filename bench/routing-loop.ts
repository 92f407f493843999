/**
 * Simulates the routing core: several daemons, each with its own state, choose among groups
 * modelled as queues with a batch limit, service times and a prefix cache.
 */

import { createRandom } from '../src/adapters/runtime';
import { createHeap, peek, push, remove } from '../src/core/admission/heap';
import type { RoutableGroup } from '../src/core/groups/types';
import { brandAs } from '../src/core/ids';
import type {
  AttemptId,
  DomainId,
  Epoch,
  GroupId,
  ModelId,
  MonoTime,
  OrganisationId,
} from '../src/core/ids';
import type { Random } from '../src/core/random';
import { affinityKey } from '../src/core/routing/cache';
import {
  chooseGroup,
  createRouting,
  onCacheEvents,
  onEnd,
  onFirstToken,
  onLoadReport,
  onSent,
} from '../src/core/routing/routing';
import type { CacheEvent, RoutingOptions, RoutingState } from '../src/core/routing/types';

export interface RoutingLoopOptions {
  readonly routing: Partial<RoutingOptions>;
  readonly daemons: number;
  readonly groups: number;
  readonly maxBatch: number;
  /** Offered load divided by the capacity of all groups without cache hits. */
  readonly load: number;
  /** Groups that take `slowFactor` times as long. */
  readonly stragglers: number;
  readonly slowFactor: number;
  /** Age of a reported load, milliseconds. */
  readonly reportLagMs: number;
  /** Number of distinct prefixes; requests favour popular ones. */
  readonly prefixes: number;
  /** Number of prefixes that a group can cache. */
  readonly cacheSize: number;
  /** Delay of a cache event to the daemons, milliseconds. */
  readonly eventLagMs: number;
  /** Fraction of cache events that are lost. */
  readonly eventLoss: number;
  readonly endMs: number;
  readonly seed: number;
}

export interface RoutingResult {
  readonly firstTokenMs: readonly number[];
  readonly hitRate: number;
  /** Fraction of requests routed to stragglers. */
  readonly slowPart: number;
}

/** Prompt processing time without a cache hit, milliseconds. */
const PREFILL_MS = 400;
/** Fraction of the prompt time that remains on a cache hit. */
const HIT_PREFILL_PART = 0.2;
const DECODE_MS = 1_200;
/** Additional decode time in a full batch, as a fraction of the time alone. */
const BATCH_SLOWDOWN = 0.5;
const ORGANISATION = brandAs<OrganisationId>('organisation');

interface Job {
  readonly attempt: AttemptId;
  readonly daemon: Daemon;
  readonly prefix: string;
  readonly arrivedAt: number;
  readonly decodeMs: number;
}

interface Daemon {
  readonly state: RoutingState;
}

interface LoadPoint {
  readonly at: number;
  readonly inFlight: number;
  readonly queued: number;
}

interface Server {
  readonly group: RoutableGroup;
  readonly slow: number;
  inFlight: number;
  readonly queue: Job[];
  readonly loads: LoadPoint[];
  /** Cached prefixes, least recently used first. */
  readonly cache: Set<string>;
  eventSeq: number;
}

interface Timed {
  readonly at: number;
  readonly run: () => void;
}

interface Loop {
  readonly opts: RoutingLoopOptions;
  readonly random: Random;
  readonly events: ReturnType<typeof createHeap<Timed>>;
  readonly daemons: readonly Daemon[];
  readonly servers: ReadonlyMap<GroupId, Server>;
  readonly groups: readonly RoutableGroup[];
  readonly firstTokenMs: number[];
  hits: number;
  slowSent: number;
  now: number;
  seq: number;
}

export function runRouting(opts: RoutingLoopOptions): RoutingResult {
  const loop = createLoop(opts);
  scheduleArrival(loop);
  for (let event = peek(loop.events); event !== undefined; event = peek(loop.events)) {
    remove(loop.events, event);
    loop.now = event.at;
    event.run();
  }
  const { firstTokenMs, hits, slowSent } = loop;
  const sent = firstTokenMs.length;
  return { firstTokenMs, hitRate: hits / sent, slowPart: slowSent / sent };
}

function createLoop(opts: RoutingLoopOptions): Loop {
  const servers = Array.from({ length: opts.groups }, (_, i) => createServer(opts, i));
  return {
    opts,
    random: createRandom(opts.seed),
    events: createHeap<Timed>((a, b) => a.at < b.at),
    daemons: Array.from({ length: opts.daemons }, () => ({ state: createRouting(opts.routing) })),
    servers: new Map(servers.map((server) => [server.group.id, server])),
    groups: servers.map(({ group }) => group),
    firstTokenMs: [],
    hits: 0,
    slowSent: 0,
    now: 0,
    seq: 0,
  };
}

function createServer(opts: RoutingLoopOptions, index: number): Server {
  const group: RoutableGroup = {
    id: brandAs<GroupId>(`g${index}`),
    model: brandAs<ModelId>('model'),
    domain: brandAs<DomainId>('domain'),
    epoch: brandAs<Epoch>(1),
    address: '',
    members: [],
    maxBatch: opts.maxBatch,
    routableUntil: brandAs<MonoTime>(Infinity),
  };
  const slow = index < opts.stragglers ? opts.slowFactor : 1;
  return { group, slow, inFlight: 0, queue: [], loads: [], cache: new Set(), eventSeq: 0 };
}

function after(loop: Loop, ms: number, run: () => void): void {
  push(loop.events, { at: loop.now + ms, run });
}

function context(loop: Loop) {
  return { now: brandAs<MonoTime>(loop.now), random: loop.random };
}

function scheduleArrival(loop: Loop): void {
  const { groups, maxBatch, load, endMs } = loop.opts;
  const serviceMs = PREFILL_MS + DECODE_MS * (1 + BATCH_SLOWDOWN);
  const gapMs = serviceMs / (groups * maxBatch * load);
  const waitMs = -Math.log(1 - loop.random.next()) * gapMs;
  if (loop.now + waitMs >= endMs) return;
  after(loop, waitMs, () => {
    scheduleArrival(loop);
    arrive(loop);
  });
}

function arrive(loop: Loop): void {
  const { random, opts } = loop;
  const daemon = loop.daemons[Math.floor(random.next() * loop.daemons.length)];
  if (daemon === undefined) return;
  loop.seq += 1;
  const job: Job = {
    attempt: brandAs<AttemptId>(`a${loop.seq}`),
    daemon,
    // Squared, so that a quarter of the prefixes receives half of the requests.
    prefix: `p${Math.floor(random.next() ** 2 * opts.prefixes)}`,
    arrivedAt: loop.now,
    decodeMs: -Math.log(1 - random.next()) * DECODE_MS,
  };
  send(loop, job);
}

function send(loop: Loop, job: Job): void {
  const { state } = job.daemon;
  const prefixKeys = [job.prefix];
  const req = {
    groups: loop.groups,
    exclude: new Set<GroupId>(),
    prefixKeys,
    organisation: ORGANISATION,
  };
  const { group } = chooseGroup(state, req, context(loop));
  const server = group && loop.servers.get(group.id);
  if (server === undefined) return;
  const event = {
    attempt: job.attempt,
    group: server.group.id,
    streams: true,
    prefixKeys,
    organisation: ORGANISATION,
  };
  onSent(state, event, context(loop));
  if (server.slow > 1) loop.slowSent += 1;
  server.queue.push(job);
  fillBatch(loop, server);
}

function fillBatch(loop: Loop, server: Server): void {
  while (server.inFlight < loop.opts.maxBatch) {
    const job = server.queue.shift();
    if (job === undefined) break;
    run(loop, server, job);
  }
  server.loads.push({ at: loop.now, inFlight: server.inFlight, queued: server.queue.length });
}

function run(loop: Loop, server: Server, job: Job): void {
  const isHit = server.cache.has(job.prefix);
  if (isHit) loop.hits += 1;
  store(loop, server, job.prefix);
  server.inFlight += 1;
  const fill = server.inFlight / loop.opts.maxBatch;
  const prefillMs = PREFILL_MS * (isHit ? HIT_PREFILL_PART : 1) * server.slow;
  const decodeMs = job.decodeMs * (1 + BATCH_SLOWDOWN * fill) * server.slow;
  after(loop, prefillMs, () => {
    firstToken(loop, server, job);
  });
  after(loop, prefillMs + decodeMs, () => {
    server.inFlight -= 1;
    onEnd(job.daemon.state, { attempt: job.attempt, tokens: 1 + job.decodeMs / 20 }, context(loop));
    fillBatch(loop, server);
  });
}

function firstToken(loop: Loop, server: Server, job: Job): void {
  const { state } = job.daemon;
  loop.firstTokenMs.push(loop.now - job.arrivedAt);
  onFirstToken(state, { attempt: job.attempt }, context(loop));
  const seenAt = loop.now - loop.opts.reportLagMs;
  const load = server.loads.findLast(({ at }) => at <= seenAt);
  if (load === undefined) return;
  const { inFlight, queued } = load;
  onLoadReport(state, { group: server.group.id, inFlight, queued }, context(loop));
}

/** Adds a prefix to the group's cache and sends a cache event to the daemons, delayed and possibly lost. */
function store(loop: Loop, server: Server, prefix: string): void {
  const isNew = !server.cache.delete(prefix);
  server.cache.add(prefix);
  if (isNew) publish(loop, server, 'stored', prefix);
  if (server.cache.size <= loop.opts.cacheSize) return;
  const [oldest] = server.cache;
  if (oldest === undefined) return;
  server.cache.delete(oldest);
  publish(loop, server, 'evicted', oldest);
}

function publish(loop: Loop, server: Server, kind: CacheEvent['kind'], prefix: string): void {
  server.eventSeq += 1;
  const event: CacheEvent = {
    seq: server.eventSeq,
    kind,
    prefix: affinityKey(ORGANISATION, prefix),
  };
  after(loop, loop.opts.eventLagMs, () => {
    for (const { state } of loop.daemons) {
      if (loop.random.next() < loop.opts.eventLoss) continue;
      onCacheEvents(state, { group: server.group.id, events: [event] }, context(loop));
    }
  });
}

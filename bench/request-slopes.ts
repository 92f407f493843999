/**
 * Measures time and memory of admission and routing by size, one row per size. Times cover only
 * the core, in this process; bytes are heap growth.
 */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { createRandom } from '../src/adapters/runtime';
import { admit, createAdmission, release, setCapacity } from '../src/core/admission/admission';
import type { AdmissionRequest, AdmissionState } from '../src/core/admission/types';
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
  RequestId,
} from '../src/core/ids';
import {
  chooseGroup,
  createRouting,
  onEnd,
  onFirstToken,
  onLoadReport,
  onSent,
} from '../src/core/routing/routing';
import type { RoutingState } from '../src/core/routing/types';
import { round } from './statistics';

/** One point of a slope. */
export interface SlopeRow {
  readonly role: 'admission' | 'routing';
  /** What `size` counts. */
  readonly unit: string;
  readonly size: number;
  /** CPU time of one request's decisions at this size, microseconds. */
  readonly us: number;
  /** Heap per item of `size`, bytes. */
  readonly bytes: number;
}

const MODEL = brandAs<ModelId>('model');
const FAR = 1e12;
const WARM_UP = 2_000;
const ROUNDS = 20_000;
/** Minimum number of items for a heap measurement. */
const LEAST_COUNTED = 10_000;

const collectGarbage: () => void = (() => {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
})();

function heapBytes(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** CPU time per call of `step`, microseconds. */
function timeOf(step: (i: number) => void): number {
  for (let i = 0; i < WARM_UP; i++) step(i);
  const before = process.cpuUsage();
  for (let i = 0; i < ROUNDS; i++) step(WARM_UP + i);
  const { user, system } = process.cpuUsage(before);
  return (user + system) / ROUNDS;
}

/** Builds a state of the given size and a step to time. */
interface Case<S> {
  readonly state: S;
  readonly step: (i: number) => void;
}

/** Heap per item of `size`; small states are built many times to exceed the noise. */
function bytesOf<S>(size: number, build: (size: number) => Case<S>): number {
  const copies = Math.ceil(LEAST_COUNTED / size);
  const before = heapBytes();
  const built = Array.from({ length: copies }, () => build(size));
  const after = heapBytes();
  return (after - before) / (size * built.length);
}

function measure<S>(
  role: SlopeRow['role'],
  unit: string,
  size: number,
  build: (size: number) => Case<S>,
): SlopeRow {
  const us = timeOf(build(size).step);
  const bytes = bytesOf(size, build);
  return { role, unit, size, us: round(us, 2), bytes: round(bytes, 0) };
}

function admissionRequest(id: string, organisation: string, kind: number): AdmissionRequest {
  return {
    id: brandAs<RequestId>(id),
    organisation: brandAs<OrganisationId>(organisation),
    class: { name: `c${kind}`, worth: 1 + kind, deadlineMs: FAR, maxInFlight: FAR },
    share: 1,
    model: MODEL,
    deadline: brandAs<MonoTime>(FAR + kind),
    estimateMs: 100 + kind,
  };
}

const CLASSES = 200;
/** Time between arrivals; longer than a request takes, so that none is refused. */
const GAP_MS = 500;

/** Admits one request and releases one, leaving the queue length unchanged. */
function admissionCase(organisations: number, queued: number): Case<AdmissionState> {
  const random = createRandom(1);
  const state = createAdmission({ minQueue: FAR, organisationLimit: FAR });
  const at = (now: number) => ({ now: brandAs<MonoTime>(now), random });
  setCapacity(state, MODEL, 1, at(0));
  const ask = (i: number, now: number) => {
    const organisation = `o${i % organisations}`;
    admit(state, admissionRequest(`r${i}`, organisation, i % CLASSES), at(now));
  };
  for (let i = 0; i <= queued; i++) ask(i, i * GAP_MS);
  let running = brandAs<RequestId>('r0');
  const step = (i: number): void => {
    const now = (queued + 1 + i) * GAP_MS;
    ask(queued + 1 + i, now);
    running = release(state, running, at(now)).admitted[0] ?? running;
  };
  return { state, step };
}

function routableGroup(index: number): RoutableGroup {
  return {
    id: brandAs<GroupId>(`group-${index}`),
    model: MODEL,
    domain: brandAs<DomainId>('domain'),
    epoch: brandAs<Epoch>(1),
    address: '127.0.0.1:1',
    members: [],
    maxBatch: 64,
    routableUntil: brandAs<MonoTime>(FAR),
  };
}

interface RoutingSize {
  readonly groups: number;
  readonly inFlight: number;
  readonly prefixes: number;
}

/** Routes and completes one request, leaving the number in flight unchanged. */
function routingCase({ groups, inFlight, prefixes }: RoutingSize): Case<RoutingState> {
  const random = createRandom(1);
  const state = createRouting({ maxPrefixes: Math.max(1, prefixes) });
  const offered = Array.from({ length: groups }, (_, i) => routableGroup(i));
  const organisation = brandAs<OrganisationId>('organisation');
  const exclude = new Set<GroupId>();
  const begin = (i: number): void => {
    const ctx = { now: brandAs<MonoTime>(i), random };
    const prefixKeys = prefixes === 0 ? [] : [`prefix-${i % prefixes}`];
    const req = { groups: offered, exclude, prefixKeys, organisation };
    const { group } = chooseGroup(state, req, ctx);
    if (group === undefined) return;
    const attempt = brandAs<AttemptId>(`a${i}`);
    onSent(state, { attempt, group: group.id, prefixKeys, organisation }, ctx);
    onLoadReport(state, { group: group.id, inFlight: 10, queued: 0 }, ctx);
  };
  const finish = (i: number): void => {
    const ctx = { now: brandAs<MonoTime>(i), random };
    const attempt = brandAs<AttemptId>(`a${i - inFlight}`);
    onFirstToken(state, { attempt }, ctx);
    onEnd(state, { attempt, tokens: 100 }, ctx);
  };
  const start = Math.max(inFlight, prefixes, 1);
  for (let i = 0; i < start; i++) begin(i);
  const step = (i: number): void => {
    begin(start + i);
    finish(start + i);
  };
  return { state, step };
}

const QUEUED = [100, 1_000, 10_000, 100_000];
const ORGANISATIONS = [10, 100, 1_000, 10_000];
const GROUPS = [4, 16, 67, 256, 1_024];
const IN_FLIGHT = [100, 1_000, 10_000, 100_000];
const PREFIXES = [1_000, 5_000, 20_000, 50_000];

const BASE_ORGANISATIONS = 10;
const BASE_GROUPS = 67;
const BASE_IN_FLIGHT = 100;

/** Measures admission and routing, each by the size that its unit names. */
export function measureRequestSlopes(): readonly SlopeRow[] {
  const routing = (size: Partial<RoutingSize>): Case<RoutingState> =>
    routingCase({ groups: BASE_GROUPS, inFlight: BASE_IN_FLIGHT, prefixes: 0, ...size });
  return [
    ...QUEUED.map((size) =>
      measure('admission', 'queued request', size, (n) => admissionCase(BASE_ORGANISATIONS, n)),
    ),
    ...ORGANISATIONS.map((size) =>
      measure('admission', 'organisation with one request', size, (n) => admissionCase(n, n)),
    ),
    ...GROUPS.map((size) => measure('routing', 'group', size, (groups) => routing({ groups }))),
    ...IN_FLIGHT.map((size) =>
      measure('routing', 'request in flight', size, (inFlight) => routing({ inFlight })),
    ),
    ...PREFIXES.map((size) =>
      measure('routing', 'prefix', size, (prefixes) => routing({ prefixes })),
    ),
  ];
}

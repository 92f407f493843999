/** Stateful fuzzing of admission against an oracle that only counts. */

import fc from 'fast-check';

import {
  admit,
  createAdmission,
  expire,
  release,
  setCapacity,
} from '../../src/core/admission/admission';
import type {
  AdmissionPolicyName,
  AdmissionState,
  Refused,
  QueueUpdate,
} from '../../src/core/admission/types';
import { brandAs } from '../../src/core/ids';
import type { MonoTime, RequestId } from '../../src/core/ids';
import { at, callerClass, MODEL, request, seeded } from './admission-fixtures';
import type { FuzzOptions } from './options';

type Phase = 'queued' | 'running' | 'refused' | 'ended';

/** What the oracle knows: where each request stands, by the verdicts alone. */
interface Oracle {
  readonly phases: Map<string, Phase>;
  readonly deadlines: Map<string, number>;
  /** Organisation and class of each request. */
  readonly kinds: Map<string, string>;
  slots: number;
  now: number;
  seq: number;
}

interface System {
  state: AdmissionState;
}

const QUEUE_BOUND = 3;
const CLASS_LIMIT = 3;
const CLASSES = ['x', 'y'].map((name, i) =>
  callerClass({ name, worth: 1 + 9 * i, maxInFlight: CLASS_LIMIT }),
);

function check(holds: boolean, what: string): void {
  if (!holds) throw new Error(what);
}

function inPhase(oracle: Oracle, phase: Phase): string[] {
  return [...oracle.phases].filter(([, is]) => is === phase).map(([id]) => id);
}

/** Moves a request on; it must stand where the move starts. */
function move(oracle: Oracle, id: string, from: Phase | undefined, to: Phase): void {
  const is = oracle.phases.get(id);
  check(is === from, `${id} became ${to} while ${String(is)}`);
  oracle.phases.set(id, to);
}

function checkRefusal(oracle: Oracle, verdict: Refused): void {
  check(verdict.retryAt > oracle.now, 'a refusal names no later instant to come back');
}

/** Takes in what a step did to queued requests, then checks what must always hold. */
function follow(oracle: Oracle, system: System, settled: QueueUpdate): void {
  for (const { id, verdict } of settled.refused) {
    move(oracle, id, 'queued', 'refused');
    checkRefusal(oracle, verdict);
  }
  for (const id of settled.admitted) {
    move(oracle, id, 'queued', 'running');
    check(inPhase(oracle, 'running').length <= oracle.slots, 'slots are oversubscribed');
  }
  const running = inPhase(oracle, 'running').length;
  const queued = inPhase(oracle, 'queued').length;
  check(queued === 0 || running >= oracle.slots, 'a request waits beside a free slot');
  const held = [...inPhase(oracle, 'running'), ...inPhase(oracle, 'queued')];
  for (const kind of oracle.kinds.values()) {
    const ofKind = held.filter((id) => oracle.kinds.get(id) === kind).length;
    check(ofKind <= CLASS_LIMIT, 'a class is beyond its limit');
  }
  const pool = system.state.pools.get(MODEL);
  check((pool?.running ?? 0) === running, 'the count of running requests is off');
  check((pool?.queued ?? 0) === queued, 'the count of queued requests is off');
  check(system.state.entries.size === running + queued, 'a request that is over is still held');
}

interface Action extends fc.Command<Oracle, System> {
  toString(): string;
}

function action(text: string, step: (oracle: Oracle, system: System) => void): Action {
  return { check: () => true, run: step, toString: () => text };
}

const PHASE_AFTER = { admitted: 'running', queued: 'queued', refused: 'refused' } as const;

interface Ask {
  readonly organisation: string;
  readonly kind: number;
  readonly inMs: number;
  readonly estimateMs: number;
}

function askAction(ask: Ask): Action {
  return action(`ask(${JSON.stringify(ask)})`, (oracle, system) => {
    oracle.seq += 1;
    const id = `r${oracle.seq}`;
    const cls = CLASSES[ask.kind];
    const { organisation, estimateMs } = ask;
    const deadline = oracle.now + ask.inMs;
    const before = inPhase(oracle, 'running').length;
    const req = request({ id, organisation, estimateMs, deadline, ...(cls && { class: cls }) });
    const admission = admit(system.state, req, context(oracle));
    oracle.deadlines.set(id, deadline);
    oracle.kinds.set(id, `${organisation} ${ask.kind}`);
    const { verdict } = admission;
    move(oracle, id, undefined, PHASE_AFTER[verdict.kind]);
    if (verdict.kind === 'refused') checkRefusal(oracle, verdict);
    if (verdict.kind === 'admitted') check(before < oracle.slots, 'slots are oversubscribed');
    if (verdict.kind === 'queued') {
      const queued = inPhase(oracle, 'queued').length - admission.refused.length;
      check(queued <= QUEUE_BOUND, 'the queue is beyond its bound');
    }
    follow(oracle, system, admission);
  });
}

function releaseAction(phase: 'queued' | 'running', pick: number): Action {
  return action(`release(${phase}, ${pick})`, (oracle, system) => {
    const ids = inPhase(oracle, phase);
    const id = ids[pick % Math.max(1, ids.length)];
    if (id === undefined) return;
    move(oracle, id, phase, 'ended');
    follow(oracle, system, release(system.state, brandAs<RequestId>(id), context(oracle)));
    const again = release(system.state, brandAs<RequestId>(id), context(oracle));
    check(again.admitted.length === 0, 'a second release freed something');
  });
}

function passAction(ms: number): Action {
  return action(`pass(${ms})`, (oracle, system) => {
    oracle.now += ms;
    follow(oracle, system, expire(system.state, context(oracle)));
    const late = inPhase(oracle, 'queued').filter(
      (id) => (oracle.deadlines.get(id) ?? 0) <= oracle.now,
    );
    check(late.length === 0, 'a request past its deadline is still queued');
  });
}

function capacityAction(slots: number, expectedInMs: number | undefined): Action {
  return action(`capacity(${slots}, ${String(expectedInMs)})`, (oracle, system) => {
    oracle.slots = slots;
    const expectedAt =
      expectedInMs === undefined ? undefined : brandAs<MonoTime>(oracle.now + expectedInMs);
    const settled = setCapacity(system.state, MODEL, slots, context(oracle), expectedAt);
    follow(oracle, system, settled);
  });
}

function context(oracle: Oracle) {
  return at(oracle.now, seeded(oracle.seq));
}

const ASK = fc.record({
  organisation: fc.constantFrom('a', 'b', 'c'),
  kind: fc.nat(CLASSES.length - 1),
  inMs: fc.integer({ min: -10, max: 2_000 }),
  estimateMs: fc.integer({ min: 1, max: 400 }),
});

const ACTIONS = [
  ASK.map(askAction),
  ASK.map(askAction),
  fc.tuple(fc.constantFrom('queued', 'running'), fc.nat(20)).map(([p, n]) => releaseAction(p, n)),
  fc.integer({ min: 0, max: 500 }).map(passAction),
  fc
    .tuple(fc.nat(4), fc.option(fc.integer({ min: 1, max: 2_000 }), { nil: undefined }))
    .map(([slots, expected]) => capacityAction(slots, expected)),
];

const POLICIES: readonly AdmissionPolicyName[] = [
  'fair-worth',
  'fair-deadline',
  'shared-worth',
  'first-come',
  'limit-only',
];

/** Any order of calls: one verdict each, no slot given twice, nothing late left waiting. */
function checkVerdicts({ seed, runs }: FuzzOptions): void {
  const property = fc.property(
    fc.constantFrom(...POLICIES),
    fc.commands(ACTIONS, { maxCommands: 60, size: 'max' }),
    (policy, commands) => {
      const bounds = { queuePerSlot: 0, minQueue: QUEUE_BOUND };
      fc.modelRun(
        () => ({
          model: {
            phases: new Map(),
            deadlines: new Map(),
            kinds: new Map(),
            slots: 0,
            now: 0,
            seq: 0,
          },
          real: { state: createAdmission({ policy, ...bounds }) },
        }),
        commands,
      );
    },
  );
  fc.assert(property, { seed, numRuns: runs });
}

interface Rival {
  readonly share: number;
  readonly estimates: readonly number[];
}

const RIVAL = fc.record({
  share: fc.integer({ min: 1, max: 8 }),
  estimates: fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 5, maxLength: 40 }),
});

const CREDIT_MS = 50;

/** Work got per share by organisation `i` of those that were given. */
function workPerShare(rivals: readonly Rival[], got: readonly string[], i: number): number {
  const mine = got.filter((id) => id.startsWith(`${i}-`));
  const work = mine.map((id) => rivals[i]?.estimates[Number(id.split('-')[1])] ?? 0);
  return work.reduce((sum, ms) => sum + ms, 0) / (rivals[i]?.share ?? 1);
}

function endOf(state: AdmissionState, id: RequestId): number {
  const entry = state.entries.get(id);
  return (entry?.startedAt ?? 0) + (entry?.req.estimateMs ?? 0);
}

function nextToEnd(state: AdmissionState, running: readonly RequestId[]): RequestId | undefined {
  return running.toSorted((a, b) => endOf(state, a) - endOf(state, b))[0];
}

/** Gives slots one by one until the first organisation has nothing queued any more. */
function serveWhileBacklogged(rivals: readonly Rival[], slots: number): readonly string[] {
  const state = createAdmission({ creditMs: CREDIT_MS, minQueue: 10_000 });
  setCapacity(state, MODEL, slots, at(0));
  const running: RequestId[] = [];
  for (let i = 0; i < slots; i++) {
    const { id } = request({ id: `first-${i}` });
    admit(state, request({ id, organisation: 'first', estimateMs: 1 }), at(0));
    running.push(id);
  }
  for (const [i, { share, estimates }] of rivals.entries()) {
    for (const [k, estimateMs] of estimates.entries()) {
      const asked = { id: `${i}-${k}`, organisation: `${i}`, share, estimateMs, deadline: 1e9 };
      admit(state, request(asked), at(0));
    }
  }
  const got: string[] = [];
  const left = new Set(rivals[0]?.estimates.keys());
  for (let id = nextToEnd(state, running); id !== undefined && left.size > 0;) {
    running.splice(running.indexOf(id), 1);
    for (const next of release(state, id, at(endOf(state, id))).admitted) {
      got.push(next);
      running.push(next);
      if (next.startsWith('0-')) left.delete(Number(next.split('-')[1]));
    }
    id = nextToEnd(state, running);
  }
  return got;
}

/** A backlogged organisation gets its share, but for one request each and the credit. */
function checkShares({ seed, runs }: FuzzOptions): void {
  const property = fc.property(
    fc.array(RIVAL, { minLength: 2, maxLength: 5 }),
    fc.integer({ min: 1, max: 4 }),
    (rivals, slots) => {
      const got = serveWhileBacklogged(rivals, slots);
      const first = workPerShare(rivals, got, 0);
      const longest = ({ share, estimates }: Rival) => Math.max(...estimates) / share;
      for (const [i, rival] of rivals.entries()) {
        const credit = CREDIT_MS * slots;
        const bound = longest(rival) + (rivals[0] ? longest(rivals[0]) : 0) + credit;
        const ahead = workPerShare(rivals, got, i) - first;
        check(ahead <= bound + 1e-6, `organisation ${i} is ${ahead} ahead of the first`);
      }
    },
  );
  fc.assert(property, { seed, numRuns: runs });
}

/** Throws with the seed and the shortest history found when something does not hold. */
export function fuzzAdmission(opts: FuzzOptions): void {
  checkVerdicts(opts);
  checkShares(opts);
}

/** Model-based fuzzing of admission against an oracle that only counts requests. */

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

/** The model: the phase of each request, derived from the verdicts alone. */
interface Oracle {
  readonly phases: Map<string, Phase>;
  readonly deadlines: Map<string, number>;
  /** Organisation and class of each request, as one key. */
  readonly kinds: Map<string, string>;
  slots: number;
  now: number;
  seq: number;
}

interface System {
  state: AdmissionState;
}

const QUEUE_LIMIT = 3;
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

/** Moves a request to another phase; fails if it is not in phase `from`. */
function move(oracle: Oracle, id: string, from: Phase | undefined, to: Phase): void {
  const is = oracle.phases.get(id);
  check(is === from, `${id} became ${to} while ${String(is)}`);
  oracle.phases.set(id, to);
}

function checkRefusal(oracle: Oracle, verdict: Refused): void {
  check(verdict.retryAt > oracle.now, 'the retry time of a refusal is not in the future');
}

/** Applies the effect of a step on queued requests, then checks the invariants. */
function applyAndCheck(oracle: Oracle, system: System, update: QueueUpdate): void {
  for (const { id, verdict } of update.refused) {
    move(oracle, id, 'queued', 'refused');
    checkRefusal(oracle, verdict);
  }
  for (const id of update.admitted) {
    move(oracle, id, 'queued', 'running');
    check(inPhase(oracle, 'running').length <= oracle.slots, 'slots are oversubscribed');
  }
  const running = inPhase(oracle, 'running').length;
  const queued = inPhase(oracle, 'queued').length;
  check(queued === 0 || running >= oracle.slots, 'a request is queued while a slot is free');
  const held = [...inPhase(oracle, 'running'), ...inPhase(oracle, 'queued')];
  for (const kind of oracle.kinds.values()) {
    const ofKind = held.filter((id) => oracle.kinds.get(id) === kind).length;
    check(ofKind <= CLASS_LIMIT, 'a class exceeds its limit');
  }
  const pool = system.state.pools.get(MODEL);
  check((pool?.running ?? 0) === running, 'the count of running requests is wrong');
  check((pool?.queued ?? 0) === queued, 'the count of queued requests is wrong');
  check(system.state.entries.size === running + queued, 'a request that ended is still tracked');
}

interface Action extends fc.Command<Oracle, System> {
  toString(): string;
}

function action(text: string, step: (oracle: Oracle, system: System) => void): Action {
  return { check: () => true, run: step, toString: () => text };
}

const PHASE_AFTER = { admitted: 'running', queued: 'queued', refused: 'refused' } as const;

interface Submission {
  readonly organisation: string;
  readonly kind: number;
  readonly inMs: number;
  readonly estimateMs: number;
}

function submitAction(submission: Submission): Action {
  return action(`submit(${JSON.stringify(submission)})`, (oracle, system) => {
    oracle.seq += 1;
    const id = `r${oracle.seq}`;
    const cls = CLASSES[submission.kind];
    const { organisation, estimateMs } = submission;
    const deadline = oracle.now + submission.inMs;
    const before = inPhase(oracle, 'running').length;
    const req = request({ id, organisation, estimateMs, deadline, ...(cls && { class: cls }) });
    const admission = admit(system.state, req, context(oracle));
    oracle.deadlines.set(id, deadline);
    oracle.kinds.set(id, `${organisation} ${submission.kind}`);
    const { verdict } = admission;
    move(oracle, id, undefined, PHASE_AFTER[verdict.kind]);
    if (verdict.kind === 'refused') checkRefusal(oracle, verdict);
    if (verdict.kind === 'admitted') check(before < oracle.slots, 'slots are oversubscribed');
    if (verdict.kind === 'queued') {
      const queued = inPhase(oracle, 'queued').length - admission.refused.length;
      check(queued <= QUEUE_LIMIT, 'the queue exceeds its limit');
    }
    applyAndCheck(oracle, system, admission);
  });
}

function releaseAction(phase: 'queued' | 'running', pick: number): Action {
  return action(`release(${phase}, ${pick})`, (oracle, system) => {
    const ids = inPhase(oracle, phase);
    const id = ids[pick % Math.max(1, ids.length)];
    if (id === undefined) return;
    move(oracle, id, phase, 'ended');
    applyAndCheck(oracle, system, release(system.state, brandAs<RequestId>(id), context(oracle)));
    const again = release(system.state, brandAs<RequestId>(id), context(oracle));
    check(again.admitted.length === 0, 'a second release of a request freed a slot');
  });
}

function advanceAction(ms: number): Action {
  return action(`advance(${ms})`, (oracle, system) => {
    oracle.now += ms;
    applyAndCheck(oracle, system, expire(system.state, context(oracle)));
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
    const update = setCapacity(system.state, MODEL, slots, context(oracle), expectedAt);
    applyAndCheck(oracle, system, update);
  });
}

function context(oracle: Oracle) {
  return at(oracle.now, seeded(oracle.seq));
}

const SUBMISSION = fc.record({
  organisation: fc.constantFrom('a', 'b', 'c'),
  kind: fc.nat(CLASSES.length - 1),
  inMs: fc.integer({ min: -10, max: 2_000 }),
  estimateMs: fc.integer({ min: 1, max: 400 }),
});

const ACTIONS = [
  SUBMISSION.map(submitAction),
  SUBMISSION.map(submitAction),
  fc.tuple(fc.constantFrom('queued', 'running'), fc.nat(20)).map(([p, n]) => releaseAction(p, n)),
  fc.integer({ min: 0, max: 500 }).map(advanceAction),
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

/** Any order of calls: one verdict per request, no slot used twice, no late request left queued. */
function checkVerdicts({ seed, runs }: FuzzOptions): void {
  const property = fc.property(
    fc.constantFrom(...POLICIES),
    fc.commands(ACTIONS, { maxCommands: 60, size: 'max' }),
    (policy, commands) => {
      const bounds = { queuePerSlot: 0, minQueue: QUEUE_LIMIT };
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

interface Competitor {
  readonly share: number;
  readonly estimates: readonly number[];
}

const COMPETITOR = fc.record({
  share: fc.integer({ min: 1, max: 8 }),
  estimates: fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 5, maxLength: 40 }),
});

const CREDIT_MS = 50;

/** Work per share that organisation `i` got, by the ids of admitted requests. */
function workPerShare(
  competitors: readonly Competitor[],
  admitted: readonly string[],
  i: number,
): number {
  const mine = admitted.filter((id) => id.startsWith(`${i}-`));
  const work = mine.map((id) => competitors[i]?.estimates[Number(id.split('-')[1])] ?? 0);
  return work.reduce((sum, ms) => sum + ms, 0) / (competitors[i]?.share ?? 1);
}

function endOf(state: AdmissionState, id: RequestId): number {
  const entry = state.entries.get(id);
  return (entry?.startedAt ?? 0) + (entry?.req.estimateMs ?? 0);
}

function nextToEnd(state: AdmissionState, running: readonly RequestId[]): RequestId | undefined {
  return running.toSorted((a, b) => endOf(state, a) - endOf(state, b))[0];
}

/** Admits requests one by one until the first organisation has none queued; returns their ids. */
function serveWhileBacklogged(
  competitors: readonly Competitor[],
  slots: number,
): readonly string[] {
  const state = createAdmission({ creditMs: CREDIT_MS, minQueue: 10_000 });
  setCapacity(state, MODEL, slots, at(0));
  const running: RequestId[] = [];
  for (let i = 0; i < slots; i++) {
    const { id } = request({ id: `first-${i}` });
    admit(state, request({ id, organisation: 'first', estimateMs: 1 }), at(0));
    running.push(id);
  }
  for (const [i, { share, estimates }] of competitors.entries()) {
    for (const [k, estimateMs] of estimates.entries()) {
      const opts = { id: `${i}-${k}`, organisation: `${i}`, share, estimateMs, deadline: 1e9 };
      admit(state, request(opts), at(0));
    }
  }
  const admitted: string[] = [];
  const remaining = new Set(competitors[0]?.estimates.keys());
  for (let id = nextToEnd(state, running); id !== undefined && remaining.size > 0;) {
    running.splice(running.indexOf(id), 1);
    for (const next of release(state, id, at(endOf(state, id))).admitted) {
      admitted.push(next);
      running.push(next);
      if (next.startsWith('0-')) remaining.delete(Number(next.split('-')[1]));
    }
    id = nextToEnd(state, running);
  }
  return admitted;
}

/**
 * A backlogged organisation gets its share, within one request of each organisation and the credit.
 */
function checkShares({ seed, runs }: FuzzOptions): void {
  const property = fc.property(
    fc.array(COMPETITOR, { minLength: 2, maxLength: 5 }),
    fc.integer({ min: 1, max: 4 }),
    (competitors, slots) => {
      const admitted = serveWhileBacklogged(competitors, slots);
      const first = workPerShare(competitors, admitted, 0);
      const longest = ({ share, estimates }: Competitor) => Math.max(...estimates) / share;
      for (const [i, competitor] of competitors.entries()) {
        const credit = CREDIT_MS * slots;
        const bound = longest(competitor) + (competitors[0] ? longest(competitors[0]) : 0) + credit;
        const ahead = workPerShare(competitors, admitted, i) - first;
        check(ahead <= bound + 1e-6, `organisation ${i} is ${ahead} ahead of the first`);
      }
    },
  );
  fc.assert(property, { seed, numRuns: runs });
}

/** Throws with the seed and the shrunk sequence of steps if an invariant is violated. */
export function fuzzAdmission(opts: FuzzOptions): void {
  checkVerdicts(opts);
  checkShares(opts);
}

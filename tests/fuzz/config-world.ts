/**
 * Simulates the configuration reducers of several daemons on a table whose answers may be lost,
 * late or missing. The oracle is the list of documents that the table accepted.
 */

import {
  hashDocument,
  parseHead,
  versionKey,
  HEAD_KEY,
  RECENT_KEY,
} from '../../src/core/config/rows';
import { NOTHING_IN_FORCE, reduceInForce } from '../../src/core/config/in-force';
import type { InForceEvent, InForceState, VersionRef } from '../../src/core/config/in-force';
import { createPush } from '../../src/core/config/push';
import type { Push } from '../../src/core/config/push';
import { reduceSubmit, startSubmit } from '../../src/core/config/submit';
import type {
  Change,
  SubmitAnswer,
  SubmitEffect,
  SubmitEvent,
  SubmitState,
  SubmitTransaction,
} from '../../src/core/config/submit';
import { later } from '../../src/core/ids';
import type { ChangeId, ConfigVersion, MonoTime } from '../../src/core/ids';
import type { Json, Row } from '../../src/ports/platform';
import { documentWith } from '../support/config-documents';

/** Fault of one call to the table; `late`: the write takes effect some time after the error. */
export type Fault = 'none' | 'down' | 'lost-answer' | 'lost-request' | 'late';

interface Submission {
  readonly daemon: number;
  readonly change: Change;
  state: SubmitState;
  effect: SubmitEffect | undefined;
}

interface Daemon {
  state: InForceState;
  /** Fetches in progress; they may complete in any order. */
  fetches: VersionRef[];
  isPartitioned: boolean;
}

interface PushInFlight {
  readonly to: number;
  readonly push: Push;
}

interface LateTransaction {
  readonly transaction: SubmitTransaction;
  readonly by: Submission;
}

/** A version in the order of the table's commits. */
export interface AcceptedVersion {
  readonly changeId: string;
  readonly hash: string;
  /** The submission whose write took effect; a change may be submitted several times. */
  readonly by: Submission;
}

const SUBMIT_MS = 2000;
const DAEMONS = 3;
const PUSH_BYTES = 2048;
/** Codes that state the outcome of this submission only, not of earlier ones of the same change. */
const OWN_OUTCOME_ONLY: readonly string[] = ['store-unavailable'];

function check(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}

/** State of the simulation: the table, the daemons and the messages in flight. */
export interface ConfigWorld {
  readonly rows: Map<string, Row>;
  readonly late: LateTransaction[];
  readonly pushes: PushInFlight[];
  readonly submissions: Submission[];
  readonly answers: Answered[];
  readonly daemons: readonly Daemon[];
  /** The oracle: the accepted versions 1, 2 and so on. */
  readonly history: AcceptedVersion[];
  counter: number;
  now: MonoTime;
}

interface Answered {
  readonly by: Submission;
  readonly answer: SubmitAnswer;
}

export function createWorld(): ConfigWorld {
  const daemons = Array.from({ length: DAEMONS }, (): Daemon => ({
    state: NOTHING_IN_FORCE,
    fetches: [],
    isPartitioned: false,
  }));
  return {
    rows: new Map(),
    late: [],
    pushes: [],
    submissions: [],
    answers: [],
    daemons,
    history: [],
    counter: 0,
    now: 0 as MonoTime,
  };
}

/** Submits a document, with or without the version that it is based on. */
export function submit(
  world: ConfigWorld,
  daemon: number,
  share: number,
  withVersion: boolean,
): void {
  const { mark } = daemonAt(world, daemon).state;
  const change: Change = {
    changeId: `c${world.submissions.length}` as ChangeId,
    document: documentWith(share),
    ...(withVersion ? { ifVersion: mark.version } : {}),
  };
  start(world, daemon, change);
}

/** Submits a change based on the head and completes it without a fault. */
export function amend(world: ConfigWorld, daemon: number, share: number): void {
  const changeId = `c${world.submissions.length}` as ChangeId;
  const ifVersion = world.history.length as ConfigVersion;
  start(world, daemon, { changeId, ifVersion, document: documentWith(share) });
  const submission = world.submissions.at(-1);
  while (submission?.effect) carryOut(world, submission, 'none');
}

/** Submits an earlier change again, as after a lost answer or an unknown outcome. */
export function submitAgain(world: ConfigWorld, index: number, daemon: number): void {
  const earlier = pick(world.submissions, index);
  if (earlier) start(world, daemon, earlier.change);
}

/** Carries out the next effect of a submission, with this fault of the table. */
export function advance(world: ConfigWorld, index: number, fault: Fault): void {
  const inProgress = world.submissions.filter(({ effect }) => effect !== undefined);
  const submission = pick(inProgress, index);
  if (submission) carryOut(world, submission, fault);
}

/** Applies a late write. */
export function applyLate(world: ConfigWorld, index: number): void {
  const late = pick(world.late, index);
  if (!late) return;
  world.late.splice(world.late.indexOf(late), 1);
  apply(world, late.transaction, late.by);
}

/** Delivers a push; `again` leaves it in flight to arrive twice, `damaged` corrupts its delta. */
export function deliver(
  world: ConfigWorld,
  index: number,
  how: 'once' | 'again' | 'lost' | 'damaged',
): void {
  const inFlight = pick(world.pushes, index);
  if (!inFlight) return;
  if (how !== 'again') world.pushes.splice(world.pushes.indexOf(inFlight), 1);
  if (how === 'lost' || daemonAt(world, inFlight.to).isPartitioned) return;
  dispatch(world, inFlight.to, {
    kind: 'pushed',
    ...(how === 'damaged' ? damage(inFlight.push) : inFlight.push),
  });
}

/** Reads the head from the table. */
export function poll(world: ConfigWorld, index: number): void {
  if (daemonAt(world, index).isPartitioned) return;
  const row = world.rows.get(HEAD_KEY);
  if (row) dispatch(world, index, { kind: 'head', mark: parseHead(row)._unsafeUnwrap() });
}

/** Completes a fetch from the table or a peer; `damaged-peer` returns a wrong document. */
export function fetch(
  world: ConfigWorld,
  index: number,
  which: number,
  from: 'table' | 'peer' | 'damaged-peer',
): void {
  const daemon = daemonAt(world, index);
  const mark = pick(daemon.fetches, which);
  if (daemon.isPartitioned || !mark) return;
  daemon.fetches.splice(daemon.fetches.indexOf(mark), 1);
  if (from === 'table') {
    const document = documentOf(world, mark.version);
    if (document !== undefined) dispatch(world, index, { kind: 'document', mark, document, from });
    return;
  }
  const peer = daemonAt(world, index + 1);
  if (peer.isPartitioned || peer.state.document === undefined) return;
  const document = from === 'peer' ? peer.state.document : { templates: {} };
  dispatch(world, index, { kind: 'document', mark: peer.state.mark, document, from: 'peer' });
}

/** Restarts a daemon: it loses its state, its fetches and its submissions. */
export function restart(world: ConfigWorld, index: number): void {
  const daemon = daemonAt(world, index);
  daemon.state = NOTHING_IN_FORCE;
  daemon.fetches = [];
  for (const submission of world.submissions) {
    if (submission.daemon === index % DAEMONS) submission.effect = undefined;
  }
}

/** Partitions a daemon from the table and its peers, or ends the partition. */
export function setPartitioned(world: ConfigWorld, index: number, isPartitioned: boolean): void {
  daemonAt(world, index).isPartitioned = isPartitioned;
}

/** Advances the clock. */
export function advanceClock(world: ConfigWorld, ms: number): void {
  world.now = later(world.now, ms);
}

/** Checks the invariants; called after every step. */
export function checkInvariants(world: ConfigWorld): void {
  const ids = world.history.map(({ changeId }) => changeId);
  check(new Set(ids).size === ids.length, `a change took effect twice: ${ids.join()}`);
  for (const { state } of world.daemons) {
    const { version, hash } = state.mark;
    if (version === 0) continue;
    check(
      world.history[version - 1]?.hash === hash,
      `version ${version} in force is not the version that the table accepted`,
    );
  }
  for (const { by, answer } of world.answers) checkAnswer(world, by, answer);
}

/** Ends all faults and checks that every daemon then reaches the head. */
export function checkConvergence(world: ConfigWorld): void {
  while (world.late.length > 0) applyLate(world, 0);
  checkInvariants(world);
  world.daemons.forEach((daemon, i) => {
    daemon.isPartitioned = false;
    poll(world, i);
    while (daemon.fetches.length > 0) fetch(world, i, 0, 'table');
    check(daemon.state.mark.version === world.history.length, `daemon ${i} did not reach the head`);
  });
}

function checkAnswer(world: ConfigWorld, by: Submission, answer: SubmitAnswer): void {
  if (answer.kind === 'accepted') {
    const hash = world.history[answer.version - 1]?.hash;
    check(
      hash === hashDocument(by.change.document),
      'accepted, but the version has a different document',
    );
    return;
  }
  // Without an answer of the table, a submission knows only whether its own write took effect.
  const subject = OWN_OUTCOME_ONLY.includes(answer.code) ? by : by.change.changeId;
  const tookEffect = world.history.some((one) => one.by === subject || one.changeId === subject);
  const isUnknown = answer.code === 'store-unknown';
  check(isUnknown || !tookEffect, `${answer.code} was answered to a change that took effect`);
}

function start(world: ConfigWorld, daemon: number, change: Change): void {
  const step = startSubmit(change, later(world.now, SUBMIT_MS));
  world.submissions.push({
    daemon: daemon % DAEMONS,
    change,
    state: step.state,
    effect: step.effects[0],
  });
}

function carryOut(world: ConfigWorld, submission: Submission, fault: Fault): void {
  const { effect } = submission;
  if (effect?.kind === 'answer' || !effect) return;
  const step = reduceSubmit(submission.state, outcomeOf(world, submission, effect, fault), {
    now: world.now,
  });
  submission.state = step.state;
  [submission.effect] = step.effects;
  if (submission.effect?.kind !== 'answer') return;
  const { answer } = submission.effect;
  submission.effect = undefined;
  world.answers.push({ by: submission, answer });
  if (answer.kind === 'accepted') announceAccepted(world, submission, answer.version);
}

function outcomeOf(
  world: ConfigWorld,
  by: Submission,
  effect: Exclude<SubmitEffect, { kind: 'answer' }>,
  fault: Fault,
): SubmitEvent {
  if (effect.kind === 'wait') {
    advanceClock(world, effect.ms);
    return { kind: 'waited' };
  }
  if (effect.kind === 'read') {
    if (fault !== 'none') return { kind: 'read-failed' };
    const view = { head: world.rows.get(HEAD_KEY), recent: world.rows.get(RECENT_KEY) };
    return { kind: 'read', view };
  }
  return commit(world, by, effect.transaction, fault);
}

function commit(
  world: ConfigWorld,
  by: Submission,
  transaction: SubmitTransaction,
  fault: Fault,
): SubmitEvent {
  if (fault === 'down') return { kind: 'commit-failed', code: 'store-unavailable' };
  if (fault === 'late') world.late.push({ transaction, by });
  if (fault === 'late' || fault === 'lost-request') {
    return { kind: 'commit-failed', code: 'store-unknown' };
  }
  const applied = apply(world, transaction, by);
  if (fault === 'lost-answer') return { kind: 'commit-failed', code: 'store-unknown' };
  return applied ? { kind: 'committed' } : { kind: 'commit-failed', code: 'conflict' };
}

function apply(
  world: ConfigWorld,
  { conditions, writes }: SubmitTransaction,
  by: Submission,
): boolean {
  const holds = conditions.every(
    ({ key, version }) => (world.rows.get(key)?.version ?? 0) === version,
  );
  if (!holds) return false;
  world.counter += 1;
  for (const { key, value } of writes) {
    if (value === undefined) world.rows.delete(key);
    else world.rows.set(key, { key, version: world.counter, value });
    if (key === HEAD_KEY && value !== undefined) recordHead(world, { key, version: 0, value }, by);
  }
  return true;
}

function recordHead(world: ConfigWorld, row: Row, by: Submission): void {
  const { version, changeId, hash } = parseHead(row)._unsafeUnwrap();
  check(
    version === world.history.length + 1,
    `the head skipped from version ${world.history.length} to ${version}`,
  );
  world.history.push({ changeId, hash, by });
}

function announceAccepted(
  world: ConfigWorld,
  { daemon, change }: Submission,
  version: ConfigVersion,
): void {
  const { state } = daemonAt(world, daemon);
  if (version <= state.mark.version) return;
  const push = createPush(state, version, change.document, PUSH_BYTES);
  dispatch(world, daemon, {
    kind: 'document',
    mark: push.mark,
    document: change.document,
    from: 'self',
  });
  world.daemons.forEach((_, to) => {
    if (to !== daemon) world.pushes.push({ to, push });
  });
}

function dispatch(world: ConfigWorld, index: number, event: InForceEvent): void {
  const daemon = daemonAt(world, index);
  const before = daemon.state.mark.version;
  const step = reduceInForce(daemon.state, event, { now: world.now });
  daemon.state = step.state;
  check(step.state.mark.version >= before, `daemon ${index} went back from version ${before}`);
  for (const effect of step.effects) if (effect.kind === 'fetch') daemon.fetches.push(effect.mark);
}

function documentOf(world: ConfigWorld, version: number): Json | undefined {
  const row = world.rows.get(versionKey(version));
  return row && (row.value as { document: Json }).document;
}

function daemonAt(world: ConfigWorld, index: number): Daemon {
  const daemon = world.daemons[index % DAEMONS];
  if (!daemon) throw new RangeError(`daemon ${index} does not exist`);
  return daemon;
}

function pick<T>(items: readonly T[], index: number): T | undefined {
  return items[index % Math.max(1, items.length)];
}

function damage(push: Push): Push {
  if (!push.delta) return push;
  return { ...push, delta: [{ section: 'keys', value: [] }, ...push.delta.slice(1)] };
}

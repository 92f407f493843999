/**
 * The configuration reducers of several daemons around a table whose answers may be lost, late or
 * missing, and the oracle: the list of documents as the table accepted them.
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

export type Fault = 'none' | 'down' | 'lost-answer' | 'lost-request' | 'late';

interface Submission {
  readonly daemon: number;
  readonly change: Change;
  state: SubmitState;
  effect: SubmitEffect | undefined;
}

interface Daemon {
  state: InForceState;
  /** Fetches on their way; an old one may arrive last. */
  fetches: VersionRef[];
  cut: boolean;
}

interface PushInFlight {
  readonly to: number;
  readonly push: Push;
}

interface LateTransaction {
  readonly transaction: SubmitTransaction;
  readonly by: Submission;
}

export interface AcceptedVersion {
  readonly changeId: string;
  readonly hash: string;
  /** The submission whose write took effect: a change may be submitted more than once. */
  readonly by: Submission;
}

const SUBMIT_MS = 2000;
const DAEMONS = 3;
const PUSH_BYTES = 2048;
const SAYS_NOTHING_OF_OTHERS: readonly string[] = ['store-unavailable'];

function check(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}

/** The table, the daemons and what is on its way between them. */
export interface ConfigWorld {
  readonly rows: Map<string, Row>;
  readonly late: LateTransaction[];
  readonly pushes: PushInFlight[];
  readonly submissions: Submission[];
  readonly answers: Answered[];
  readonly daemons: readonly Daemon[];
  /** The oracle: what the table holds as version 1, 2 and so on. */
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
    cut: false,
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

/** Submits an amendment of the head and carries it out without a fault. */
export function amend(world: ConfigWorld, daemon: number, share: number): void {
  const changeId = `c${world.submissions.length}` as ChangeId;
  const ifVersion = world.history.length as ConfigVersion;
  start(world, daemon, { changeId, ifVersion, document: documentWith(share) });
  const submission = world.submissions.at(-1);
  while (submission?.effect) carryOut(world, submission, 'none');
}

/** An operator who had no answer, or an answer that says unknown, sends its change again. */
export function submitAgain(world: ConfigWorld, index: number, daemon: number): void {
  const earlier = pick(world.submissions, index);
  if (earlier) start(world, daemon, earlier.change);
}

/** Carries out the next effect of a submission, with a fault of the table. */
export function advance(world: ConfigWorld, index: number, fault: Fault): void {
  const open = world.submissions.filter(({ effect }) => effect !== undefined);
  const submission = pick(open, index);
  if (submission) carryOut(world, submission, fault);
}

export function applyLate(world: ConfigWorld, index: number): void {
  const arriving = pick(world.late, index);
  if (!arriving) return;
  world.late.splice(world.late.indexOf(arriving), 1);
  apply(world, arriving.transaction, arriving.by);
}

/** A pushed change arrives; `again` leaves it to arrive once more, `damaged` changes it. */
export function deliver(
  world: ConfigWorld,
  index: number,
  how: 'once' | 'again' | 'lost' | 'damaged',
): void {
  const flying = pick(world.pushes, index);
  if (!flying) return;
  if (how !== 'again') world.pushes.splice(world.pushes.indexOf(flying), 1);
  if (how === 'lost' || daemonAt(world, flying.to).cut) return;
  dispatch(world, flying.to, {
    kind: 'pushed',
    ...(how === 'damaged' ? damage(flying.push) : flying.push),
  });
}

export function poll(world: ConfigWorld, index: number): void {
  if (daemonAt(world, index).cut) return;
  const row = world.rows.get(HEAD_KEY);
  if (row) dispatch(world, index, { kind: 'head', mark: parseHead(row)._unsafeUnwrap() });
}

/** Carries out a fetch, from the table or, with its document damaged or not, from a peer. */
export function fetch(
  world: ConfigWorld,
  index: number,
  which: number,
  from: 'table' | 'peer' | 'damaged-peer',
): void {
  const daemon = daemonAt(world, index);
  const mark = pick(daemon.fetches, which);
  if (daemon.cut || !mark) return;
  daemon.fetches.splice(daemon.fetches.indexOf(mark), 1);
  if (from === 'table') {
    const document = documentOf(world, mark.version);
    if (document !== undefined) dispatch(world, index, { kind: 'document', mark, document, from });
    return;
  }
  const peer = daemonAt(world, index + 1);
  if (peer.cut || peer.state.document === undefined) return;
  const document = from === 'peer' ? peer.state.document : { templates: {} };
  dispatch(world, index, { kind: 'document', mark: peer.state.mark, document, from: 'peer' });
}

export function restart(world: ConfigWorld, index: number): void {
  const daemon = daemonAt(world, index);
  daemon.state = NOTHING_IN_FORCE;
  daemon.fetches = [];
  for (const submission of world.submissions) {
    if (submission.daemon === index % DAEMONS) submission.effect = undefined;
  }
}

export function setPartitioned(world: ConfigWorld, index: number, cut: boolean): void {
  daemonAt(world, index).cut = cut;
}

export function pass(world: ConfigWorld, ms: number): void {
  world.now = later(world.now, ms);
}

/** What must hold after every step. */
export function checkInvariants(world: ConfigWorld): void {
  const ids = world.history.map(({ changeId }) => changeId);
  check(new Set(ids).size === ids.length, `a change took effect twice: ${ids.join()}`);
  for (const { state } of world.daemons) {
    const { version, hash } = state.mark;
    if (version === 0) continue;
    check(
      world.history[version - 1]?.hash === hash,
      `version ${version} in force is not the accepted one`,
    );
  }
  for (const { by, answer } of world.answers) checkAnswer(world, by, answer);
}

/** Ends all faults; then every daemon must come to the head. */
export function checkConvergence(world: ConfigWorld): void {
  while (world.late.length > 0) applyLate(world, 0);
  checkInvariants(world);
  world.daemons.forEach((daemon, i) => {
    daemon.cut = false;
    poll(world, i);
    while (daemon.fetches.length > 0) fetch(world, i, 0, 'table');
    check(daemon.state.mark.version === world.history.length, `daemon ${i} is not on the head`);
  });
}

function checkAnswer(world: ConfigWorld, by: Submission, answer: SubmitAnswer): void {
  if (answer.kind === 'accepted') {
    const hash = world.history[answer.version - 1]?.hash;
    check(hash === hashDocument(by.change.document), 'accepted, but another document holds');
    return;
  }
  // Of a table that it did not reach, a submission can only say what it did itself.
  const says = SAYS_NOTHING_OF_OTHERS.includes(answer.code) ? by : by.change.changeId;
  const took = world.history.some((one) => one.by === says || one.changeId === says);
  const unknown = answer.code === 'store-unknown';
  check(unknown || !took, `${answer.code} was answered to a change that took effect`);
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
  if (answer.kind === 'accepted') takeEffect(world, submission, answer.version);
}

function outcomeOf(
  world: ConfigWorld,
  by: Submission,
  effect: Exclude<SubmitEffect, { kind: 'answer' }>,
  fault: Fault,
): SubmitEvent {
  if (effect.kind === 'wait') {
    pass(world, effect.ms);
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
    if (key === HEAD_KEY && value !== undefined) noteHead(world, { key, version: 0, value }, by);
  }
  return true;
}

function noteHead(world: ConfigWorld, row: Row, by: Submission): void {
  const { version, changeId, hash } = parseHead(row)._unsafeUnwrap();
  check(
    version === world.history.length + 1,
    `the head went from ${world.history.length} to ${version}`,
  );
  world.history.push({ changeId, hash, by });
}

function takeEffect(
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
  check(step.state.mark.version >= before, `daemon ${index} fell back from version ${before}`);
  for (const effect of step.effects) if (effect.kind === 'fetch') daemon.fetches.push(effect.mark);
}

function documentOf(world: ConfigWorld, version: number): Json | undefined {
  const row = world.rows.get(versionKey(version));
  return row && (row.value as { document: Json }).document;
}

function daemonAt(world: ConfigWorld, index: number): Daemon {
  const daemon = world.daemons[index % DAEMONS];
  if (!daemon) throw new RangeError(`no daemon ${index}`);
  return daemon;
}

function pick<T>(items: readonly T[], index: number): T | undefined {
  return items[index % Math.max(1, items.length)];
}

function damage(push: Push): Push {
  if (!push.delta) return push;
  return { ...push, delta: [{ section: 'keys', value: [] }, ...push.delta.slice(1)] };
}

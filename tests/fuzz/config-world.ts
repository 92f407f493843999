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
import type { InForceEvent, InForceState, VersionMark } from '../../src/core/config/in-force';
import { pushOf } from '../../src/core/config/push';
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
  fetches: VersionMark[];
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

export class ConfigWorld {
  private readonly rows = new Map<string, Row>();
  private readonly late: LateTransaction[] = [];
  private readonly pushes: PushInFlight[] = [];
  private readonly submissions: Submission[] = [];
  private readonly answers: { readonly by: Submission; readonly answer: SubmitAnswer }[] = [];
  private readonly daemons: Daemon[];
  /** The oracle: what the table holds as version 1, 2 and so on. */
  private readonly history: AcceptedVersion[] = [];
  private counter = 0;
  private now = 0 as MonoTime;

  constructor() {
    this.daemons = Array.from({ length: DAEMONS }, () => ({
      state: NOTHING_IN_FORCE,
      fetches: [],
      cut: false,
    }));
  }

  submit(daemon: number, share: number, withVersion: boolean): void {
    const { mark } = this.daemonAt(daemon).state;
    const change: Change = {
      changeId: `c${this.submissions.length}` as ChangeId,
      document: documentWith(share),
      ...(withVersion ? { ifVersion: mark.version } : {}),
    };
    this.start(daemon, change);
  }

  /** Submits an amendment of the head and carries it out without a fault. */
  change(daemon: number, share: number): void {
    const changeId = `c${this.submissions.length}` as ChangeId;
    const ifVersion = this.history.length as ConfigVersion;
    this.start(daemon, { changeId, ifVersion, document: documentWith(share) });
    const submission = this.submissions.at(-1);
    while (submission?.effect) this.carryOut(submission, 'none');
  }

  /** An operator who had no answer, or an answer that says unknown, sends its change again. */
  submitAgain(index: number, daemon: number): void {
    const earlier = this.pick(this.submissions, index);
    if (earlier) this.start(daemon, earlier.change);
  }

  /** Carries out the next effect of a submission, with a fault of the table. */
  advance(index: number, fault: Fault): void {
    const open = this.submissions.filter(({ effect }) => effect !== undefined);
    const submission = this.pick(open, index);
    if (submission) this.carryOut(submission, fault);
  }

  arriveLate(index: number): void {
    const arriving = this.pick(this.late, index);
    if (!arriving) return;
    this.late.splice(this.late.indexOf(arriving), 1);
    this.apply(arriving.transaction, arriving.by);
  }

  /** A pushed change arrives; `again` leaves it to arrive once more, `damaged` changes it. */
  deliver(index: number, how: 'once' | 'again' | 'lost' | 'damaged'): void {
    const flying = this.pick(this.pushes, index);
    if (!flying) return;
    if (how !== 'again') this.pushes.splice(this.pushes.indexOf(flying), 1);
    if (how === 'lost' || this.daemonAt(flying.to).cut) return;
    this.dispatch(flying.to, {
      kind: 'pushed',
      ...(how === 'damaged' ? damage(flying.push) : flying.push),
    });
  }

  poll(index: number): void {
    if (this.daemonAt(index).cut) return;
    const row = this.rows.get(HEAD_KEY);
    if (row) this.dispatch(index, { kind: 'head', mark: parseHead(row)._unsafeUnwrap() });
  }

  /** Carries out a fetch, from the table or, with its document damaged or not, from a peer. */
  fetch(index: number, which: number, from: 'table' | 'peer' | 'damaged-peer'): void {
    const daemon = this.daemonAt(index);
    const mark = this.pick(daemon.fetches, which);
    if (daemon.cut || !mark) return;
    daemon.fetches.splice(daemon.fetches.indexOf(mark), 1);
    if (from === 'table') {
      const document = this.documentOf(mark.version);
      if (document !== undefined) this.dispatch(index, { kind: 'document', mark, document, from });
      return;
    }
    const peer = this.daemonAt(index + 1);
    if (peer.cut || peer.state.document === undefined) return;
    const document = from === 'peer' ? peer.state.document : { templates: {} };
    this.dispatch(index, { kind: 'document', mark: peer.state.mark, document, from: 'peer' });
  }

  restart(index: number): void {
    const daemon = this.daemonAt(index);
    daemon.state = NOTHING_IN_FORCE;
    daemon.fetches = [];
    for (const submission of this.submissions) {
      if (submission.daemon === index % DAEMONS) submission.effect = undefined;
    }
  }

  setCut(index: number, cut: boolean): void {
    this.daemonAt(index).cut = cut;
  }

  pass(ms: number): void {
    this.now = later(this.now, ms);
  }

  /** What must hold after every step. */
  checkAlways(): void {
    const ids = this.history.map(({ changeId }) => changeId);
    check(new Set(ids).size === ids.length, `a change took effect twice: ${ids.join()}`);
    for (const { state } of this.daemons) {
      const { version, hash } = state.mark;
      if (version === 0) continue;
      check(
        this.history[version - 1]?.hash === hash,
        `version ${version} in force is not the accepted one`,
      );
    }
    for (const { by, answer } of this.answers) this.checkAnswer(by, answer);
  }

  /** Ends all faults; then every daemon must come to the head. */
  checkConverges(): void {
    while (this.late.length > 0) this.arriveLate(0);
    this.checkAlways();
    this.daemons.forEach((daemon, i) => {
      daemon.cut = false;
      this.poll(i);
      while (daemon.fetches.length > 0) this.fetch(i, 0, 'table');
      check(daemon.state.mark.version === this.history.length, `daemon ${i} is not on the head`);
    });
  }

  private checkAnswer(by: Submission, answer: SubmitAnswer): void {
    if (answer.kind === 'accepted') {
      const hash = this.history[answer.version - 1]?.hash;
      check(hash === hashDocument(by.change.document), 'accepted, but another document holds');
      return;
    }
    // Of a table that it did not reach, a submission can only say what it did itself.
    const says = SAYS_NOTHING_OF_OTHERS.includes(answer.code) ? by : by.change.changeId;
    const took = this.history.some((one) => one.by === says || one.changeId === says);
    const unknown = answer.code === 'store-unknown';
    check(unknown || !took, `${answer.code} was answered to a change that took effect`);
  }

  private start(daemon: number, change: Change): void {
    const step = startSubmit(change, later(this.now, SUBMIT_MS));
    this.submissions.push({
      daemon: daemon % DAEMONS,
      change,
      state: step.state,
      effect: step.effects[0],
    });
  }

  private carryOut(submission: Submission, fault: Fault): void {
    const { effect } = submission;
    if (effect?.kind === 'answer' || !effect) return;
    const step = reduceSubmit(submission.state, this.outcomeOf(submission, effect, fault), {
      now: this.now,
    });
    submission.state = step.state;
    [submission.effect] = step.effects;
    if (submission.effect?.kind !== 'answer') return;
    const { answer } = submission.effect;
    submission.effect = undefined;
    this.answers.push({ by: submission, answer });
    if (answer.kind === 'accepted') this.takeEffect(submission, answer.version);
  }

  private outcomeOf(
    by: Submission,
    effect: Exclude<SubmitEffect, { kind: 'answer' }>,
    fault: Fault,
  ): SubmitEvent {
    if (effect.kind === 'wait') {
      this.pass(effect.ms);
      return { kind: 'waited' };
    }
    if (effect.kind === 'read') {
      if (fault !== 'none') return { kind: 'read-failed' };
      const view = { head: this.rows.get(HEAD_KEY), recent: this.rows.get(RECENT_KEY) };
      return { kind: 'read', view };
    }
    return this.commit(by, effect.transaction, fault);
  }

  private commit(by: Submission, transaction: SubmitTransaction, fault: Fault): SubmitEvent {
    if (fault === 'down') return { kind: 'commit-failed', code: 'store-unavailable' };
    if (fault === 'late') this.late.push({ transaction, by });
    if (fault === 'late' || fault === 'lost-request') {
      return { kind: 'commit-failed', code: 'store-unknown' };
    }
    const applied = this.apply(transaction, by);
    if (fault === 'lost-answer') return { kind: 'commit-failed', code: 'store-unknown' };
    return applied ? { kind: 'committed' } : { kind: 'commit-failed', code: 'conflict' };
  }

  private apply({ conditions, writes }: SubmitTransaction, by: Submission): boolean {
    const holds = conditions.every(
      ({ key, version }) => (this.rows.get(key)?.version ?? 0) === version,
    );
    if (!holds) return false;
    this.counter += 1;
    for (const { key, value } of writes) {
      if (value === undefined) this.rows.delete(key);
      else this.rows.set(key, { key, version: this.counter, value });
      if (key === HEAD_KEY && value !== undefined) this.noteHead({ key, version: 0, value }, by);
    }
    return true;
  }

  private noteHead(row: Row, by: Submission): void {
    const { version, changeId, hash } = parseHead(row)._unsafeUnwrap();
    check(
      version === this.history.length + 1,
      `the head went from ${this.history.length} to ${version}`,
    );
    this.history.push({ changeId, hash, by });
  }

  private takeEffect({ daemon, change }: Submission, version: ConfigVersion): void {
    const { state } = this.daemonAt(daemon);
    if (version <= state.mark.version) return;
    const push = pushOf(state, version, change.document, PUSH_BYTES);
    this.dispatch(daemon, {
      kind: 'document',
      mark: push.mark,
      document: change.document,
      from: 'self',
    });
    this.daemons.forEach((_, to) => {
      if (to !== daemon) this.pushes.push({ to, push });
    });
  }

  private dispatch(index: number, event: InForceEvent): void {
    const daemon = this.daemonAt(index);
    const before = daemon.state.mark.version;
    const step = reduceInForce(daemon.state, event, { now: this.now });
    daemon.state = step.state;
    check(step.state.mark.version >= before, `daemon ${index} fell back from version ${before}`);
    for (const effect of step.effects)
      if (effect.kind === 'fetch') daemon.fetches.push(effect.mark);
  }

  private documentOf(version: number): Json | undefined {
    const row = this.rows.get(versionKey(version));
    return row && (row.value as { document: Json }).document;
  }

  private daemonAt(index: number): Daemon {
    const daemon = this.daemons[index % DAEMONS];
    if (!daemon) throw new RangeError(`no daemon ${index}`);
    return daemon;
  }

  private pick<T>(items: readonly T[], index: number): T | undefined {
    return items[index % Math.max(1, items.length)];
  }
}

function damage(push: Push): Push {
  if (!push.delta) return push;
  return { ...push, delta: [{ section: 'keys', value: [] }, ...push.delta.slice(1)] };
}

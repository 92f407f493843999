/**
 * One submitted change, from its first read of the table to its answer.
 *
 * The change is written in one transaction on the condition that the head is still the version it
 * was made from, so that it takes effect at most once however often it is tried. When an answer
 * of the table is lost, the rows are read back and looked through for the change's id; a write
 * still on its way can then only find another head and fail.
 */

import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';

import { hashParts } from '../../utils/common';
import type { ErrorCode } from '../../utils/errors';
import type { ChangeId, ConfigVersion, MonoTime } from '../ids';
import { brandAs } from '../ids';
import { canonicalText } from '../json';
import type { Json } from '../json';
import { createReducer, next } from '../reducer';
import type { Step } from '../reducer';
import { checkDocument, formatFieldErrors } from './check';
import {
  HEAD_KEY,
  RECENT_KEY,
  MAX_VERSIONS,
  hashDocument,
  headValue,
  parseHead,
  parseRecent,
  recentValue,
  versionKey,
  versionValue,
} from './rows';
import type { HeadRow, RecentChange, StoredRow, UnreadableRow } from './rows';
import { mergeOwnParameters } from './scope';

const FIRST_WAIT_MS = 50;
const LONGEST_WAIT_MS = 1600;
/** A document must fit into one row and one message between daemons. */
const MAX_DOCUMENT_LENGTH = 1_000_000;
/** Errors of the table that promise that nothing was written. */
const NOTHING_WRITTEN: readonly ErrorCode[] = ['store-unavailable', 'too-many-requests'];

/** A change as submitted; see `ConfigChange` in `app/parts.ts`. */
export interface Change {
  readonly changeId: ChangeId;
  readonly ifVersion?: ConfigVersion;
  readonly document: Json;
  readonly organisation?: string;
}

export interface SubmitState {
  readonly change: Change;
  /** Given up on after this. */
  readonly deadline: MonoTime;
  readonly phase: 'reading' | 'committing' | 'waiting' | 'answered';
  /** The candidate being committed. */
  readonly candidate?: Candidate;
  /** Tries so far, for growing waits. */
  readonly tries: number;
  /** A commit was sent whose answer was lost. */
  readonly maybeWritten: boolean;
}

interface Candidate {
  readonly version: ConfigVersion;
  readonly document: Json;
}

/** What the table holds when a change is decided. */
export interface TableSnapshot {
  readonly head: StoredRow | undefined;
  readonly recent: StoredRow | undefined;
  /** Document of the head; only needed for an organisation's operator. */
  readonly document?: Json;
}

export interface SubmitTransaction {
  readonly conditions: readonly { readonly key: string; readonly version: number }[];
  readonly writes: readonly { readonly key: string; readonly value?: Json }[];
}

export interface Accepted {
  readonly kind: 'accepted';
  readonly version: ConfigVersion;
  /** Absent for a repeated change: read it from the version's row. */
  readonly document?: Json;
}

export interface Refused {
  readonly kind: 'refused';
  readonly code: ErrorCode;
  readonly message: string;
}

export type SubmitAnswer = Accepted | Refused;

export type SubmitEvent =
  | { readonly kind: 'read'; readonly view: TableSnapshot }
  | { readonly kind: 'read-failed' }
  | { readonly kind: 'committed' }
  | { readonly kind: 'commit-failed'; readonly code: ErrorCode }
  | { readonly kind: 'waited' };

export type SubmitEffect =
  | { readonly kind: 'read'; readonly withDocument: boolean }
  | { readonly kind: 'commit'; readonly transaction: SubmitTransaction }
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'answer'; readonly answer: SubmitAnswer };

type SubmitStep = Step<SubmitState, SubmitEffect>;

/** Starts a change; carry out its effects and feed the outcome back until it answers. */
export function startSubmit(change: Change, deadline: MonoTime): SubmitStep {
  const state: SubmitState = { change, deadline, phase: 'reading', tries: 0, maybeWritten: false };
  return next(state, readEffect(change));
}

export const reduceSubmit = createReducer<SubmitState, SubmitEvent, SubmitEffect>({
  read: (state, event) => decide({ ...state, phase: 'reading' }, event.view),
  'read-failed': (state, _, { now }) => retryOrGiveUp(state, now),
  committed: (state) => {
    const { candidate } = state;
    if (!candidate) return refuse(state, 'internal', 'committed without a candidate');
    return answer(state, { kind: 'accepted', ...candidate });
  },
  'commit-failed': (state, event, { now }) => afterFailedCommit(state, event.code, now),
  waited: (state) => next({ ...state, phase: 'reading' }, readEffect(state.change)),
});

function readEffect(change: Change): SubmitEffect {
  return { kind: 'read', withDocument: change.organisation !== undefined };
}

function answer(state: SubmitState, given: SubmitAnswer): SubmitStep {
  return next({ ...state, phase: 'answered' }, { kind: 'answer', answer: given });
}

function refuse(state: SubmitState, code: ErrorCode, message: string): SubmitStep {
  return answer(state, { kind: 'refused', code, message });
}

/** Hash of what was submitted: the same id with another content is another change. */
export function hashChange(change: Change): string {
  return hashParts(canonicalText(change.document), change.organisation ?? '');
}

function decide(state: SubmitState, view: TableSnapshot): SubmitStep {
  const head: Result<HeadRow | undefined, UnreadableRow> = view.head
    ? parseHead(view.head)
    : ok(undefined);
  const recent: Result<readonly RecentChange[], UnreadableRow> = view.recent
    ? parseRecent(view.recent)
    : ok([]);
  if (head.isErr() || recent.isErr()) {
    return refuse(state, 'unavailable', 'the configuration in the table cannot be read');
  }
  const known: Known = { head: head.value, changes: recent.value, view };
  return decideKnown(state, known);
}

/** The table's rows, parsed. */
interface Known {
  readonly head: HeadRow | undefined;
  readonly changes: readonly RecentChange[];
  readonly view: TableSnapshot;
}

function decideKnown(state: SubmitState, known: Known): SubmitStep {
  const { change } = state;
  const earlier = known.changes.find((past) => past.changeId === change.changeId);
  if (earlier) return answerEarlier(state, earlier);
  const current = known.head?.version ?? 0;
  if (change.ifVersion !== undefined && change.ifVersion !== current) {
    return refuse(
      state,
      'conflict',
      `version ${current} is in force; the change was made from version ${change.ifVersion}`,
    );
  }
  return decideDocument(state, known);
}

function answerEarlier(state: SubmitState, earlier: RecentChange): SubmitStep {
  if (earlier.hash === hashChange(state.change)) {
    return answer(state, { kind: 'accepted', version: earlier.version });
  }
  const message = `change id ${earlier.changeId} already made version ${earlier.version} with another content`;
  return refuse(state, 'key-reused', message);
}

function decideDocument(state: SubmitState, known: Known): SubmitStep {
  const { change } = state;
  const document = mergeDocument(change, known);
  if (document === undefined) {
    const message = `only the parameters of organisation ${change.organisation ?? ''} may be changed`;
    return refuse(state, 'forbidden', message);
  }
  if (canonicalText(document).length > MAX_DOCUMENT_LENGTH) {
    const message = `a document has at most ${MAX_DOCUMENT_LENGTH} characters as JSON`;
    return refuse(state, 'body-too-large', message);
  }
  const checked = checkDocument(document);
  if (checked.isErr()) return refuse(state, 'bad-request', formatFieldErrors(checked.error));
  const hash = hashDocument(document);
  if (known.head?.hash === hash) return commitNoChange(state, known.head, known, document);
  if (known.head && change.ifVersion === undefined) {
    const message = `version ${known.head.version} is in force; say which version the change was made from`;
    return refuse(state, 'precondition-required', message);
  }
  return commitVersion(state, known, document, hash);
}

function mergeDocument(change: Change, known: Known): Json | undefined {
  if (change.organisation === undefined) return change.document;
  if (known.view.document === undefined) return undefined;
  return mergeOwnParameters(known.view.document, change.document, change.organisation);
}

function conditionsOn(view: TableSnapshot): SubmitTransaction['conditions'] {
  return [
    { key: HEAD_KEY, version: view.head?.version ?? 0 },
    { key: RECENT_KEY, version: view.recent?.version ?? 0 },
  ];
}

function recentWith(
  state: SubmitState,
  known: Known,
  version: ConfigVersion,
): SubmitTransaction['writes'][number] {
  const { change } = state;
  const entry = { changeId: change.changeId, version, hash: hashChange(change) };
  return { key: RECENT_KEY, value: recentValue([...known.changes, entry]) };
}

/** The document is in force already: only the change's id is kept. */
function commitNoChange(
  state: SubmitState,
  head: HeadRow,
  known: Known,
  document: Json,
): SubmitStep {
  const { version } = head;
  const writes = [recentWith(state, known, version)];
  return commit(state, { version, document }, { conditions: conditionsOn(known.view), writes });
}

function commitVersion(state: SubmitState, known: Known, document: Json, hash: string): SubmitStep {
  const { changeId } = state.change;
  const version = brandAs<ConfigVersion>((known.head?.version ?? 0) + 1);
  const head: HeadRow = { version, changeId, hash };
  const writes = [
    { key: HEAD_KEY, value: headValue(head) },
    recentWith(state, known, version),
    { key: versionKey(version), value: versionValue({ ...head, document }) },
    ...(version > MAX_VERSIONS ? [{ key: versionKey(version - MAX_VERSIONS) }] : []),
  ];
  return commit(state, { version, document }, { conditions: conditionsOn(known.view), writes });
}

function commit(
  state: SubmitState,
  candidate: Candidate,
  transaction: SubmitTransaction,
): SubmitStep {
  return next({ ...state, phase: 'committing', candidate }, { kind: 'commit', transaction });
}

function afterFailedCommit(state: SubmitState, code: ErrorCode, now: MonoTime): SubmitStep {
  // Someone else was faster, or an earlier try of this change took effect: the rows tell which.
  if (code === 'conflict') return retryOrGiveUp(state, now);
  const maybeWritten = state.maybeWritten || !NOTHING_WRITTEN.includes(code);
  return retryOrGiveUp({ ...state, maybeWritten }, now);
}

function retryOrGiveUp(state: SubmitState, now: MonoTime): SubmitStep {
  if (now < state.deadline) {
    const ms = Math.min(FIRST_WAIT_MS * 2 ** state.tries, LONGEST_WAIT_MS);
    return next({ ...state, phase: 'waiting', tries: state.tries + 1 }, { kind: 'wait', ms });
  }
  if (!state.maybeWritten) {
    return refuse(
      state,
      'store-unavailable',
      'the table service did not answer; this submission changed nothing',
    );
  }
  const message =
    'the change may have taken effect; submit it again with the same change id to learn the outcome';
  return refuse(state, 'store-unknown', message);
}

/**
 * Reducer for one submitted change, from the first read of the table to the answer.
 *
 * The change is written in one transaction, conditional on the head that it was based on, so it
 * takes effect at most once however often it is tried. If an answer of the table is lost, the rows
 * are read again and searched for the change's id; a write still in flight then finds another head
 * and fails.
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
const MAX_WAIT_MS = 1600;
/** Maximum characters of a document as JSON, so that it fits in one row and one peer message. */
const MAX_DOCUMENT_LENGTH = 1_000_000;
/** Errors of the table after which nothing was written for certain. */
const NOTHING_WRITTEN: readonly ErrorCode[] = ['store-unavailable', 'too-many-requests'];

/** A change as submitted; see `ConfigChange` in `app/parts.ts`. */
export interface Change {
  readonly changeId: ChangeId;
  readonly ifVersion?: ConfigVersion;
  readonly document: Json;
  readonly organisation?: string;
}

/** State of one submission. */
export interface SubmitState {
  readonly change: Change;
  /** No retry starts after this instant. */
  readonly deadline: MonoTime;
  readonly phase: 'reading' | 'committing' | 'waiting' | 'answered';
  /** The candidate being committed. */
  readonly candidate?: Candidate;
  /** Failed tries so far, for the backoff. */
  readonly tries: number;
  /** Whether a commit was sent whose answer was lost. */
  readonly maybeWritten: boolean;
}

interface Candidate {
  readonly version: ConfigVersion;
  readonly document: Json;
}

/** The rows of the table on which a change is decided. */
export interface TableSnapshot {
  readonly head: StoredRow | undefined;
  readonly recent: StoredRow | undefined;
  /** Document of the head; needed only for a change by an organisation's operator. */
  readonly document?: Json;
}

/** Writes that take effect together if every row still has the given version. */
export interface SubmitTransaction {
  readonly conditions: readonly { readonly key: string; readonly version: number }[];
  readonly writes: readonly { readonly key: string; readonly value?: Json }[];
}

/** The change is in effect as `version`. */
export interface Accepted {
  readonly kind: 'accepted';
  readonly version: ConfigVersion;
  /** Absent for a repeated change; the version's row has it. */
  readonly document?: Json;
}

/** The change was refused, or its outcome is unknown (`store-unknown`). */
export interface Refused {
  readonly kind: 'refused';
  readonly code: ErrorCode;
  readonly message: string;
}

export type SubmitAnswer = Accepted | Refused;

/** Results of the effects. */
export type SubmitEvent =
  | { readonly kind: 'read'; readonly view: TableSnapshot }
  | { readonly kind: 'read-failed' }
  | { readonly kind: 'committed' }
  | { readonly kind: 'commit-failed'; readonly code: ErrorCode }
  | { readonly kind: 'waited' };

/** What the caller carries out; each yields one event, but `answer` ends the submission. */
export type SubmitEffect =
  | { readonly kind: 'read'; readonly withDocument: boolean }
  | { readonly kind: 'commit'; readonly transaction: SubmitTransaction }
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'answer'; readonly answer: SubmitAnswer };

type SubmitStep = Step<SubmitState, SubmitEffect>;

/** Starts a submission; carry out its effects and feed the results to `reduceSubmit`. */
export function startSubmit(change: Change, deadline: MonoTime): SubmitStep {
  const state: SubmitState = { change, deadline, phase: 'reading', tries: 0, maybeWritten: false };
  return next(state, readEffect(change));
}

/** Applies one event to a submission. */
export const reduceSubmit = createReducer<SubmitState, SubmitEvent, SubmitEffect>({
  read: (state, event) => decide({ ...state, phase: 'reading' }, event.view),
  'read-failed': (state, _, { now }) => retryOrGiveUp(state, now),
  committed: (state) => {
    const { candidate } = state;
    if (!candidate)
      return refuse(
        state,
        'internal',
        `change ${state.change.changeId} was committed without a candidate`,
      );
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

/** Hash of the submitted content; tells a repeated change from a reused change id. */
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
    return refuse(
      state,
      'unavailable',
      'the configuration rows in the table are damaged or have an unknown schema',
    );
  }
  const parsed: ParsedTable = { head: head.value, changes: recent.value, view };
  return decideParsed(state, parsed);
}

/** Parsed rows of the table. */
interface ParsedTable {
  readonly head: HeadRow | undefined;
  readonly changes: readonly RecentChange[];
  readonly view: TableSnapshot;
}

function decideParsed(state: SubmitState, parsed: ParsedTable): SubmitStep {
  const { change } = state;
  const earlier = parsed.changes.find((past) => past.changeId === change.changeId);
  if (earlier) return answerRepeated(state, earlier);
  const current = parsed.head?.version ?? 0;
  if (change.ifVersion !== undefined && change.ifVersion !== current) {
    return refuse(
      state,
      'conflict',
      `version ${current} is in force, but the change is based on version ${change.ifVersion}`,
    );
  }
  return decideDocument(state, parsed);
}

function answerRepeated(state: SubmitState, earlier: RecentChange): SubmitStep {
  if (earlier.hash === hashChange(state.change)) {
    return answer(state, { kind: 'accepted', version: earlier.version });
  }
  const message = `change id ${earlier.changeId} was already used for version ${earlier.version} with different content`;
  return refuse(state, 'key-reused', message);
}

function decideDocument(state: SubmitState, parsed: ParsedTable): SubmitStep {
  const { change } = state;
  const document = mergeDocument(change, parsed);
  if (document === undefined) {
    const message = `an operator of organisation ${change.organisation ?? ''} may change only the parameters of that organisation`;
    return refuse(state, 'forbidden', message);
  }
  if (canonicalText(document).length > MAX_DOCUMENT_LENGTH) {
    const message = `the document exceeds ${MAX_DOCUMENT_LENGTH} characters as JSON`;
    return refuse(state, 'body-too-large', message);
  }
  const checked = checkDocument(document);
  if (checked.isErr()) return refuse(state, 'bad-request', formatFieldErrors(checked.error));
  const hash = hashDocument(document);
  if (parsed.head?.hash === hash) return commitNoChange(state, parsed.head, parsed, document);
  if (parsed.head && change.ifVersion === undefined) {
    const message = `version ${parsed.head.version} is in force; state the version that the change is based on`;
    return refuse(state, 'precondition-required', message);
  }
  return commitVersion(state, parsed, document, hash);
}

function mergeDocument(change: Change, parsed: ParsedTable): Json | undefined {
  if (change.organisation === undefined) return change.document;
  if (parsed.view.document === undefined) return undefined;
  return mergeOwnParameters(parsed.view.document, change.document, change.organisation);
}

function conditionsOn(view: TableSnapshot): SubmitTransaction['conditions'] {
  return [
    { key: HEAD_KEY, version: view.head?.version ?? 0 },
    { key: RECENT_KEY, version: view.recent?.version ?? 0 },
  ];
}

function recentWith(
  state: SubmitState,
  parsed: ParsedTable,
  version: ConfigVersion,
): SubmitTransaction['writes'][number] {
  const { change } = state;
  const entry = { changeId: change.changeId, version, hash: hashChange(change) };
  return { key: RECENT_KEY, value: recentValue([...parsed.changes, entry]) };
}

/** The document is already in force, so only the change id is recorded. */
function commitNoChange(
  state: SubmitState,
  head: HeadRow,
  parsed: ParsedTable,
  document: Json,
): SubmitStep {
  const { version } = head;
  const writes = [recentWith(state, parsed, version)];
  return commit(state, { version, document }, { conditions: conditionsOn(parsed.view), writes });
}

function commitVersion(
  state: SubmitState,
  parsed: ParsedTable,
  document: Json,
  hash: string,
): SubmitStep {
  const { changeId } = state.change;
  const version = brandAs<ConfigVersion>((parsed.head?.version ?? 0) + 1);
  const head: HeadRow = { version, changeId, hash };
  const writes = [
    { key: HEAD_KEY, value: headValue(head) },
    recentWith(state, parsed, version),
    { key: versionKey(version), value: versionValue({ ...head, document }) },
    ...(version > MAX_VERSIONS ? [{ key: versionKey(version - MAX_VERSIONS) }] : []),
  ];
  return commit(state, { version, document }, { conditions: conditionsOn(parsed.view), writes });
}

function commit(
  state: SubmitState,
  candidate: Candidate,
  transaction: SubmitTransaction,
): SubmitStep {
  return next({ ...state, phase: 'committing', candidate }, { kind: 'commit', transaction });
}

function afterFailedCommit(state: SubmitState, code: ErrorCode, now: MonoTime): SubmitStep {
  // Another change was committed first, or an earlier try of this one was; the rows show which.
  if (code === 'conflict') return retryOrGiveUp(state, now);
  const maybeWritten = state.maybeWritten || !NOTHING_WRITTEN.includes(code);
  return retryOrGiveUp({ ...state, maybeWritten }, now);
}

function retryOrGiveUp(state: SubmitState, now: MonoTime): SubmitStep {
  if (now < state.deadline) {
    const ms = Math.min(FIRST_WAIT_MS * 2 ** state.tries, MAX_WAIT_MS);
    return next({ ...state, phase: 'waiting', tries: state.tries + 1 }, { kind: 'wait', ms });
  }
  if (!state.maybeWritten) {
    return refuse(
      state,
      'store-unavailable',
      `the table service did not commit change ${state.change.changeId} before the deadline; this submission changed nothing`,
    );
  }
  const message = `change ${state.change.changeId} may have taken effect; submit it again with the same change id to get the outcome`;
  return refuse(state, 'store-unknown', message);
}

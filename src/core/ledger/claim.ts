/**
 * Reducer for the lifecycle of one claim, as its holder sees it. No I/O.
 *
 * A claim is a row that is written before the first byte of a request is sent, on condition that
 * the row is absent or released. Only its holder changes it, so a holder that was paused finds its
 * claim unchanged. The `send` event decides whether the holder may still send, in the same tick as
 * the write to the connection; after `give-up` no state allows sending.
 */

import { later } from '../ids';
import type { HandlerTable, Step, StepContext } from '../reducer';
import { createReducer, next } from '../reducer';
import type {
  ClaimEffect,
  ClaimEvent,
  ClaimPhase,
  ClaimState,
  ClaimTerms,
  NotHeldReason,
} from './claim-types';
import type { ClaimRow, VersionedRow } from './rows';

type ClaimStep = Step<ClaimState, ClaimEffect>;

/** Failed inserts, by a conflict or a lost answer, after which the claim is abandoned. */
const MAX_INSERTS = 2;
const MAX_CLOSING_TRIES = 12;
const FIRST_WAIT_MS = 100;
const MAX_WAIT_MS = 20_000;

/** A claim whose insert starts with the `begin` event. */
export function createClaim(terms: ClaimTerms): ClaimState {
  return { terms, phase: 'taking', version: 0, isWanted: true, tries: 0, finalRow: undefined };
}

function fieldsOf({ attempt, holder, bodyHash, deadlineAt, expiresAt }: ClaimTerms) {
  return { attempt, holder, bodyHash, deadlineAt, expiresAt };
}

function claimedRow(terms: ClaimTerms): ClaimRow {
  return { ...fieldsOf(terms), state: 'claimed' };
}

function releasedRow(terms: ClaimTerms): ClaimRow {
  return { ...fieldsOf(terms), state: 'released', expiresAt: terms.releasedUntil };
}

function isOwn(state: ClaimState, row: ClaimRow | undefined): boolean {
  return row?.attempt === state.terms.attempt;
}

/** Whether a claim may be written over this row. */
function isFree(row: ClaimRow | undefined): boolean {
  return row === undefined || row.state === 'released';
}

function isLate(state: ClaimState, { now }: StepContext): boolean {
  return now >= state.terms.deadline;
}

function insert(state: ClaimState, version: number): ClaimStep {
  const row = claimedRow(state.terms);
  return next<ClaimState, ClaimEffect>(
    { ...state, phase: 'taking', version },
    { kind: 'write', row, version },
  );
}

function read(state: ClaimState, phase: 'reading' | 'checking'): ClaimStep {
  return next<ClaimState, ClaimEffect>({ ...state, phase }, { kind: 'read' });
}

function closed(state: ClaimState, settled: boolean, ...before: ClaimEffect[]): ClaimStep {
  return next<ClaimState, ClaimEffect>({ ...state, phase: 'closed' }, ...before, {
    kind: 'closed',
    settled,
  });
}

/** Starts the final write. */
function close(state: ClaimState, finalRow: ClaimRow): ClaimStep {
  const write: ClaimEffect = { kind: 'write', row: finalRow, version: state.version };
  return next({ ...state, phase: 'closing', finalRow, tries: 0 }, write);
}

function markUnwanted(state: ClaimState): ClaimState {
  return { ...state, isWanted: false, finalRow: releasedRow(state.terms) };
}

/** Reports that the claim was not obtained, at most once. */
function notHeld(state: ClaimState, reason: NotHeldReason): readonly ClaimEffect[] {
  return state.isWanted ? [{ kind: 'not-held', reason }] : [];
}

/** Aborts before the claim is held; reads the row first, as an insert may still take effect. */
function abandon(state: ClaimState, reason: NotHeldReason): ClaimStep {
  const { effects } = read(state, 'checking');
  return next({ ...markUnwanted(state), phase: 'checking' }, ...notHeld(state, reason), ...effects);
}

/** Aborts while an insert or a read is in progress; its result decides the next step. */
function abortWhilePending(state: ClaimState): ClaimStep {
  return next(markUnwanted(state), ...notHeld(state, 'late'));
}

/** The row was read after an insert that conflicted or went unanswered. */
function onSeenWhileReading(state: ClaimState, seen: VersionedRow, ctx: StepContext): ClaimStep {
  const { row, version } = seen;
  if (!state.isWanted) return onSeenWhileChecking(state, seen);
  if (isOwn(state, row) && row?.state === 'claimed') {
    return next<ClaimState, ClaimEffect>({ ...state, phase: 'held', version }, { kind: 'held' });
  }
  if (row !== undefined && !isFree(row)) return closed(state, true, { kind: 'exists', row });
  if (isLate(state, ctx)) return abandon(state, 'late');
  if (state.tries >= MAX_INSERTS) return abandon(state, 'store-unknown');
  return insert(state, version);
}

/** The row was read after a final write that conflicted or went unanswered. */
function onSeenWhileChecking(state: ClaimState, seen: VersionedRow): ClaimStep {
  const { row, version } = seen;
  const { finalRow } = state;
  if (finalRow === undefined) return closed(state, true);
  if (isOwn(state, row) && row?.state === finalRow.state) return closed(state, true);
  if (isOwn(state, row) || isFree(row)) {
    const write: ClaimEffect = { kind: 'write', row: finalRow, version };
    return next({ ...state, phase: 'closing', version }, write);
  }
  return closed(state, true);
}

/** Retries the final write with exponential backoff, up to `MAX_CLOSING_TRIES`. */
function closeLater(state: ClaimState, { now }: StepContext): ClaimStep {
  const tries = state.tries + 1;
  if (tries > MAX_CLOSING_TRIES) return closed({ ...state, tries }, false);
  const waitMs = Math.min(MAX_WAIT_MS, FIRST_WAIT_MS * 2 ** tries);
  const wait: ClaimEffect = { kind: 'wait', until: later(now, waitMs) };
  return next({ ...state, phase: 'checking', tries }, wait);
}

type PhaseHandlers = Partial<
  Record<ClaimPhase, (state: ClaimState, ctx: StepContext) => ClaimStep>
>;

/** Dispatches an event by phase; a phase without a handler ignores it. */
function byPhase(handlers: PhaseHandlers) {
  return (state: ClaimState, _event: unknown, ctx: StepContext): ClaimStep =>
    handlers[state.phase]?.(state, ctx) ?? next<ClaimState, ClaimEffect>(state);
}

/** Reads the row after an insert that conflicted or whose answer was lost. */
function readAfterInsert(state: ClaimState): ClaimStep {
  return read({ ...state, tries: state.tries + 1 }, state.isWanted ? 'reading' : 'checking');
}

function onInsertUnavailable(state: ClaimState): ClaimStep {
  // An earlier insert whose answer was lost may still take effect.
  if (state.tries > 0) return abandon(state, 'store-unavailable');
  return closed(state, true, ...notHeld(state, 'store-unavailable'));
}

function onInserted(state: ClaimState): ClaimStep {
  if (!state.isWanted) return close(state, releasedRow(state.terms));
  return next<ClaimState, ClaimEffect>({ ...state, phase: 'held' }, { kind: 'held' });
}

/** The row could not be read: reports `not-held` and closes the claim later. */
function onUnreadable(state: ClaimState, ctx: StepContext): ClaimStep {
  const { state: closing, effects } = closeLater(markUnwanted(state), ctx);
  return next(closing, ...notHeld(state, 'store-unknown'), ...effects);
}

const HANDLERS: HandlerTable<ClaimState, ClaimEvent, ClaimEffect> = {
  begin: (state) => insert(state, 0),

  written: (state, { version }) => {
    const written = { ...state, version };
    if (state.phase === 'taking') return onInserted(written);
    return state.phase === 'closing' ? closed(written, true) : next(state);
  },

  conflict: byPhase({ taking: readAfterInsert, closing: (state) => read(state, 'checking') }),

  unavailable: byPhase({ taking: onInsertUnavailable, closing: closeLater }),

  unanswered: byPhase({ taking: readAfterInsert, closing: closeLater }),

  seen: (state, { seen }, ctx) => {
    if (state.phase === 'reading') return onSeenWhileReading(state, seen, ctx);
    return state.phase === 'checking' ? onSeenWhileChecking(state, seen) : next(state);
  },

  unreadable: byPhase({ reading: onUnreadable, checking: closeLater }),

  waited: byPhase({ checking: (state) => read(state, 'checking') }),

  send: (state, _event, ctx) => {
    const isHeld = state.phase === 'held' || state.phase === 'sent';
    if (!isHeld || isLate(state, ctx)) {
      return next<ClaimState, ClaimEffect>(state, { kind: 'must-not-send' });
    }
    return next<ClaimState, ClaimEffect>({ ...state, phase: 'sent' }, { kind: 'may-send' });
  },

  refused: byPhase({ sent: (state) => next<ClaimState, ClaimEffect>({ ...state, phase: 'held' }) }),

  'give-up': byPhase({
    taking: abortWhilePending,
    reading: abortWhilePending,
    held: (state) => close(state, releasedRow(state.terms)),
    sent: (state) => close(state, { ...fieldsOf(state.terms), state: 'unknown' }),
  }),

  answered: (state, { answer }) =>
    state.phase === 'sent'
      ? close(state, { ...fieldsOf(state.terms), state: 'finished', answer })
      : next(state),
};

/** Applies one event to a claim. */
export const stepClaim = createReducer(HANDLERS);

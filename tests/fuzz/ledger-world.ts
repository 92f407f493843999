/** Simulates claims of several daemons on one table; the fuzzer controls every answer. */

import { createClaim, stepClaim } from '../../src/core/ledger/claim';
import type { ClaimEffect, ClaimEvent, ClaimState } from '../../src/core/ledger/claim-types';
import type { ClaimRow } from '../../src/core/ledger/rows';
import type { AttemptId, DaemonId, EpochTime, MonoTime } from '../../src/core/ids';

const DEADLINE_MS = 1_000;
const RETENTION_MS = 20_000;
/** No other request with the same key may be sent within this time of a run. */
export const ONCE_WITHIN_MS = RETENTION_MS - DEADLINE_MS;

/** A call to the table that is not answered yet. */
type Op =
  | { readonly kind: 'write'; readonly row: ClaimRow; readonly version: number }
  | { readonly kind: 'read' }
  | { readonly kind: 'wait' };

/** What the caller of a submission got. */
export type CallerOutcome =
  'done' | 'not-run' | 'unknown' | 'replayed' | 'in-progress' | 'key-reused';

/** A request with an idempotency key, sent through one daemon. */
export interface Submission {
  readonly id: string;
  readonly daemon: number;
  readonly key: string;
  readonly body: string;
  state: ClaimState;
  pending: Op | undefined;
  /** Set once. */
  callerOutcome: CallerOutcome | undefined;
  replayed: string | undefined;
  /** Events held back while the daemon is frozen. */
  readonly inbox: ClaimEvent[];
}

/** A request that a backend server ran. */
export interface Run {
  readonly sub: Submission;
  readonly sentAt: number;
}

/** State of the simulation. */
export interface World {
  now: number;
  readonly table: Map<string, { version: number; row: ClaimRow }>;
  version: number;
  readonly submissions: Submission[];
  readonly dead: Set<number>;
  readonly frozen: Set<number>;
  /** Writes whose answers were lost and that may still take effect. */
  readonly lateWrites: { readonly key: string; readonly op: Extract<Op, { kind: 'write' }> }[];
  /** Requests that reached a backend server and may still run. */
  readonly lateRuns: Run[];
  /** A row was swept while a write was in flight, which may leave its key claimed. */
  sweptEarly: boolean;
  readonly runs: Run[];
}

export function createWorld(): World {
  return {
    now: 0,
    table: new Map(),
    version: 0,
    submissions: [],
    dead: new Set(),
    frozen: new Set(),
    lateWrites: [],
    lateRuns: [],
    sweptEarly: false,
    runs: [],
  };
}

/** The body of the answer to a submission. */
export const answerOf = (id: string): string => `answer to ${id}`;

function storedAnswer(id: string) {
  return { status: 200, headers: {}, body: { kind: 'row' as const, base64: answerOf(id) } };
}

function settle(sub: Submission, outcome: CallerOutcome): void {
  if (sub.callerOutcome !== undefined)
    throw new Error(`${sub.id} got ${sub.callerOutcome}, then ${outcome}`);
  sub.callerOutcome = outcome;
}

/** The outcome for a caller whose key has a row already, as the request handling decides it. */
function settleExisting(sub: Submission, row: ClaimRow): void {
  if (row.bodyHash !== sub.body) settle(sub, 'key-reused');
  else if (row.state !== 'finished') settle(sub, 'in-progress');
  else {
    sub.replayed = row.answer.body.kind === 'row' ? row.answer.body.base64 : '';
    settle(sub, 'replayed');
  }
}

function applyEffect(sub: Submission, effect: ClaimEffect): void {
  const isOp = effect.kind === 'write' || effect.kind === 'read' || effect.kind === 'wait';
  if (isOp && sub.pending !== undefined) throw new Error(`${sub.id} has two calls in progress`);
  if (isOp) sub.pending = effect;
  if (effect.kind === 'not-held') settle(sub, 'not-run');
  if (effect.kind === 'exists') settleExisting(sub, effect.row);
}

/** Applies an event to the submission, or holds it back while its daemon is frozen. */
export function dispatch(world: World, sub: Submission, event: ClaimEvent): readonly ClaimEffect[] {
  if (world.dead.has(sub.daemon)) return [];
  if (world.frozen.has(sub.daemon)) {
    sub.inbox.push(event);
    return [];
  }
  const step = stepClaim(sub.state, event, { now: world.now as MonoTime });
  sub.state = step.state;
  step.effects.forEach((effect) => {
    applyEffect(sub, effect);
  });
  return step.effects;
}

/** Submits a request through a daemon; its claim begins at once. */
export function submit(world: World, daemon: number, key: string, body: string): void {
  const id = `s${world.submissions.length}`;
  const { now } = world;
  const state = createClaim({
    attempt: id as AttemptId,
    holder: `d${daemon}` as DaemonId,
    bodyHash: body,
    deadline: (now + DEADLINE_MS) as MonoTime,
    deadlineAt: (now + DEADLINE_MS) as EpochTime,
    expiresAt: (now + RETENTION_MS) as EpochTime,
    releasedUntil: (now + RETENTION_MS) as EpochTime,
  });
  const sub: Submission = {
    id,
    daemon,
    key,
    body,
    state,
    pending: undefined,
    callerOutcome: undefined,
    replayed: undefined,
    inbox: [],
  };
  world.submissions.push(sub);
  dispatch(world, sub, { kind: 'begin' });
}

/** Applies a write if its condition holds. */
function apply(
  world: World,
  key: string,
  { row, version }: Extract<Op, { kind: 'write' }>,
): ClaimEvent {
  if ((world.table.get(key)?.version ?? 0) !== version) return { kind: 'conflict' };
  world.version += 1;
  world.table.set(key, { version: world.version, row });
  return { kind: 'written', version: world.version };
}

/** Fault of a write to the table; `late`: it may take effect after the error. */
export type WriteFault = 'none' | 'lost-answer' | 'lost-request' | 'late' | 'down';

type WriteHandlers = Record<
  WriteFault,
  (world: World, key: string, op: Extract<Op, { kind: 'write' }>) => ClaimEvent
>;

const WRITE: WriteHandlers = {
  none: apply,
  'lost-answer': (world, key, op) => {
    apply(world, key, op);
    return { kind: 'unanswered' };
  },
  'lost-request': () => ({ kind: 'unanswered' }),
  late: (world, key, op) => {
    world.lateWrites.push({ key, op });
    return { kind: 'unanswered' };
  },
  down: () => ({ kind: 'unavailable' }),
};

/** Answers the submission's call in progress. */
export function answer(world: World, sub: Submission, fault: WriteFault): void {
  const op = sub.pending;
  if (op === undefined) return;
  sub.pending = undefined;
  if (op.kind === 'write') dispatch(world, sub, WRITE[fault](world, sub.key, op));
  else if (op.kind === 'wait') dispatch(world, sub, { kind: 'waited' });
  else if (fault !== 'none') dispatch(world, sub, { kind: 'unreadable' });
  else {
    const found = world.table.get(sub.key);
    dispatch(world, sub, {
      kind: 'seen',
      seen: { version: found?.version ?? 0, row: found?.row },
    });
  }
}

/** Fault of a request to the backend server; `late`: it may run after the error. */
export type SendFault = 'none' | 'lost-answer' | 'late' | 'refused';

/** Sends the request if the claim allows it. */
export function send(world: World, sub: Submission, fault: SendFault): void {
  const isStopped = world.frozen.has(sub.daemon) || world.dead.has(sub.daemon);
  if (isStopped || sub.callerOutcome !== undefined) return;
  const effects = dispatch(world, sub, { kind: 'send' });
  if (!effects.some(({ kind }) => kind === 'may-send')) return;
  if (fault === 'refused') {
    dispatch(world, sub, { kind: 'refused' });
    return;
  }
  const runs = fault === 'late' ? world.lateRuns : world.runs;
  runs.push({ sub, sentAt: world.now });
  const isAnswered = fault === 'none';
  settle(sub, isAnswered ? 'done' : 'unknown');
  dispatch(
    world,
    sub,
    isAnswered ? { kind: 'answered', answer: storedAnswer(sub.id) } : { kind: 'give-up' },
  );
}

/** Aborts the request, as when its deadline passes. */
export function giveUp(world: World, sub: Submission): void {
  const isStopped = world.frozen.has(sub.daemon) || world.dead.has(sub.daemon);
  if (isStopped || sub.callerOutcome !== undefined) return;
  const wasHeld = sub.state.phase === 'held';
  dispatch(world, sub, { kind: 'give-up' });
  if (wasHeld) settle(sub, 'not-run');
}

/** Ends a daemon for good; its writes in flight may still take effect. */
export function kill(world: World, daemon: number): void {
  world.dead.add(daemon);
  world.frozen.delete(daemon);
  for (const sub of world.submissions.filter((each) => each.daemon === daemon)) {
    if (sub.pending?.kind === 'write') world.lateWrites.push({ key: sub.key, op: sub.pending });
    sub.pending = undefined;
  }
}

/** Unfreezes a daemon and delivers its held-back events. */
export function resume(world: World, daemon: number): void {
  world.frozen.delete(daemon);
  for (const sub of world.submissions.filter((each) => each.daemon === daemon)) {
    sub.inbox.splice(0).forEach((event) => dispatch(world, sub, event));
  }
}

/** Applies the oldest late write and the oldest late run. */
export function applyLate(world: World): void {
  const write = world.lateWrites.shift();
  if (write !== undefined) apply(world, write.key, write.op);
  const run = world.lateRuns.shift();
  if (run !== undefined) world.runs.push(run);
}

/** Removes expired rows. */
export function sweep(world: World): void {
  for (const [key, { row }] of world.table) {
    if (row.expiresAt > world.now) continue;
    world.table.delete(key);
    world.sweptEarly ||= world.lateWrites.length > 0;
  }
}

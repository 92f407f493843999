/**
 * The lease on one fabric domain, without agreement on clocks.
 *
 * The holder counts its validity from before it sent the renewal, less a margin. A taker waits the
 * full time, plus the margin, from when it first saw the present version of the row. Both use their
 * own monotonic clocks. After Gray and Cheriton, "Leases", 1989; fencing numbers keep out a holder
 * that was paused past its lease.
 *
 * A table that came back from an older copy may have lost the lease of somebody who still holds it. The
 * holder takes it again at once, under a fencing number of the new era; everybody else, a process that has
 * just started too, waits the full time from when they first saw the new era. Each era has rows of its own.
 */

import { later } from '../ids';
import type { DaemonId, DomainId, FencingNumber, MonoTime } from '../ids';
import { FIRST_ERA, fencingFloor, isOfEra } from '../store-era';
import type { StoreEra } from '../store-era';
import { omit } from '../../utils/omit';
import { createReducer, next } from '../reducer';
import type { Step } from '../reducer';
import { LEASE_SETTINGS } from './types';
import type {
  LeaseEffect,
  LeaseEvent,
  LeaseRow,
  LeaseSettings,
  LeaseState,
  PendingCommit,
  SeenLease,
} from './types';

type LeaseStep = Step<LeaseState, LeaseEffect>;

export interface LeaseOptions {
  readonly domain: DomainId;
  readonly self: DaemonId;
  readonly session: string;
  readonly settings?: Partial<LeaseSettings>;
}

export function createLease(options: LeaseOptions, now: MonoTime): LeaseState {
  return {
    domain: options.domain,
    self: options.self,
    session: options.session,
    settings: { ...LEASE_SETTINGS, ...options.settings },
    rank: Infinity,
    rankedAt: now,
    hasOfferedHandover: false,
    stopping: false,
    reading: false,
    era: FIRST_ERA,
    dueAt: now,
  };
}

/** Whether this daemon may act for the domain at this instant. */
export function isHolder({ held, pending, stopping }: LeaseState, now: MonoTime): boolean {
  // Whoever sees the row handed back takes it, perhaps before the answer is here.
  const isHandedBack = stopping || pending?.kind === 'release';
  return held !== undefined && now < held.validUntil && !isHandedBack;
}

function isOwn(state: LeaseState, row: LeaseRow | undefined): boolean {
  return row?.holder === state.self && row.session === state.session && !row.released;
}

/** Whether somebody may hold the lease under a row that a return of the table has lost. */
function isOutdated({ era }: LeaseState, row: LeaseRow | undefined): boolean {
  return row ? !isOfEra(row.fencing, era) : era !== FIRST_ERA;
}

/**
 * When this candidate may take the lease; undefined while nothing is known of it. An earlier process of
 * its own id has ended: after all daemons were lost together, its lease need not run out first.
 */
function freeAt(state: LeaseState): MonoTime | undefined {
  const { seen, settings, self } = state;
  if (!seen) return undefined;
  if (isOutdated(state, seen.row)) return later(seen.since, settings.ttlMs + settings.marginMs);
  if (!seen.row || seen.row.released || seen.row.holder === self) return seen.since;
  return later(seen.since, seen.row.ttlMs + settings.marginMs);
}

function read(state: LeaseState): LeaseStep {
  if (state.reading) return next(state);
  return next<LeaseState, LeaseEffect>({ ...state, reading: true }, { kind: 'read' });
}

function withoutHeld(state: LeaseState): LeaseState {
  return omit(state, 'held');
}

function withoutPending(state: LeaseState): LeaseState {
  return omit(state, 'pending');
}

function renew(state: LeaseState, now: MonoTime, released: boolean): LeaseStep {
  const { held, seen, settings } = state;
  if (!held || !seen) return next(state);
  const row: LeaseRow = {
    holder: state.self,
    session: state.session,
    fencing: held.fencing,
    ttlMs: settings.ttlMs,
    released,
  };
  const kind = released ? 'release' : 'renew';
  const pending: PendingCommit = { kind, sentAt: now, era: state.era, row };
  return next<LeaseState, LeaseEffect>(
    { ...state, pending, dueAt: later(now, settings.renewMs) },
    { kind: 'commit', era: state.era, row, leaseVersion: seen.version },
  );
}

/** Above all numbers of earlier eras, whose rows are lost, and of this one. */
function nextFencing(era: StoreEra, { fencing, row }: SeenLease): FencingNumber {
  return (Math.max(fencingFloor(era), fencing, row?.fencing ?? 0) + 1) as FencingNumber;
}

function take(state: LeaseState, now: MonoTime): LeaseStep {
  const { seen, settings } = state;
  if (!seen) return next(state);
  const row: LeaseRow = {
    holder: state.self,
    session: state.session,
    fencing: nextFencing(state.era, seen),
    ttlMs: settings.ttlMs,
    released: false,
  };
  const pending: PendingCommit = { kind: 'take', sentAt: now, era: state.era, row };
  const { version: leaseVersion, fenceVersion } = seen;
  return next<LeaseState, LeaseEffect>(
    { ...state, pending, dueAt: later(now, settings.renewMs) },
    { kind: 'commit', era: state.era, row, leaseVersion, fenceVersion },
  );
}

/** A peer ranked before this daemon for a while: let it have the lease, but offer it only once. */
function isHandoverDue(state: LeaseState, now: MonoTime): boolean {
  if (state.rank === 0 || state.hasOfferedHandover) return false;
  return now >= later(state.rankedAt, state.settings.handoverMs);
}

/** The table has lost the lease that is held here. */
function takeAgain(state: LeaseState, now: MonoTime): LeaseStep {
  if (!isHolder(state, now)) return next(withoutHeld(state));
  if (now < state.dueAt) return next(state);
  const soon = { ...state, dueAt: later(now, state.settings.renewMs / 2) };
  return state.seen ? take(state, now) : read(soon);
}

function onTick(state: LeaseState, now: MonoTime): LeaseStep {
  if (state.pending) return next(state);
  if (state.held && !isOfEra(state.held.fencing, state.era)) return takeAgain(state, now);
  if (state.held) {
    if (state.stopping || isHandoverDue(state, now)) return renew(state, now, true);
    return now >= state.dueAt ? renew(state, now, false) : next(state);
  }
  if (state.stopping || !Number.isFinite(state.rank) || now < state.dueAt) return next(state);
  return isTurn(state, now) ? take(state, now) : next(state);
}

/**
 * Whether this candidate may try now. After a time without the table all turns would have passed, and
 * all candidates of all domains would try at once: turns count from when the rows can be read again,
 * and while they cannot nobody but the last holder tries.
 */
function isTurn(state: LeaseState, now: MonoTime): boolean {
  const free = freeAt(state);
  const { contact, settings } = state;
  if (free === undefined || !contact || now - contact.last > settings.ttlMs) return false;
  return now >= later(max(free, contact.since), state.rank * settings.rankDelayMs);
}

function max(a: MonoTime, b: MonoTime): MonoTime {
  return a > b ? a : b;
}

function inContact(state: LeaseState, now: MonoTime): LeaseState {
  const { contact, settings } = state;
  const isUnbroken = contact !== undefined && now - contact.last <= settings.ttlMs;
  return { ...state, contact: { since: isUnbroken ? contact.since : now, last: now } };
}

/** What was seen of the table's rows says nothing of them any more. */
function onEra(state: LeaseState, era: StoreEra): LeaseState {
  if (era <= state.era) return state;
  return { ...omit(state, 'seen'), era };
}

function onRead(
  before: LeaseState,
  event: Extract<LeaseEvent, { kind: 'read' }>,
  now: MonoTime,
): LeaseStep {
  const state = onEra(before, event.era ?? before.era);
  if (event.era !== undefined && event.era < state.era) return next({ ...state, reading: false });
  const done: LeaseState = { ...inContact(state, now), reading: false };
  const version = event.lease?.version ?? 0;
  // An answer from before what is known already, or while a commit is on its way.
  if (done.pending || (done.seen && version < done.seen.version)) return next(done);
  const seen = {
    version,
    ...(event.lease ? { row: event.lease.row } : {}),
    fenceVersion: event.fence?.version ?? 0,
    fencing: event.fence?.row.fencing ?? (0 as FencingNumber),
    since: done.seen?.version === version ? done.seen.since : now,
  };
  const isLost = done.held !== undefined && !isOfEra(done.held.fencing, done.era);
  if (isLost && isOutdated(done, seen.row)) return next({ ...done, seen, dueAt: now });
  if (!isOwn(done, seen.row) || isOutdated(done, seen.row)) {
    return next(withoutHeld({ ...done, seen }));
  }
  if (done.seen?.version === version && done.held) return next({ ...done, seen });
  // Our write took effect though its answer was lost. Which sending it was cannot be told, so the
  // lease counts as lapsed until renewed.
  const held = {
    fencing: seen.fencing,
    fenceVersion: seen.fenceVersion,
    validUntil: done.held?.fencing === seen.fencing ? done.held.validUntil : now,
  };
  return next({ ...done, seen, held, dueAt: now });
}

function onCommitted(
  state: LeaseState,
  event: Extract<LeaseEvent, { kind: 'committed' }>,
  now: MonoTime,
): LeaseStep {
  const { pending, seen, settings } = state;
  if (!pending) return next(state);
  if (pending.era !== state.era || !seen) return read(withoutPending(state));
  const fenceVersion = pending.kind === 'take' ? event.fenceVersion : seen.fenceVersion;
  const after: LeaseState = {
    ...withoutPending(state),
    seen: {
      version: event.version,
      row: pending.row,
      fenceVersion,
      fencing: pending.row.fencing,
      since: now,
    },
  };
  if (pending.kind === 'release') {
    // Leave the others time to take it.
    const dueAt = later(now, settings.handoverMs);
    return next({ ...withoutHeld(after), dueAt, hasOfferedHandover: true });
  }
  const validUntil = later(pending.sentAt, settings.ttlMs - settings.marginMs);
  const held = { fencing: pending.row.fencing, fenceVersion, validUntil };
  const rankedAt = pending.kind === 'take' ? now : after.rankedAt;
  return next({ ...after, held, rankedAt });
}

function onRefused(state: LeaseState, conflict: boolean, now: MonoTime): LeaseStep {
  const after = withoutPending(state);
  if (state.pending && state.pending.era !== state.era) return read(after);
  // A take with the versions that were refused would be refused again.
  if (conflict) return read({ ...omit(withoutHeld(after), 'seen'), dueAt: now });
  return next({ ...after, dueAt: later(now, state.settings.renewMs / 2) });
}

/** The hand-over delay runs from when this daemon stopped being the first choice. */
function onRanked(state: LeaseState, rank: number, now: MonoTime): LeaseState {
  const rankedAt = state.rank > 0 && rank > 0 ? state.rankedAt : now;
  return { ...state, rank, rankedAt, hasOfferedHandover: false };
}

/** The lease on one domain. Effects: reads and commits of its two rows. */
export const reduceLease = createReducer<LeaseState, LeaseEvent, LeaseEffect>({
  read: (state, event, { now }) => onRead(state, event, now),
  'read-failed': (state) => next({ ...state, reading: false }),
  ranked: (state, { rank }, { now }) =>
    next(rank === state.rank ? state : onRanked(state, rank, now)),
  tick: (state, _event, { now }) => onTick(state, now),
  committed: (state, event, { now }) => onCommitted(state, event, now),
  refused: (state, { conflict }, { now }) => onRefused(state, conflict, now),
  era: (state, { era }) =>
    state.held && era > state.era ? read(onEra(state, era)) : next(onEra(state, era)),
  unsure: (state) => {
    const after = withoutPending(state);
    return read(state.pending?.kind === 'release' ? withoutHeld(after) : after);
  },
  stop: (state, _event, { now }) => onTick({ ...state, stopping: true }, now),
});

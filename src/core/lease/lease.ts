/**
 * The lease on one fabric domain; needs no synchronised clocks.
 *
 * The holder counts validity from before it sent the renewal, less a margin. A taker waits the
 * full time, plus the margin, from when it first read the current version of the row. Both use
 * their own monotonic clocks. After Gray and Cheriton, "Leases", 1989; fencing numbers exclude a
 * holder that was paused past its lease.
 *
 * A table restored from an older copy may have lost the lease of a daemon that still holds it. The
 * holder retakes it at once, under a fencing number of the new era; all others, including newly
 * started processes, wait the full time from when they first saw the new era. Each era has its own
 * rows.
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

/** Parameters of `createLease`; omitted settings take their defaults. */
export interface LeaseOptions {
  readonly domain: DomainId;
  readonly self: DaemonId;
  readonly session: string;
  readonly settings?: Partial<LeaseSettings>;
}

/** The initial state: no candidate for the lease, nothing read. */
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
  // A peer that reads the released row takes the lease, perhaps before the response arrives here.
  const isReleased = stopping || pending?.kind === 'release';
  return held !== undefined && now < held.validUntil && !isReleased;
}

function isOwn(state: LeaseState, row: LeaseRow | undefined): boolean {
  return row?.holder === state.self && row.session === state.session && !row.released;
}

/** Whether a daemon may still hold the lease by a row that was lost when the table was restored. */
function mayHideLostLease({ era }: LeaseState, row: LeaseRow | undefined): boolean {
  return row ? !isOfEra(row.fencing, era) : era !== FIRST_ERA;
}

/**
 * When this candidate may take the lease; undefined before the first read. An earlier process with
 * its own id has ended, so its lease need not expire first: that matters after all daemons were
 * lost together.
 */
function availableAt(state: LeaseState): MonoTime | undefined {
  const { seen, settings, self } = state;
  if (!seen) return undefined;
  if (mayHideLostLease(state, seen.row))
    return later(seen.since, settings.ttlMs + settings.marginMs);
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

/** A fencing number above all of this era and of earlier ones, whose rows are lost. */
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

/** Whether to release the lease to a peer that ranks before this daemon; done once per rank. */
function isHandoverDue(state: LeaseState, now: MonoTime): boolean {
  if (state.rank === 0 || state.hasOfferedHandover) return false;
  return now >= later(state.rankedAt, state.settings.handoverMs);
}

/** Takes the held lease again after the table lost it. */
function retake(state: LeaseState, now: MonoTime): LeaseStep {
  if (!isHolder(state, now)) return next(withoutHeld(state));
  if (now < state.dueAt) return next(state);
  const delayed = { ...state, dueAt: later(now, state.settings.renewMs / 2) };
  return state.seen ? take(state, now) : read(delayed);
}

function onTick(state: LeaseState, now: MonoTime): LeaseStep {
  if (state.pending) return next(state);
  if (state.held && !isOfEra(state.held.fencing, state.era)) return retake(state, now);
  if (state.held) {
    if (state.stopping || isHandoverDue(state, now)) return renew(state, now, true);
    return now >= state.dueAt ? renew(state, now, false) : next(state);
  }
  if (state.stopping || !Number.isFinite(state.rank) || now < state.dueAt) return next(state);
  return mayTake(state, now) ? take(state, now) : next(state);
}

/**
 * Whether this candidate may try to take the lease now. After an outage of the table all rank
 * delays would have passed, and all candidates of all domains would try at once. So delays count
 * from when the rows can be read again, and until then only the last holder tries.
 */
function mayTake(state: LeaseState, now: MonoTime): boolean {
  const availableSince = availableAt(state);
  const { contact, settings } = state;
  if (availableSince === undefined || !contact || now - contact.last > settings.ttlMs) return false;
  return now >= later(laterOf(availableSince, contact.since), state.rank * settings.rankDelayMs);
}

function laterOf(a: MonoTime, b: MonoTime): MonoTime {
  return a > b ? a : b;
}

function recordContact(state: LeaseState, now: MonoTime): LeaseState {
  const { contact, settings } = state;
  const isUnbroken = contact !== undefined && now - contact.last <= settings.ttlMs;
  return { ...state, contact: { since: isUnbroken ? contact.since : now, last: now } };
}

/** Enters a later era: rows read in an earlier one are discarded. */
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
  const done: LeaseState = { ...recordContact(state, now), reading: false };
  const version = event.lease?.version ?? 0;
  // The response is older than the known rows, or a commit is in flight.
  if (done.pending || (done.seen && version < done.seen.version)) return next(done);
  const seen = {
    version,
    ...(event.lease ? { row: event.lease.row } : {}),
    fenceVersion: event.fence?.version ?? 0,
    fencing: event.fence?.row.fencing ?? (0 as FencingNumber),
    since: done.seen?.version === version ? done.seen.since : now,
  };
  const isLost = done.held !== undefined && !isOfEra(done.held.fencing, done.era);
  if (isLost && mayHideLostLease(done, seen.row)) return next({ ...done, seen, dueAt: now });
  if (!isOwn(done, seen.row) || mayHideLostLease(done, seen.row)) {
    return next(withoutHeld({ ...done, seen }));
  }
  if (done.seen?.version === version && done.held) return next({ ...done, seen });
  // This daemon's write was applied but its response was lost. Which attempt it was is unknown, so
  // the lease counts as expired until it is renewed.
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
    // Gives the others time to take it.
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
  // Taking the lease with the refused versions would be refused again.
  if (conflict) return read({ ...omit(withoutHeld(after), 'seen'), dueAt: now });
  return next({ ...after, dueAt: later(now, state.settings.renewMs / 2) });
}

/** The hand-over delay counts from when this daemon ceased to be the preferred candidate. */
function onRanked(state: LeaseState, rank: number, now: MonoTime): LeaseState {
  const rankedAt = state.rank > 0 && rank > 0 ? state.rankedAt : now;
  return { ...state, rank, rankedAt, hasOfferedHandover: false };
}

/** The reducer of the lease on one domain. Effects: reads and commits of its two rows. */
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

/**
 * Whether one daemon may route requests to one group.
 *
 * A group is routable only while all members are known to report the group and epoch of its row,
 * from this daemon's own probes or a peer's statement, and that observation is fresh. A failed
 * request, a bad probe or a peer's warning makes it unroutable at once, until all members have been
 * probed again.
 */

import type { DaemonId, Epoch, GroupId, InstanceId, MonoTime } from '../ids';
import { omit } from '../../utils/omit';
import { createReducer, next } from '../reducer';
import type { Step } from '../reducer';
import type { EngineReport, GroupRow } from './types';

/** The last probe of a member by this daemon. */
export interface MemberProbe {
  readonly sentAt: MonoTime;
  readonly freshUntil: MonoTime;
  /** Serving in the group and epoch of the row, and not leaving. */
  readonly isServing: boolean;
}

/** A peer's statement that all members serve the group. */
export interface Statement {
  readonly epoch: Epoch;
  readonly until: MonoTime;
  readonly by: StatementSource;
}

/** The daemon that sent a statement or warning, and its position among those it sent. */
export interface StatementSource {
  readonly origin: DaemonId;
  readonly seq: number;
}

/** The observations of one group. */
export interface WatchState {
  readonly id: GroupId;
  readonly version: number;
  readonly row: GroupRow;
  readonly probes: Readonly<Record<InstanceId, MemberProbe>>;
  readonly stated?: Statement;
  /** Observations up to then are ignored, after a failed request, a bad probe or a warning. */
  readonly distrustedAt?: MonoTime;
  /** A peer's warning; only a later statement of the same peer, or own probes, clear it. */
  readonly warning?: StatementSource;
  readonly leaving: boolean;
  /** As last reported by an effect. */
  readonly routable: boolean;
}

/** Inputs of `reduceWatch`. */
export type WatchEvent =
  | { readonly kind: 'row'; readonly row: GroupRow; readonly version: number }
  | {
      readonly kind: 'reported';
      readonly report: EngineReport;
      readonly sentAt: MonoTime;
      readonly freshUntil: MonoTime;
    }
  | { readonly kind: 'silent'; readonly instance: InstanceId; readonly sentAt: MonoTime }
  | { readonly kind: 'stated'; readonly statement: Statement }
  /** A failed request. */
  | { readonly kind: 'evidence'; readonly epoch: Epoch }
  /** A peer observed that not all members serve the group. */
  | { readonly kind: 'warned'; readonly epoch: Epoch; readonly by: StatementSource }
  /** Whether a member is leaving. */
  | { readonly kind: 'leaving'; readonly leaving: boolean }
  | { readonly kind: 'tick' };

/** Changes that listeners are notified of. */
export type WatchEffect =
  /** The group is no longer routable. */
  { readonly kind: 'lost' } | { readonly kind: 'ready' };

/** The initial state of a group: nothing observed, not routable. */
export function createWatch(row: GroupRow, version: number): WatchState {
  return { id: row.id, version, row, probes: {}, leaving: false, routable: false };
}

/** Until when the group is routable; undefined if it is not routable now. */
export function routableUntil(state: WatchState, now: MonoTime): MonoTime | undefined {
  const { phase } = state.row;
  if (state.leaving || (phase !== 'forming' && phase !== 'serving')) return undefined;
  const own = ownRoutableUntil(state);
  const stated = statedUntil(state);
  const until = Math.max(own ?? now, stated ?? now) as MonoTime;
  return until > now ? until : undefined;
}

/** Until when this daemon's own probes alone make the group routable. */
export function ownRoutableUntil(state: WatchState): MonoTime | undefined {
  let until = Infinity;
  for (const { instance } of state.row.members) {
    const probe = state.probes[instance];
    if (!probe?.isServing || probe.sentAt <= (state.distrustedAt ?? -Infinity)) return undefined;
    until = Math.min(until, probe.freshUntil);
  }
  return Number.isFinite(until) ? (until as MonoTime) : undefined;
}

/**
 * Whether a probe may make a serving group routable: no failure or warning counts against it, but
 * its observations are stale or have not arrived.
 */
export function isAwaitingProbe(state: WatchState, now: MonoTime): boolean {
  const isServing = state.row.phase === 'serving' && !state.leaving;
  return isServing && state.distrustedAt === undefined && routableUntil(state, now) === undefined;
}

function statedUntil(state: WatchState): MonoTime | undefined {
  const { stated, row, distrustedAt } = state;
  return distrustedAt === undefined && stated?.epoch === row.epoch ? stated.until : undefined;
}

/** Adds an effect if the group became routable or stopped being so. */
function reportChange(state: WatchState, now: MonoTime): Step<WatchState, WatchEffect> {
  const routable = routableUntil(state, now) !== undefined;
  if (routable === state.routable) return next(state);
  const kind = routable ? 'ready' : 'lost';
  return next<WatchState, WatchEffect>({ ...state, routable }, { kind });
}

function isServingMember(state: WatchState, report: EngineReport): boolean {
  const { id, epoch } = state.row;
  const serving = report.state === 'serving' && !report.leaving;
  return serving && report.group === id && report.epoch === epoch;
}

function onRow(state: WatchState, event: Extract<WatchEvent, { kind: 'row' }>): WatchState {
  if (event.version <= state.version) return state;
  const { row, version } = event;
  if (row.epoch === state.row.epoch) return { ...state, row, version };
  return { ...clearDistrust(state), row, version, probes: {} };
}

function clearDistrust(state: WatchState): WatchState {
  return omit(omit(state, 'distrustedAt'), 'warning');
}

/** Lets peers' statements count again once all members were probed again. */
function restoreTrust(state: WatchState): WatchState {
  return state.distrustedAt !== undefined && ownRoutableUntil(state) !== undefined
    ? clearDistrust(state)
    : state;
}

function onProbe(state: WatchState, instance: InstanceId, probe: MemberProbe): WatchState {
  const before = state.probes[instance];
  const isMember = state.row.members.some((member) => member.instance === instance);
  if (!isMember || (before && before.sentAt > probe.sentAt)) return state;
  const after = { ...state, probes: { ...state.probes, [instance]: probe } };
  if (probe.isServing) return restoreTrust(after);
  return { ...after, distrustedAt: Math.max(probe.sentAt, state.distrustedAt ?? 0) as MonoTime };
}

function onStated(state: WatchState, statement: Statement): WatchState {
  const { warning, stated } = state;
  const isCleared = warning?.origin === statement.by.origin && statement.by.seq > warning.seq;
  if (isCleared) return { ...clearDistrust(state), stated: statement };
  const isOlder = stated?.epoch === statement.epoch && stated.until > statement.until;
  return isOlder ? state : { ...state, stated: statement };
}

function onWarned(
  state: WatchState,
  event: Extract<WatchEvent, { kind: 'warned' }>,
  now: MonoTime,
): WatchState {
  const { stated } = state;
  const isSuperseded = stated?.by.origin === event.by.origin && stated.by.seq > event.by.seq;
  if (event.epoch < state.row.epoch || isSuperseded) return state;
  return { ...omit(state, 'stated'), distrustedAt: now, warning: event.by };
}

/** The reducer of one group's observations. */
export const reduceWatch = createReducer<WatchState, WatchEvent, WatchEffect>({
  row: (state, event, { now }) => reportChange(onRow(state, event), now),
  reported: (state, { report, sentAt, freshUntil }, { now }) => {
    const probe = { sentAt, freshUntil, isServing: isServingMember(state, report) };
    return reportChange(onProbe(state, report.instance, probe), now);
  },
  silent: (state, { instance, sentAt }, { now }) =>
    reportChange(onProbe(state, instance, { sentAt, freshUntil: sentAt, isServing: false }), now),
  stated: (state, { statement }, { now }) => reportChange(onStated(state, statement), now),
  warned: (state, event, { now }) => reportChange(onWarned(state, event, now), now),
  evidence: (state, { epoch }, { now }) =>
    reportChange(
      epoch < state.row.epoch ? state : { ...omit(state, 'warning'), distrustedAt: now },
      now,
    ),
  leaving: (state, { leaving }, { now }) => reportChange({ ...state, leaving }, now),
  tick: (state, _event, { now }) => reportChange(state, now),
});

/**
 * Whether one group may be given requests, as one daemon sees it.
 *
 * A group is routable only while all members are known to report the group and epoch of its row, by
 * this daemon's own probes or by a peer's statement, and that knowledge is younger than its
 * freshness deadline. A failed request, a bad probe or a peer's warning ends it at once, until all
 * members were probed afresh.
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
  readonly fits: boolean;
}

/** A peer's word that all members fit. */
export interface Statement {
  readonly epoch: Epoch;
  readonly until: MonoTime;
  readonly by: StatementSource;
}

/** Who said something, and after what else it said. */
export interface StatementSource {
  readonly origin: DaemonId;
  readonly seq: number;
}

export interface WatchState {
  readonly id: GroupId;
  readonly version: number;
  readonly row: GroupRow;
  readonly probes: Readonly<Record<InstanceId, MemberProbe>>;
  readonly stated?: Statement;
  /** Nothing known from before this counts. */
  readonly distrustedAt?: MonoTime;
  /** A peer's warning; only a later statement of the same peer, or own probes, end it. */
  readonly warning?: StatementSource;
  readonly leaving: boolean;
  /** As last told to those who listen. */
  readonly routable: boolean;
}

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
  /** A peer saw that not all members fit. */
  | { readonly kind: 'warned'; readonly epoch: Epoch; readonly by: StatementSource }
  /** A member is leaving, or no longer. */
  | { readonly kind: 'leaving'; readonly leaving: boolean }
  | { readonly kind: 'tick' };

export type WatchEffect =
  /** The group was routable and is no more. */
  { readonly kind: 'lost' } | { readonly kind: 'ready' };

export function createWatch(row: GroupRow, version: number): WatchState {
  return { id: row.id, version, row, probes: {}, leaving: false, routable: false };
}

/** Until when the group may be given requests; undefined when it may not now. */
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
    if (!probe?.fits || probe.sentAt <= (state.distrustedAt ?? -Infinity)) return undefined;
    until = Math.min(until, probe.freshUntil);
  }
  return Number.isFinite(until) ? (until as MonoTime) : undefined;
}

/** Nothing speaks against the group; what spoke for it is old or has yet to come. A probe settles it. */
export function isAwaitingProbe(state: WatchState, now: MonoTime): boolean {
  const isServing = state.row.phase === 'serving' && !state.leaving;
  return isServing && state.distrustedAt === undefined && routableUntil(state, now) === undefined;
}

function statedUntil(state: WatchState): MonoTime | undefined {
  const { stated, row, distrustedAt } = state;
  return distrustedAt === undefined && stated?.epoch === row.epoch ? stated.until : undefined;
}

/** Tells of a change between routable and not. */
function settle(state: WatchState, now: MonoTime): Step<WatchState, WatchEffect> {
  const routable = routableUntil(state, now) !== undefined;
  if (routable === state.routable) return next(state);
  const kind = routable ? 'ready' : 'lost';
  return next<WatchState, WatchEffect>({ ...state, routable }, { kind });
}

function fits(state: WatchState, report: EngineReport): boolean {
  const { id, epoch } = state.row;
  const serving = report.state === 'serving' && !report.leaving;
  return serving && report.group === id && report.epoch === epoch;
}

function onRow(state: WatchState, event: Extract<WatchEvent, { kind: 'row' }>): WatchState {
  if (event.version <= state.version) return state;
  const { row, version } = event;
  if (row.epoch === state.row.epoch) return { ...state, row, version };
  return { ...withoutDistrust(state), row, version, probes: {} };
}

function withoutDistrust(state: WatchState): WatchState {
  return omit(omit(state, 'distrustedAt'), 'warning');
}

/** Once all members were probed afresh, peers' statements count again. */
function trust(state: WatchState): WatchState {
  return state.distrustedAt !== undefined && ownRoutableUntil(state) !== undefined
    ? withoutDistrust(state)
    : state;
}

function onProbe(state: WatchState, instance: InstanceId, probe: MemberProbe): WatchState {
  const before = state.probes[instance];
  const isMember = state.row.members.some((member) => member.instance === instance);
  if (!isMember || (before && before.sentAt > probe.sentAt)) return state;
  const after = { ...state, probes: { ...state.probes, [instance]: probe } };
  if (probe.fits) return trust(after);
  return { ...after, distrustedAt: Math.max(probe.sentAt, state.distrustedAt ?? 0) as MonoTime };
}

function onStated(state: WatchState, statement: Statement): WatchState {
  const { warning, stated } = state;
  const isLifted = warning?.origin === statement.by.origin && statement.by.seq > warning.seq;
  if (isLifted) return { ...withoutDistrust(state), stated: statement };
  const isOlder = stated?.epoch === statement.epoch && stated.until > statement.until;
  return isOlder ? state : { ...state, stated: statement };
}

function onWarned(
  state: WatchState,
  event: Extract<WatchEvent, { kind: 'warned' }>,
  now: MonoTime,
): WatchState {
  const { stated } = state;
  const isPast = stated?.by.origin === event.by.origin && stated.by.seq > event.by.seq;
  if (event.epoch < state.row.epoch || isPast) return state;
  return { ...omit(state, 'stated'), distrustedAt: now, warning: event.by };
}

export const reduceWatch = createReducer<WatchState, WatchEvent, WatchEffect>({
  row: (state, event, { now }) => settle(onRow(state, event), now),
  reported: (state, { report, sentAt, freshUntil }, { now }) => {
    const probe = { sentAt, freshUntil, fits: fits(state, report) };
    return settle(onProbe(state, report.instance, probe), now);
  },
  silent: (state, { instance, sentAt }, { now }) =>
    settle(onProbe(state, instance, { sentAt, freshUntil: sentAt, fits: false }), now),
  stated: (state, { statement }, { now }) => settle(onStated(state, statement), now),
  warned: (state, event, { now }) => settle(onWarned(state, event, now), now),
  evidence: (state, { epoch }, { now }) =>
    settle(epoch < state.row.epoch ? state : { ...omit(state, 'warning'), distrustedAt: now }, now),
  leaving: (state, { leaving }, { now }) => settle({ ...state, leaving }, now),
  tick: (state, _event, { now }) => settle(state, now),
});

/**
 * Reducer of the daemon that holds one fabric domain: turns rows, configuration and members'
 * reports into transactions and orders. One transaction is in flight at a time; if its response
 * is lost, the rows are read back before the next decision.
 */

import { later } from '../ids';
import type { DomainId, GroupId, InstanceId, MonoTime } from '../ids';
import { omit } from '../../utils/omit';
import { createReducer, next } from '../reducer';
import type { Step } from '../reducer';
import { DOMAIN_SETTINGS } from './domain-types';
import type {
  DomainEffect,
  DomainEvent,
  DomainSettings,
  DomainState,
  GroupTransaction,
  InstanceView,
  OpenSlot,
} from './domain-types';
import { planForming } from './forming';
import { groupsOf, isDomainDown, leavingMembers } from './health';
import { planGroups } from './lifecycle';
import { planOrders } from './orders';
import { applyTransaction, slotKey } from './rows';
import {
  NO_VIEW,
  onReported,
  onSilent,
  onVouched,
  withListing,
  restartUnresponsiveTime,
  withView,
} from './observations';
import type { Versioned } from './types';

type DomainStep = Step<DomainState, DomainEffect>;
type EventOf<K extends DomainEvent['kind']> = Extract<DomainEvent, { kind: K }>;

const REFUSED_RETRY_MS = 500;
const READ_RETRY_MS = 2_000;

/** Parameters of `createDomain`; omitted settings take their defaults. */
export interface DomainOptions {
  readonly domain: DomainId;
  readonly settings?: Partial<DomainSettings>;
}

/** The initial state of a domain: no lease, no rows read. */
export function createDomain(options: DomainOptions, now: MonoTime): DomainState {
  return {
    domain: options.domain,
    settings: { ...DOMAIN_SETTINGS, ...options.settings },
    rows: 'unread',
    readAt: now,
    groups: {},
    instanceRows: {},
    instances: {},
    models: {},
    openSlots: [],
    openSince: {},
    retryAt: now,
    drainUntil: {},
    restartAt: {},
    loadsElsewhere: 0,
    seq: 1,
  };
}

/** Whether this daemon's lease on the domain is valid at this instant. */
export function mayDecide(state: DomainState, now: MonoTime): boolean {
  return state.lease !== undefined && now < state.lease.validUntil;
}

function withoutPending(state: DomainState): DomainState {
  return omit(state, 'pending');
}

function onLeased(state: DomainState, { lease }: EventOf<'leased'>, now: MonoTime): DomainStep {
  if (state.lease?.fencing === lease.fencing) return next({ ...state, lease });
  // Unanswered time from before does not count: a paused daemon has probed nobody.
  const renewed = restartUnresponsiveTime(withoutPending(state), now);
  return next({ ...renewed, lease, rows: 'unread' });
}

function onUnleased(state: DomainState): DomainStep {
  return next({ ...omit(withoutPending(state), 'lease'), rows: 'unread' });
}

function onListed(state: DomainState, event: EventOf<'listed'>): DomainStep {
  const listings = new Map(event.instances.map((one) => [one.id, one]));
  const grouped = groupsOf(state).flatMap(({ members }) => members.map((one) => one.instance));
  const kept = new Set([...listings.keys(), ...grouped]);
  const instances: Record<InstanceId, InstanceView> = {};
  for (const id of kept)
    instances[id] = withListing(state.instances[id] ?? NO_VIEW, listings.get(id));
  const isNew = [...listings.keys()].some((id) => state.instanceRows[id] === undefined);
  const rows = isNew && state.rows === 'read' ? 'unread' : state.rows;
  return next({ ...state, instances, rows });
}

function onRead(state: DomainState, event: EventOf<'read'>, now: MonoTime): DomainStep {
  if (state.rows !== 'reading') return next(state);
  const instanceRows: Record<
    InstanceId,
    Versioned<DomainState['instanceRows'][InstanceId]['row']>
  > = {};
  for (const read of event.instances) instanceRows[read.row.instance] = read;
  const groups: Record<GroupId, DomainState['groups'][GroupId]> = {};
  for (const read of event.groups) groups[read.row.id] = read;
  const after: DomainState = { ...state, rows: 'read', readAt: now, groups, instanceRows };
  return next(withMembers(after));
}

/** Adds members that are missing from the platform's list, so that they are still probed. */
function withMembers(state: DomainState): DomainState {
  const instances = { ...state.instances };
  for (const { members } of groupsOf(state)) {
    for (const { instance } of members) instances[instance] ??= NO_VIEW;
  }
  return { ...state, instances };
}

function onSlots(state: DomainState, event: EventOf<'slots'>, now: MonoTime): DomainStep {
  const openSince: Record<string, MonoTime> = {};
  for (const slot of event.open) {
    const key = keyOfSlot(slot);
    openSince[key] = state.openSince[key] ?? now;
  }
  const { loadsElsewhere } = event;
  return next({ ...state, openSlots: event.open, openSince, loadsElsewhere });
}

function keyOfSlot(slot: OpenSlot): string {
  return slotKey(slot.model, slot.slot);
}

function onCommitted(state: DomainState, event: EventOf<'committed'>, now: MonoTime): DomainStep {
  const tx = state.pending;
  if (tx?.id !== event.id) return next(state);
  const after = applyTransaction(withoutPending(state), tx, event.versions);
  return next(withFreedSlot(withoutSlot(withRestart(after, tx, now), tx), tx, now));
}

/** Removes a slot just filled from the open ones; the last scan of all groups may predate it. */
function withoutSlot(state: DomainState, tx: GroupTransaction): DomainState {
  const filled = tx.writes.flatMap(({ write }) =>
    write.kind === 'slot' && write.row ? [slotKey(write.model, write.slot)] : [],
  );
  if (filled.length === 0) return state;
  return {
    ...state,
    openSlots: state.openSlots.filter((slot) => !filled.includes(keyOfSlot(slot))),
  };
}

/** Adds a slot just released to the open ones, before the next scan of all groups shows it. */
function withFreedSlot(state: DomainState, tx: GroupTransaction, now: MonoTime): DomainState {
  const freed = tx.writes.flatMap(({ write }) =>
    write.kind === 'slot' && !write.row ? [{ model: write.model, slot: write.slot, rank: 1 }] : [],
  );
  if (freed.length === 0) return state;
  const openSince = { ...state.openSince };
  for (const slot of freed) openSince[keyOfSlot(slot)] = now;
  return { ...state, openSlots: [...state.openSlots, ...freed], openSince };
}

/** Delays the next restart of a group that was just changed, so that it has time to start. */
function withRestart(state: DomainState, tx: GroupTransaction, now: MonoTime): DomainState {
  const restartAt = { ...state.restartAt };
  for (const { write } of tx.writes) {
    if (write.kind !== 'group') continue;
    if (write.row) restartAt[write.id] = later(now, state.settings.restartDelayMs);
    else Reflect.deleteProperty(restartAt, write.id);
  }
  return { ...state, restartAt };
}

function onRefused(state: DomainState, event: EventOf<'refused'>, now: MonoTime): DomainStep {
  if (state.pending?.id !== event.id) return next(state);
  const after = { ...withoutPending(state), retryAt: later(now, REFUSED_RETRY_MS) };
  if (!event.conflict) return next(after);
  return next({ ...withoutSlot(after, state.pending), rows: 'unread' });
}

function onUnsure(state: DomainState, event: EventOf<'unsure'>): DomainStep {
  if (state.pending?.id !== event.id) return next(state);
  return next({ ...withoutSlot(withoutPending(state), state.pending), rows: 'unread' });
}

/** Sets the deadlines of drains that began, and the start or end of an outage of the domain. */
function withDeadlines(state: DomainState, now: MonoTime): DomainState {
  const drainUntil: Record<GroupId, MonoTime> = {};
  for (const row of groupsOf(state)) {
    if (row.phase !== 'draining' && leavingMembers(state, row).length === 0) continue;
    drainUntil[row.id] = state.drainUntil[row.id] ?? later(now, state.settings.drainTimeoutMs);
  }
  const { downSince } = state;
  if (isDomainDown(state, now)) return { ...state, drainUntil, downSince: downSince ?? now };
  if (downSince === undefined) return { ...state, drainUntil };
  // The domain is recovering: members that return a little later than others are not yet lost.
  return { ...omit(restartUnresponsiveTime(state, now), 'downSince'), drainUntil };
}

function readRows(state: DomainState): DomainStep {
  const instances = Object.keys(state.instances) as InstanceId[];
  return next<DomainState, DomainEffect>(
    { ...state, rows: 'reading' },
    { kind: 'read', instances },
  );
}

function onTick(state: DomainState, now: MonoTime): DomainStep {
  if (!mayDecide(state, now) || state.rows === 'reading') return next(state);
  const isOld = now >= later(state.readAt, state.settings.rowRefreshMs);
  if (state.rows === 'unread' || (isOld && !state.pending)) {
    return now < state.retryAt ? next(state) : readRows(state);
  }
  const withTimers = withDeadlines(state, now);
  const { state: afterOrders, effects } = sendOrders(withTimers, now);
  if (afterOrders.pending || now < afterOrders.retryAt) return { state: afterOrders, effects };
  const tx = planGroups(afterOrders, now) ?? planForming(afterOrders, now);
  if (!tx) return { state: afterOrders, effects };
  const after = { ...afterOrders, pending: tx, seq: afterOrders.seq + 1 };
  return next<DomainState, DomainEffect>(after, ...effects, { kind: 'commit', transaction: tx });
}

/** Sends the planned orders; the same order to the same instance only after a retry delay. */
function sendOrders(state: DomainState, now: MonoTime): DomainStep {
  const effects: DomainEffect[] = [];
  let after = state;
  for (const { instance, order } of planOrders(state, now)) {
    const view = after.instances[instance];
    const address = view?.listing?.address ?? addressOf(state, instance);
    // A restarted engine has lost the orders it received.
    const text = `${view?.report?.incarnation} ${JSON.stringify(order)}`;
    const isRecentlySent = view?.order?.text === text && now < view.order.retryAt;
    if (isRecentlySent || address === undefined) continue;
    const { kind } = order;
    const { orderRetryMs, preloadRetryMs } = state.settings;
    const retryAt = later(now, kind === 'preload' ? preloadRetryMs : orderRetryMs);
    after = withView(after, instance, (one) => ({ ...one, order: { kind, text, retryAt } }));
    effects.push({ kind: 'order', instance, address, order });
  }
  return { state: after, effects };
}

/** The address of an instance, from the platform's list or else from its group's row. */
export function addressOf(state: DomainState, instance: InstanceId): string | undefined {
  const listing = state.instances[instance]?.listing;
  if (listing) return listing.address;
  const members = groupsOf(state).flatMap((row) => row.members);
  return members.find((member) => member.instance === instance)?.address;
}

/** The reducer of one fabric domain. */
export const reduceDomain = createReducer<DomainState, DomainEvent, DomainEffect>({
  leased: (state, event, { now }) => onLeased(state, event, now),
  unleased: onUnleased,
  configured: (state, { models }) => next({ ...state, models }),
  listed: onListed,
  read: (state, event, { now }) => onRead(state, event, now),
  'read-failed': (state, _event, { now }) =>
    next({ ...state, rows: 'unread', retryAt: later(now, READ_RETRY_MS) }),
  reported: onReported,
  silent: onSilent,
  vouched: onVouched,
  drain: (state, { instance }) =>
    next(withView(state, instance, (view) => ({ ...view, isDrainRequested: true }))),
  slots: (state, event, { now }) => onSlots(state, event, now),
  committed: (state, event, { now }) => onCommitted(state, event, now),
  refused: (state, event, { now }) => onRefused(state, event, now),
  unsure: onUnsure,
  tick: (state, _event, { now }) => onTick(state, now),
});

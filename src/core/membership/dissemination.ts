/** Receives entries and disseminates new ones: rumour spreading with a bounded number of sends. */

import type { DaemonId } from '../ids';
import { next } from '../reducer';
import { entryBytes, entryId, isNewer, withEntries } from './entries';
import { MEMBER_TOPIC, isPresent, memberEntry, memberVersion, parseMember } from './members';
import { chain, sample, send, unchanged, withNeighbours } from './state';
import type { MembershipState, MembershipStep, Rumour } from './state';
import { refill, spend } from './token-bucket';
import type { Entry, MemberRecord, MembershipContext, MembershipEffect } from './types';

/** Rumours are packed into messages of about this size. */
const MAX_MESSAGE_BYTES = 8000;
/** A daemon that learns of a new one compares entries with a neighbour after about this long. */
const GROWTH_SYNC_MS = 300;
/** Least interval between refutations of another process that claims this daemon's id. */
const REFUTE_INTERVAL_MS = 5000;

/** Whether a member joined, died or returned between two records: neighbours may change. */
function changesPresence(before: MemberRecord | undefined, after: MemberRecord): boolean {
  return !before || isPresent(before) !== isPresent(after);
}

/** Sends per daemon that reach all members: about log2 of their number, plus one. */
function sendsFor(members: number, limit: number): number {
  return Math.min(limit, Math.ceil(Math.log2(members + 1)) + 1);
}

function startRumour(entry: Entry, from: DaemonId | undefined, sends: number): Rumour {
  const sentTo = new Set(from === undefined ? [] : [from]);
  return { sendsRemaining: sends, bytes: entryBytes(entry), sentTo };
}

/** Sets the deadline by which a suspect must refute; removes one that is no longer suspect. */
function trackSuspect(
  state: MembershipState,
  member: MemberRecord,
  ctx: MembershipContext,
): MembershipState {
  const suspects = new Map(state.suspects);
  if (member.state === 'suspect') suspects.set(member.id, suspicionDeadline(state, ctx));
  else suspects.delete(member.id);
  return { ...state, suspects };
}

function suspicionDeadline(state: MembershipState, ctx: MembershipContext): typeof ctx.now {
  const scale = Math.max(1, Math.log10(state.members.size));
  return (ctx.now + ctx.settings.suspectTimeoutMs * scale) as typeof ctx.now;
}

/** The time of an early comparison: rumours sized for fewer daemons may not have arrived here. */
function earlierSyncAt(state: MembershipState, ctx: MembershipContext): typeof ctx.now {
  const soon = ctx.now + GROWTH_SYNC_MS * (0.5 + ctx.random.next());
  return Math.min(state.syncAt, soon) as typeof ctx.now;
}

function putMember(
  state: MembershipState,
  member: MemberRecord,
  ctx: MembershipContext,
): MembershipState {
  const before = state.members.get(member.id);
  const members = new Map(state.members).set(member.id, member);
  const syncAt = before ? state.syncAt : earlierSyncAt(state, ctx);
  const put = trackSuspect({ ...state, members, syncAt }, member, ctx);
  return changesPresence(before, member) ? withNeighbours(put, ctx.settings.neighbours) : put;
}

/** Stores one new entry and starts to disseminate it. */
function putEntry(
  state: MembershipState,
  entry: Entry,
  from: DaemonId | undefined,
  ctx: MembershipContext,
): MembershipStep {
  const rumours = new Map(state.rumours);
  const sends = sendsFor(state.members.size, ctx.settings.maxSends);
  rumours.set(entryId(entry), startRumour(entry, from, sends));
  const put = { ...state, entries: withEntries(state.entries, [entry]), rumours };
  if (entry.topic === MEMBER_TOPIC) {
    const member = parseMember(entry);
    if (!member) return unchanged(state);
    return next(putMember(put, member, ctx), { kind: 'members-changed' });
  }
  if (entry.origin !== state.self.id) return next(put, { kind: 'received', entry });
  // An entry of an earlier process of this daemon: its own entries must get higher versions.
  return next({ ...put, lastVersion: Math.max(put.lastVersion, entry.version) });
}

/** Announces this daemon with a higher incarnation, which overrides what others say of it. */
export function announce(
  state: MembershipState,
  change: Partial<Pick<MemberRecord, 'state' | 'incarnation' | 'configVersion'>>,
  ctx: MembershipContext,
): MembershipStep {
  const self = { ...state.self, incarnation: state.self.incarnation + 1, ...change };
  const perDaemon = ctx.settings.announceIntervalMsPerDaemon * state.members.size;
  const announceAt = (ctx.now + perDaemon) as typeof ctx.now;
  return putEntry({ ...state, self, announceAt }, memberEntry(self), undefined, ctx);
}

/** Refutes a newer record of this daemon that it has not announced itself. */
function refute(
  state: MembershipState,
  entry: Entry,
  claim: MemberRecord,
  ctx: MembershipContext,
): MembershipStep {
  const own = memberVersion(state.self.incarnation, state.self.state);
  if (entry.version <= own) return unchanged(state);
  const incarnation = Math.max(claim.incarnation, state.self.incarnation) + 1;
  const reannounce = (): MembershipStep => announce(state, { incarnation }, ctx);
  if (claim.state !== 'alive' || claim.address === state.self.address) return reannounce();
  if (ctx.now < state.refuteAt) return unchanged(state);
  const refuteAt = (ctx.now + REFUTE_INTERVAL_MS) as typeof ctx.now;
  const duplicateId: MembershipEffect = { kind: 'duplicate-id', address: claim.address };
  const announced = reannounce();
  return next({ ...announced.state, refuteAt }, duplicateId, ...announced.effects);
}

/** An entry received again was sent on by others: it needs fewer sends from here. */
function noteDuplicate(state: MembershipState, entry: Entry, from: DaemonId): MembershipState {
  const id = entryId(entry);
  const rumour = state.rumours.get(id);
  if (rumour === undefined || state.entries.get(id)?.version !== entry.version) return state;
  const sentTo = new Set(rumour.sentTo).add(from);
  const rumours = new Map(state.rumours).set(id, {
    ...rumour,
    sendsRemaining: rumour.sendsRemaining - 1,
    sentTo,
  });
  return { ...state, rumours };
}

function handleEntry(
  state: MembershipState,
  entry: Entry,
  from: DaemonId,
  ctx: MembershipContext,
): MembershipStep {
  if (entry.topic === MEMBER_TOPIC && entry.key === state.self.id) {
    const claim = parseMember(entry);
    return claim ? refute(state, entry, claim, ctx) : unchanged(state);
  }
  if (!isNewer(state.entries, entry, ctx.epoch)) return next(noteDuplicate(state, entry, from));
  return putEntry(state, entry, from, ctx);
}

/** Handles entries from a peer and sends the new ones on at once. */
export function handleEntries(
  state: MembershipState,
  entries: readonly Entry[],
  from: DaemonId,
  ctx: MembershipContext,
): MembershipStep {
  const steps = entries.map(
    (entry) => (current: MembershipState) => handleEntry(current, entry, from, ctx),
  );
  return chain(state, ...steps, (current) => flush(current, ctx));
}

/** Stores an entry created here and sends it on at once. */
export function broadcast(
  state: MembershipState,
  entry: Entry,
  ctx: MembershipContext,
): MembershipStep {
  return chain(
    state,
    (current) => putEntry(current, entry, undefined, ctx),
    (current) => flush(current, ctx),
  );
}

interface Batch {
  readonly ids: readonly string[];
  readonly bytes: number;
}

/** The rumours that `target` may lack, least disseminated first, as many as fit. */
function packFor(state: MembershipState, target: DaemonId, budget: number): Batch {
  const unsent = [...state.rumours]
    .filter(([, rumour]) => rumour.sendsRemaining > 0 && !rumour.sentTo.has(target))
    .sort(([, a], [, b]) => b.sendsRemaining - a.sendsRemaining);
  const ids: string[] = [];
  let bytes = 0;
  for (const [id, rumour] of unsent) {
    const fits = bytes + rumour.bytes <= Math.min(budget, MAX_MESSAGE_BYTES);
    if (!fits && ids.length > 0) break;
    ids.push(id);
    bytes += rumour.bytes;
  }
  return { ids, bytes };
}

function markSent(
  state: MembershipState,
  ids: readonly string[],
  target: DaemonId,
): MembershipState {
  const rumours = new Map(state.rumours);
  for (const id of ids) {
    const rumour = rumours.get(id);
    if (!rumour) continue;
    const sentTo = new Set(rumour.sentTo).add(target);
    rumours.set(id, { ...rumour, sendsRemaining: rumour.sendsRemaining - 1, sentTo });
  }
  return { ...state, rumours };
}

function sendRumours(state: MembershipState, target: DaemonId): MembershipStep {
  const address = state.members.get(target)?.address;
  if (address === undefined || state.bucket.tokens <= 0) return unchanged(state);
  const { ids, bytes } = packFor(state, target, state.bucket.tokens);
  const entries = ids.flatMap((id) => state.entries.get(id) ?? []);
  if (entries.length === 0) return unchanged(state);
  const marked = markSent(state, ids, target);
  const spent = { ...marked, bucket: spend(state.bucket, bytes) };
  return next(spent, send(address, { kind: 'entries', entries }));
}

/** Removes rumours that were sent often enough or that every neighbour has. */
function endRumours(state: MembershipState): MembershipState {
  const active = [...state.rumours].filter(
    ([id, rumour]) =>
      rumour.sendsRemaining > 0 &&
      state.entries.has(id) &&
      state.neighbours.some((neighbour) => !rumour.sentTo.has(neighbour)),
  );
  return active.length === state.rumours.size ? state : { ...state, rumours: new Map(active) };
}

/** Sends rumours to a few neighbours, within the byte limit. */
export function flush(state: MembershipState, ctx: MembershipContext): MembershipStep {
  if (state.rumours.size === 0 || state.neighbours.length === 0) return unchanged(state);
  const bucket = refill(state.bucket, ctx.settings, ctx.now);
  const targets = sample(state.neighbours, ctx.settings.fanOut, ctx.random);
  const steps = targets.map((target) => (current: MembershipState) => sendRumours(current, target));
  const done = chain({ ...state, bucket }, ...steps);
  return { ...done, state: endRumours(done.state) };
}

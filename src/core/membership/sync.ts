/**
 * Anti-entropy: compares entries with a neighbour now and then, and with daemons that are missing,
 * so that what rumours have not reached, and what a partition kept apart, comes together.
 */

import type { DaemonId, EpochTime } from '../ids';
import { later } from '../ids';
import { next } from '../reducer';
import {
  answerDigest,
  compareLines,
  digestOf,
  entriesBySaltedId,
  entryBytes,
  sweep,
} from './entries';
import { MEMBER_TOPIC, memberEntry } from './members';
import { presentOthers, sample, send, unchanged } from './state';
import type { MembershipState, MembershipStep } from './state';
import { refill, spend } from './token-bucket';
import type { BucketLimits } from './token-bucket';
import type { DigestMessage, Entry, LinesMessage, MembershipContext, WantMessage } from './types';

/** Differences found at once that call for another comparison soon. */
const FAR_BEHIND = 16;
const SOON_MS = 300;
const DIGEST_BYTES = 350;
const LINE_BYTES = 14;
const MAX_PARCEL_BYTES = 16_000;
/**
 * A digest is answered only while this much may be sent: otherwise many newcomers would have their
 * digests answered, and none the entries that it asks for next.
 */
const RESERVE_BYTES = 8000;
const SALT_RANGE = 2 ** 32;
const BUCKETS = 64;

function syncLimits({ settings }: MembershipContext): BucketLimits {
  return { bytesPerSecond: settings.syncBytesPerSecond, burstBytes: settings.syncBurstBytes };
}

function newDigest(state: MembershipState, ctx: MembershipContext): DigestMessage {
  return digestOf(state.entries, Math.floor(ctx.random.next() * SALT_RANGE), ctx.epoch);
}

function charge(state: MembershipState, bytes: number, ctx: MembershipContext): MembershipState {
  const syncBucket = refill(state.syncBucket, syncLimits(ctx), ctx.now);
  return { ...state, syncBucket: spend(syncBucket, bytes) };
}

/** Compares with a neighbour when it is time and the limit of bytes allows. */
export function syncNext(state: MembershipState, ctx: MembershipContext): MembershipStep {
  if (ctx.now < state.syncAt) return unchanged(state);
  const syncAt = later(ctx.now, ctx.settings.syncIntervalMs * (0.5 + ctx.random.next()));
  const [target] = sample(state.neighbours, 1, ctx.random);
  const address = target === undefined ? undefined : state.members.get(target)?.address;
  const { tokens } = refill(state.syncBucket, syncLimits(ctx), ctx.now);
  if (address === undefined || tokens <= 0) return next({ ...state, syncAt });
  const charged = charge({ ...state, syncAt }, DIGEST_BYTES, ctx);
  return next(charged, send(address, newDigest(state, ctx)));
}

/** Addresses at which a daemon may be that is not known to be present. */
function missingAddresses(state: MembershipState): readonly string[] {
  const present = new Set(presentOthers(state).map((member) => member.address));
  present.add(state.self.address);
  const dead = [...state.members.values()].filter((member) => member.state === 'dead');
  const all = new Set([...state.candidates, ...dead.map((member) => member.address)]);
  return [...all].filter((address) => !present.has(address));
}

/** Introduces this daemon where another may be: a start, a return, a healed partition. */
export function rejoinNext(state: MembershipState, ctx: MembershipContext): MembershipStep {
  if (ctx.now < state.rejoinAt) return unchanged(state);
  const rejoinAt = later(ctx.now, ctx.settings.rejoinIntervalMs * (0.5 + ctx.random.next()));
  // While alone, several at once: the first may be the one that is gone.
  const count = state.neighbours.length === 0 ? ctx.settings.fanOut : 1;
  const addresses = sample(missingAddresses(state), count, ctx.random);
  const effects = addresses.flatMap((address) => introduce(state, address, ctx));
  return next({ ...state, rejoinAt }, ...effects);
}

function introduce(
  state: MembershipState,
  address: string,
  ctx: MembershipContext,
): MembershipStep['effects'] {
  const entries = [memberEntry(state.self)];
  return [send(address, { kind: 'entries', entries }), send(address, newDigest(state, ctx))];
}

/** Answers a digest with the lines that differ. */
export function handleDigest(
  state: MembershipState,
  address: string,
  digest: DigestMessage,
  ctx: MembershipContext,
): MembershipStep {
  const { tokens } = refill(state.syncBucket, syncLimits(ctx), ctx.now);
  if (tokens < RESERVE_BYTES) return unchanged(state);
  const first = Math.floor(ctx.random.next() * BUCKETS);
  const lines = answerDigest(state.entries, digest, first, ctx.epoch);
  if (!lines) return unchanged(state);
  return next(charge(state, lines.ids.length * LINE_BYTES, ctx), send(address, lines));
}

function fit(entries: readonly Entry[], budget: number): { entries: Entry[]; bytes: number } {
  const fitting: Entry[] = [];
  let bytes = 0;
  for (const entry of entries) {
    const size = entryBytes(entry);
    if (fitting.length > 0 && bytes + size > budget) break;
    fitting.push(entry);
    bytes += size;
  }
  return { entries: fitting, bytes };
}

/** Sends entries as far as the limit of bytes goes; the rest waits for the next comparison. */
function sendEntries(
  state: MembershipState,
  address: string,
  entries: readonly Entry[],
  ctx: MembershipContext,
): MembershipStep {
  const { tokens } = refill(state.syncBucket, syncLimits(ctx), ctx.now);
  if (entries.length === 0 || tokens <= 0) return unchanged(state);
  // Members first: without them nobody can be reached.
  const ordered = [...entries].sort(
    (a, b) => Number(b.topic === MEMBER_TOPIC) - Number(a.topic === MEMBER_TOPIC),
  );
  const parcel = fit(ordered, Math.min(tokens, MAX_PARCEL_BYTES));
  const message = { kind: 'entries', entries: parcel.entries } as const;
  return next(charge(state, parcel.bytes, ctx), send(address, message));
}

/** Sends what the other lacks and asks for what this daemon lacks. */
export function handleLines(
  state: MembershipState,
  address: string,
  lines: LinesMessage,
  ctx: MembershipContext,
): MembershipStep {
  const { theirs, ours } = compareLines(state.entries, lines, ctx.epoch);
  const behind = ours.length >= FAR_BEHIND;
  const syncAt = behind ? later(ctx.now, SOON_MS) : state.syncAt;
  const sent = sendEntries({ ...state, syncAt }, address, theirs, ctx);
  if (ours.length === 0) return sent;
  const want = send(address, { kind: 'want', salt: lines.salt, ids: ours });
  return next(charge(sent.state, ours.length * LINE_BYTES, ctx), ...sent.effects, want);
}

export function handleWant(
  state: MembershipState,
  address: string,
  want: WantMessage,
  ctx: MembershipContext,
): MembershipStep {
  const entries = entriesBySaltedId(state.entries, want.salt, want.ids, ctx.epoch);
  return sendEntries(state, address, entries, ctx);
}

/** A sender that is unknown here gets a comparison; one believed gone hears what is said of it. */
export function syncSender(
  state: MembershipState,
  from: DaemonId,
  address: string,
  ctx: MembershipContext,
): MembershipStep {
  const member = state.members.get(from);
  if (!member) return next(state, send(address, newDigest(state, ctx)));
  if (member.state !== 'suspect' && member.state !== 'dead') return unchanged(state);
  const entries = [memberEntry(member, deadEnd(member.state, ctx))];
  return next(state, send(address, { kind: 'entries', entries }));
}

function deadEnd(state: string, ctx: MembershipContext): EpochTime | undefined {
  return state === 'dead' ? later(ctx.epoch, ctx.settings.deadTtlMs) : undefined;
}

/** Forgets entries that have expired, and the dead with them. */
export function sweepExpired(state: MembershipState, ctx: MembershipContext): MembershipState {
  const entries = sweep(state.entries, ctx.epoch);
  if (entries === state.entries) return state;
  const members = new Map(
    [...state.members].filter(([id]) => entries.has(`${MEMBER_TOPIC}\n${id}\n${id}`)),
  );
  return { ...state, entries, members };
}

/**
 * Anti-entropy: compares entries with a neighbour periodically, and with missing daemons, so that
 * stores converge where rumours were lost or a partition separated daemons.
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

/** With this many entries missing here, the next comparison follows after `NEXT_SYNC_MS`. */
const MANY_MISSING = 16;
const NEXT_SYNC_MS = 300;
const DIGEST_BYTES = 350;
const LINE_BYTES = 14;
const MAX_MESSAGE_BYTES = 16_000;
/**
 * A digest is answered only while this much may be sent. Otherwise, with many new daemons, all of
 * their digests would be answered and none of the requests for entries that follow.
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

/** Starts a comparison with a random neighbour if one is due and the byte limit allows it. */
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

/** Addresses at which a daemon may run that is not known to be present. */
function missingAddresses(state: MembershipState): readonly string[] {
  const present = new Set(presentOthers(state).map((member) => member.address));
  present.add(state.self.address);
  const dead = [...state.members.values()].filter((member) => member.state === 'dead');
  const all = new Set([...state.candidates, ...dead.map((member) => member.address)]);
  return [...all].filter((address) => !present.has(address));
}

/** Contacts addresses of missing daemons: at start, after a return or a healed partition. */
export function rejoinNext(state: MembershipState, ctx: MembershipContext): MembershipStep {
  if (ctx.now < state.rejoinAt) return unchanged(state);
  const rejoinAt = later(ctx.now, ctx.settings.rejoinIntervalMs * (0.5 + ctx.random.next()));
  // Several at once while it has no neighbours: any single one may be down.
  const count = state.neighbours.length === 0 ? ctx.settings.fanOut : 1;
  const addresses = sample(missingAddresses(state), count, ctx.random);
  const effects = addresses.flatMap((address) => introduceTo(state, address, ctx));
  return next({ ...state, rejoinAt }, ...effects);
}

function introduceTo(
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

function takeFitting(
  entries: readonly Entry[],
  budget: number,
): { entries: Entry[]; bytes: number } {
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

/** Sends entries up to the byte limit; the rest is left to the next comparison. */
function sendEntries(
  state: MembershipState,
  address: string,
  entries: readonly Entry[],
  ctx: MembershipContext,
): MembershipStep {
  const { tokens } = refill(state.syncBucket, syncLimits(ctx), ctx.now);
  if (entries.length === 0 || tokens <= 0) return unchanged(state);
  // Members first: without their addresses no daemon can be reached.
  const ordered = [...entries].sort(
    (a, b) => Number(b.topic === MEMBER_TOPIC) - Number(a.topic === MEMBER_TOPIC),
  );
  const batch = takeFitting(ordered, Math.min(tokens, MAX_MESSAGE_BYTES));
  const message = { kind: 'entries', entries: batch.entries } as const;
  return next(charge(state, batch.bytes, ctx), send(address, message));
}

/** Sends the entries that the other daemon lacks and requests those missing here. */
export function handleLines(
  state: MembershipState,
  address: string,
  lines: LinesMessage,
  ctx: MembershipContext,
): MembershipStep {
  const { missingThere, missingHere } = compareLines(state.entries, lines, ctx.epoch);
  const isBehind = missingHere.length >= MANY_MISSING;
  const syncAt = isBehind ? later(ctx.now, NEXT_SYNC_MS) : state.syncAt;
  const sent = sendEntries({ ...state, syncAt }, address, missingThere, ctx);
  if (missingHere.length === 0) return sent;
  const want = send(address, { kind: 'want', salt: lines.salt, ids: missingHere });
  return next(charge(sent.state, missingHere.length * LINE_BYTES, ctx), ...sent.effects, want);
}

/** Sends the requested entries. */
export function handleWant(
  state: MembershipState,
  address: string,
  want: WantMessage,
  ctx: MembershipContext,
): MembershipStep {
  const entries = entriesBySaltedId(state.entries, want.salt, want.ids, ctx.epoch);
  return sendEntries(state, address, entries, ctx);
}

/** Starts a comparison with an unknown sender; sends a suspect or dead one its record to refute. */
export function syncSender(
  state: MembershipState,
  from: DaemonId,
  address: string,
  ctx: MembershipContext,
): MembershipStep {
  const member = state.members.get(from);
  if (!member) return next(state, send(address, newDigest(state, ctx)));
  if (member.state !== 'suspect' && member.state !== 'dead') return unchanged(state);
  const entries = [memberEntry(member, expiryOf(member.state, ctx))];
  return next(state, send(address, { kind: 'entries', entries }));
}

function expiryOf(state: string, ctx: MembershipContext): EpochTime | undefined {
  return state === 'dead' ? later(ctx.epoch, ctx.settings.deadTtlMs) : undefined;
}

/** Removes expired entries, and dead members with them. */
export function sweepExpired(state: MembershipState, ctx: MembershipContext): MembershipState {
  const entries = sweep(state.entries, ctx.epoch);
  if (entries === state.entries) return state;
  const members = new Map(
    [...state.members].filter(([id]) => entries.has(`${MEMBER_TOPIC}\n${id}\n${id}`)),
  );
  return { ...state, entries, members };
}

/** The membership state of one daemon, and helpers on it. */

import type { ConfigVersion, DaemonId, EpochTime, MonoTime, ZoneId } from '../ids';
import { brandAs } from '../ids';
import { next } from '../reducer';
import type { Step } from '../reducer';
import { withEntries } from './entries';
import type { EntryStore } from './entries';
import { isPresent, memberEntry } from './members';
import { rankByRendezvous } from './rendezvous';
import { fullBucket } from './token-bucket';
import type { TokenBucket } from './token-bucket';
import type {
  MemberRecord,
  MembershipContext,
  MembershipEffect,
  MembershipSettings,
  Message,
} from './types';

/** An entry that this daemon still sends on to neighbours. */
export interface Rumour {
  readonly sendsRemaining: number;
  readonly bytes: number;
  readonly sentTo: ReadonlySet<DaemonId>;
}

/** A probe whose answer is pending. */
export interface Probe {
  readonly target: DaemonId;
  readonly address: string;
  readonly seq: number;
  /** Deadline of the direct answer; then the probe is relayed. */
  readonly directUntil: MonoTime;
  /** Deadline of any answer. */
  readonly until: MonoTime;
  readonly relayed: boolean;
  /** Whether another daemon has not reached the target either. */
  readonly confirmed: boolean;
}

/** A probe made for another daemon; `seq` is this daemon's number, `requesterSeq` the other's. */
export interface RelayedProbe {
  readonly seq: number;
  readonly requester: string;
  readonly requesterSeq: number;
  readonly until: MonoTime;
}

/** What one daemon knows of the others, and what it has in flight. */
export interface MembershipState {
  readonly self: MemberRecord;
  readonly entries: EntryStore;
  readonly members: ReadonlyMap<DaemonId, MemberRecord>;
  /** Present members that this daemon probes and gossips with. */
  readonly neighbours: readonly DaemonId[];
  readonly rumours: ReadonlyMap<string, Rumour>;
  readonly suspects: ReadonlyMap<DaemonId, MonoTime>;
  /** By target: consecutive unanswered probes without another daemon's confirmation. */
  readonly unconfirmedFailures: ReadonlyMap<DaemonId, number>;
  readonly probe: Probe | undefined;
  readonly relayed: readonly RelayedProbe[];
  readonly candidates: readonly string[];
  /** Limits rumours and direct messages. */
  readonly bucket: TokenBucket;
  /** Limits comparisons, separately: neither they nor rumours may starve the other. */
  readonly syncBucket: TokenBucket;
  /** The configuration version in force here; announced with a delay. */
  readonly configVersion: ConfigVersion;
  /** Highest version assigned to an entry of this daemon. */
  readonly lastVersion: number;
  readonly seq: number;
  /** Index of the neighbour probed last. */
  readonly neighbourIndex: number;
  readonly lastTick: MonoTime;
  readonly probeAt: MonoTime;
  readonly syncAt: MonoTime;
  readonly rejoinAt: MonoTime;
  readonly announceAt: MonoTime;
  readonly refuteAt: MonoTime;
}

/** The result of one step. */
export type MembershipStep = Step<MembershipState, MembershipEffect>;

/** Identity and address of a daemon. */
export interface Identity {
  readonly id: DaemonId;
  readonly address: string;
  readonly zone: ZoneId;
}

/** The state of a daemon that knows only itself. Its incarnation is its start time. */
export function createMembershipState(
  identity: Identity,
  settings: MembershipSettings,
  now: MonoTime,
  epoch: EpochTime,
): MembershipState {
  const self: MemberRecord = {
    ...identity,
    state: 'alive',
    incarnation: Math.floor(epoch),
    configVersion: brandAs<ConfigVersion>(0),
  };
  return {
    self,
    entries: withEntries(new Map(), [memberEntry(self)]),
    members: new Map([[self.id, self]]),
    neighbours: [],
    rumours: new Map(),
    suspects: new Map(),
    unconfirmedFailures: new Map(),
    probe: undefined,
    relayed: [],
    candidates: [],
    bucket: fullBucket(settings, now),
    syncBucket: { tokens: settings.syncBurstBytes, at: now },
    configVersion: self.configVersion,
    lastVersion: 0,
    seq: 0,
    neighbourIndex: 0,
    lastTick: now,
    probeAt: now,
    syncAt: now,
    rejoinAt: now,
    announceAt: now,
    refuteAt: now,
  };
}

/** Runs steps in sequence and concatenates their effects. */
export function chain(
  state: MembershipState,
  ...steps: readonly ((state: MembershipState) => MembershipStep)[]
): MembershipStep {
  let current = state;
  const effects: MembershipEffect[] = [];
  for (const step of steps) {
    const done = step(current);
    current = done.state;
    effects.push(...done.effects);
  }
  return { state: current, effects };
}

/** The effect that sends a message. */
export function send(address: string, message: Message): MembershipEffect {
  return { kind: 'send', address, message };
}

/** A step without changes or effects. */
export function unchanged(state: MembershipState): MembershipStep {
  return next(state);
}

/** All members that are not dead, except this daemon. */
export function presentOthers(state: MembershipState): readonly MemberRecord[] {
  return [...state.members.values()].filter(
    (member) => isPresent(member) && member.id !== state.self.id,
  );
}

/** Recomputes the neighbours; required whenever members join or leave. */
export function withNeighbours(state: MembershipState, count: number): MembershipState {
  const ids = presentOthers(state).map((member) => member.id);
  return { ...state, neighbours: rankByRendezvous(state.self.id, ids).slice(0, count) };
}

/** A uniformly random subset of up to `count` items. */
export function sample<T>(
  items: readonly T[],
  count: number,
  random: MembershipContext['random'],
): readonly T[] {
  const pool = [...items];
  const picked: T[] = [];
  while (picked.length < count && pool.length > 0) {
    picked.push(...pool.splice(Math.floor(random.next() * pool.length), 1));
  }
  return picked;
}

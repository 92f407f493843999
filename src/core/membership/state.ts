/** The state of membership on one daemon, and small questions about it. */

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

/** An entry that is still being passed on. */
export interface Rumour {
  readonly sendsRemaining: number;
  readonly bytes: number;
  readonly sentTo: ReadonlySet<DaemonId>;
}

/** The probe whose answer is awaited. */
export interface Probe {
  readonly target: DaemonId;
  readonly address: string;
  readonly seq: number;
  /** The direct answer is awaited until then. */
  readonly directUntil: MonoTime;
  /** Any answer is awaited until then. */
  readonly until: MonoTime;
  readonly relayed: boolean;
  /** Another daemon has not reached the target either. */
  readonly confirmed: boolean;
}

/** A probe done for another daemon. */
export interface RelayedProbe {
  readonly seq: number;
  readonly askedBy: string;
  readonly askedSeq: number;
  readonly until: MonoTime;
}

export interface MembershipState {
  readonly self: MemberRecord;
  readonly entries: EntryStore;
  readonly members: ReadonlyMap<DaemonId, MemberRecord>;
  /** Present members that this daemon probes and gossips with. */
  readonly neighbours: readonly DaemonId[];
  readonly rumours: ReadonlyMap<string, Rumour>;
  readonly suspects: ReadonlyMap<DaemonId, MonoTime>;
  /** Probes in a row without an answer and without another daemon's confirmation. */
  readonly doubts: ReadonlyMap<DaemonId, number>;
  readonly probe: Probe | undefined;
  readonly relayed: readonly RelayedProbe[];
  readonly candidates: readonly string[];
  /** Bounds rumours and direct messages. */
  readonly bucket: TokenBucket;
  /** Bounds comparisons, which rumours must not starve, nor they rumours. */
  readonly syncBucket: TokenBucket;
  /** The configuration version in force here; announced with some delay. */
  readonly configVersion: ConfigVersion;
  /** Highest version given to an own entry. */
  readonly lastVersion: number;
  readonly seq: number;
  /** Whose turn it is among the neighbours. */
  readonly turn: number;
  readonly lastTick: MonoTime;
  readonly probeAt: MonoTime;
  readonly syncAt: MonoTime;
  readonly rejoinAt: MonoTime;
  readonly announceAt: MonoTime;
  readonly refuteAt: MonoTime;
}

export type MembershipStep = Step<MembershipState, MembershipEffect>;

/** Who a daemon is. */
export interface Identity {
  readonly id: DaemonId;
  readonly address: string;
  readonly zone: ZoneId;
}

/** A daemon that knows only itself. Its incarnation is the instant of its start. */
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
    doubts: new Map(),
    probe: undefined,
    relayed: [],
    candidates: [],
    bucket: fullBucket(settings, now),
    syncBucket: { tokens: settings.syncBurstBytes, at: now },
    configVersion: self.configVersion,
    lastVersion: 0,
    seq: 0,
    turn: 0,
    lastTick: now,
    probeAt: now,
    syncAt: now,
    rejoinAt: now,
    announceAt: now,
    refuteAt: now,
  };
}

/** Runs steps one after the other and gathers their effects. */
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

export function send(address: string, message: Message): MembershipEffect {
  return { kind: 'send', address, message };
}

export function unchanged(state: MembershipState): MembershipStep {
  return next(state);
}

/** Members other than this daemon that are not dead. */
export function presentOthers(state: MembershipState): readonly MemberRecord[] {
  return [...state.members.values()].filter(
    (member) => isPresent(member) && member.id !== state.self.id,
  );
}

/** Chooses the neighbours anew; to be done whenever members come or go. */
export function withNeighbours(state: MembershipState, count: number): MembershipState {
  const ids = presentOthers(state).map((member) => member.id);
  return { ...state, neighbours: rankByRendezvous(state.self.id, ids).slice(0, count) };
}

/** Up to `count` of `items`, each subset equally likely. */
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

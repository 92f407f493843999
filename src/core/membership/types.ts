/** Types of membership: entries that daemons gossip, messages, events and effects. */

import type { ConfigVersion, DaemonId, EpochTime, MonoTime, ZoneId } from '../ids';
import type { Json } from '../json';
import type { StepContext } from '../reducer';

/** A fact that one daemon tells all; the highest version of a topic, key and origin counts. */
export interface Entry {
  readonly topic: string;
  readonly key: string;
  readonly origin: DaemonId;
  readonly version: number;
  readonly value: Json;
  /** Forgotten after this. */
  readonly expiresAt: EpochTime;
}

/** Later states override earlier ones of the same incarnation. */
export const MEMBER_STATES = ['alive', 'suspect', 'leaving', 'dead'] as const;
export type MemberState = (typeof MEMBER_STATES)[number];

/** One daemon as its newest entry tells. Only the daemon itself raises its incarnation. */
export interface MemberRecord {
  readonly id: DaemonId;
  readonly address: string;
  readonly zone: ZoneId;
  readonly state: MemberState;
  readonly incarnation: number;
  readonly configVersion: ConfigVersion;
}

/** Are you there? */
export interface ProbeMessage {
  readonly kind: 'probe';
  readonly seq: number;
}

/** Here, or there: the daemon asked about by `seq` has answered. */
export interface AckMessage {
  readonly kind: 'ack';
  readonly seq: number;
}

/** The daemon asked about by `seq` has not answered the receiver either. */
export interface NackMessage {
  readonly kind: 'nack';
  readonly seq: number;
}

/** Asks the receiver to probe `target` for the sender. */
export interface RelayMessage {
  readonly kind: 'relay';
  readonly seq: number;
  readonly target: string;
}

export interface EntriesMessage {
  readonly kind: 'entries';
  readonly entries: readonly Entry[];
}

/** One number a bucket of entries; equal numbers mean equal entries. */
export interface DigestMessage {
  readonly kind: 'digest';
  /** Another one each time, so that no two entries are taken for each other twice. */
  readonly salt: number;
  readonly buckets: readonly number[];
}

/** The entries of some buckets as salted ids and versions, index by index. */
export interface LinesMessage {
  readonly kind: 'lines';
  readonly salt: number;
  readonly buckets: readonly number[];
  readonly ids: readonly number[];
  readonly versions: readonly number[];
}

/** Asks for the entries with these salted ids. */
export interface WantMessage {
  readonly kind: 'want';
  readonly salt: number;
  readonly ids: readonly number[];
}

export type Message =
  | ProbeMessage
  | AckMessage
  | NackMessage
  | RelayMessage
  | EntriesMessage
  | DigestMessage
  | LinesMessage
  | WantMessage;

/** Times in milliseconds. */
export interface MembershipSettings {
  /** Each daemon probes one neighbour in this time. */
  readonly probeIntervalMs: number;
  /** A probe without an answer for this long is tried through others. */
  readonly probeTimeoutMs: number;
  /** Others asked to probe. */
  readonly relays: number;
  /** A suspect that does not speak up for this long is dead; grows with the number of daemons. */
  readonly suspectTimeoutMs: number;
  /** Daemons that one probes and gossips with. */
  readonly neighbours: number;
  /** Neighbours told at once of something new, and per tick afterwards. */
  readonly fanOut: number;
  /** Times that one daemon passes an entry on, at most. */
  readonly maxSends: number;
  /** Period of the comparison with a neighbour. */
  readonly syncIntervalMs: number;
  /** Period at which a daemon that is missing is tried. */
  readonly rejoinIntervalMs: number;
  /** Least time between own announcements, for each daemon known. */
  readonly announceIntervalMsPerDaemon: number;
  /** Ticks further apart than this mean that the process was paused. */
  readonly pauseThresholdMs: number;
  /** The dead are remembered this long. */
  readonly deadTtlMs: number;
  /** Limit of rumours and direct messages, bytes a second, and what may be sent at once. */
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
  /** The same for comparisons. */
  readonly syncBytesPerSecond: number;
  readonly syncBurstBytes: number;
}

export const MEMBERSHIP_DEFAULTS: MembershipSettings = {
  probeIntervalMs: 1000,
  probeTimeoutMs: 300,
  relays: 3,
  suspectTimeoutMs: 2000,
  neighbours: 12,
  fanOut: 3,
  maxSends: 6,
  syncIntervalMs: 10_000,
  rejoinIntervalMs: 2000,
  announceIntervalMsPerDaemon: 300,
  pauseThresholdMs: 1000,
  deadTtlMs: 2 * 3_600_000,
  bytesPerSecond: 5500,
  burstBytes: 32_000,
  syncBytesPerSecond: 1500,
  syncBurstBytes: 32_000,
};

/** What a step may know besides state and event. */
export interface MembershipContext extends StepContext {
  readonly now: MonoTime;
  readonly epoch: EpochTime;
  readonly random: { next(): number };
  readonly settings: MembershipSettings;
}

export type MembershipEvent =
  | { readonly kind: 'tick' }
  | {
      readonly kind: 'message';
      readonly from: DaemonId;
      readonly address: string;
      readonly message: Message;
    }
  /** No link to the address could be made, or the one there was broke. */
  | { readonly kind: 'unreachable'; readonly address: string }
  /** Where daemons may be, from settings and the instance list. */
  | { readonly kind: 'candidates'; readonly addresses: readonly string[] }
  | {
      readonly kind: 'publish';
      readonly topic: string;
      readonly key: string;
      readonly value: Json;
      readonly expiresAt: EpochTime;
    }
  | { readonly kind: 'config-version'; readonly version: ConfigVersion }
  /** Bytes sent beside gossip, which count against its limit. */
  | { readonly kind: 'spent'; readonly bytes: number }
  | { readonly kind: 'leave' };

export type MembershipEffect =
  | { readonly kind: 'send'; readonly address: string; readonly message: Message }
  /** Breaks a link that does not answer, so that the next message makes a new one. */
  | { readonly kind: 'drop'; readonly address: string }
  | { readonly kind: 'received'; readonly entry: Entry }
  | { readonly kind: 'members-changed' }
  /** Another process uses this daemon's id. */
  | { readonly kind: 'duplicate-id'; readonly address: string };

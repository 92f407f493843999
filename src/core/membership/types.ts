/** Types of daemon membership: gossiped entries, messages, settings, events and effects. */

import type { ConfigVersion, DaemonId, EpochTime, MonoTime, ZoneId } from '../ids';
import type { Json } from '../json';
import type { StepContext } from '../reducer';

/** A value that one daemon gossips to all; of a topic, key and origin the highest version wins. */
export interface Entry {
  readonly topic: string;
  readonly key: string;
  readonly origin: DaemonId;
  readonly version: number;
  readonly value: Json;
  /** Removed from then on. */
  readonly expiresAt: EpochTime;
}

/** Later states override earlier ones of the same incarnation. */
export const MEMBER_STATES = ['alive', 'suspect', 'leaving', 'dead'] as const;
/** What a member's newest entry says of its liveness. */
export type MemberState = (typeof MEMBER_STATES)[number];

/** One daemon as in its newest entry. Only the daemon itself raises its incarnation. */
export interface MemberRecord {
  readonly id: DaemonId;
  readonly address: string;
  readonly zone: ZoneId;
  readonly state: MemberState;
  readonly incarnation: number;
  readonly configVersion: ConfigVersion;
}

/** Asks the receiver for an ack. */
export interface ProbeMessage {
  readonly kind: 'probe';
  readonly seq: number;
}

/** Answers a probe, or says that the target of the relayed probe `seq` has answered. */
export interface AckMessage {
  readonly kind: 'ack';
  readonly seq: number;
}

/** Says that the target of the relayed probe `seq` has not answered the sender either. */
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

/** Entries that the receiver may lack. */
export interface EntriesMessage {
  readonly kind: 'entries';
  readonly entries: readonly Entry[];
}

/** One hash per bucket of entries; equal hashes mean equal entries. */
export interface DigestMessage {
  readonly kind: 'digest';
  /** Differs in each digest, so that a hash collision does not recur. */
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

/** Requests the entries with these salted ids. */
export interface WantMessage {
  readonly kind: 'want';
  readonly salt: number;
  readonly ids: readonly number[];
}

/** Messages between the membership parts of daemons. */
export type Message =
  | ProbeMessage
  | AckMessage
  | NackMessage
  | RelayMessage
  | EntriesMessage
  | DigestMessage
  | LinesMessage
  | WantMessage;

/** Settings of membership and gossip; times in milliseconds. */
export interface MembershipSettings {
  /** Interval at which each daemon probes one neighbour. */
  readonly probeIntervalMs: number;
  /** A probe that is unanswered for this long is relayed through other daemons. */
  readonly probeTimeoutMs: number;
  /** Daemons asked to relay a probe. */
  readonly relays: number;
  /** A suspect that does not refute this long is dead; scaled up with the number of daemons. */
  readonly suspectTimeoutMs: number;
  /** Daemons that each one probes and gossips with. */
  readonly neighbours: number;
  /** Neighbours that new entries are sent to at once, and on each later tick. */
  readonly fanOut: number;
  /** Most times that one daemon sends an entry on. */
  readonly maxSends: number;
  /** Mean interval between comparisons with a neighbour. */
  readonly syncIntervalMs: number;
  /** Mean interval between attempts to reach a missing daemon. */
  readonly rejoinIntervalMs: number;
  /** Least time between a daemon's own announcements, per known daemon. */
  readonly announceIntervalMsPerDaemon: number;
  /** A longer gap between ticks means that the process was paused. */
  readonly pauseThresholdMs: number;
  /** How long dead members are remembered. */
  readonly deadTtlMs: number;
  /** Limit on rumours and direct messages: bytes per second, and the burst. */
  readonly bytesPerSecond: number;
  readonly burstBytes: number;
  /** The same limit on comparisons. */
  readonly syncBytesPerSecond: number;
  readonly syncBurstBytes: number;
}

/** Default settings. */
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

/** Inputs of a step besides state and event. */
export interface MembershipContext extends StepContext {
  readonly now: MonoTime;
  readonly epoch: EpochTime;
  readonly random: { next(): number };
  readonly settings: MembershipSettings;
}

/** Inputs of `reduceMembership`. */
export type MembershipEvent =
  | { readonly kind: 'tick' }
  | {
      readonly kind: 'message';
      readonly from: DaemonId;
      readonly address: string;
      readonly message: Message;
    }
  /** Connecting to the address failed, or its connection broke. */
  | { readonly kind: 'unreachable'; readonly address: string }
  /** Addresses where daemons may run, from the settings and the instance list. */
  | { readonly kind: 'candidates'; readonly addresses: readonly string[] }
  | {
      readonly kind: 'publish';
      readonly topic: string;
      readonly key: string;
      readonly value: Json;
      readonly expiresAt: EpochTime;
    }
  | { readonly kind: 'config-version'; readonly version: ConfigVersion }
  /** Bytes sent besides gossip, which count against its limit. */
  | { readonly kind: 'spent'; readonly bytes: number }
  | { readonly kind: 'leave' };

/** Actions that `reduceMembership` asks for. */
export type MembershipEffect =
  | { readonly kind: 'send'; readonly address: string; readonly message: Message }
  /** Closes an unresponsive connection, so that the next message opens a new one. */
  | { readonly kind: 'drop'; readonly address: string }
  | { readonly kind: 'received'; readonly entry: Entry }
  | { readonly kind: 'members-changed' }
  /** Another process, at this address, uses this daemon's id. */
  | { readonly kind: 'duplicate-id'; readonly address: string };

/** Settings, state, events and effects of the daemon that holds one fabric domain. */

import type {
  DomainId,
  Epoch,
  FencingNumber,
  GroupId,
  InstanceId,
  ModelId,
  MonoTime,
} from '../ids';
import type { GroupWeights } from '../config/types';
import type {
  EngineReport,
  GroupRow,
  InstanceInfo,
  InstanceRow,
  Member,
  SlotRow,
  Versioned,
} from './types';

/** Names of the chosen policies; see `policies.ts`. */
export interface PolicyNames {
  readonly replace: ReplacePolicy;
  readonly choose: ChoosePolicy;
  readonly loads: LoadPolicy;
  readonly spares: SparePolicy;
}

/** When an unresponsive member is replaced. */
export type ReplacePolicy = 'timeout' | 'preload' | 'wait';
/** Which free instance replaces it. */
export type ChoosePolicy = 'lowest-id' | 'warm-first' | 'lend';
/** Which group loads its weights first. */
export type LoadPolicy = 'arrival' | 'value-first';
/** How many instances a domain keeps in reserve. */
export type SparePolicy = 'none' | 'one' | 'warm';

/** The part of a model's configuration that group planning uses. */
export interface ModelPlan {
  readonly id: ModelId;
  readonly membersPerReplica: number;
  readonly replicas: number;
  readonly weights: GroupWeights;
  readonly policies: PolicyNames;
}

/** Timeouts and limits of group planning; times in milliseconds. */
export interface DomainSettings {
  /** A member that answers no probe for this long counts as unresponsive. */
  readonly unresponsiveMs: number;
  /** Policy `timeout` replaces a member that has been unresponsive this long. */
  readonly replaceAfterMs: number;
  /** Policy `preload` replaces it by a warm spare after this long. */
  readonly confirmMs: number;
  /** The domain counts as down if more than this share of its grouped instances is unresponsive. */
  readonly outageShare: number;
  /** Groups of a domain that is down this long are dissolved and may form in other domains. */
  readonly outageDissolveMs: number;
  /** A group that lacks a member this long, without a replacement, releases its instances. */
  readonly dissolveMs: number;
  /** Longest drain before a planned replacement or dissolution. */
  readonly drainTimeoutMs: number;
  /** Time before the same order is sent again. */
  readonly orderRetryMs: number;
  /** Time before an idle instance that still lacks weights is sent another preload order. */
  readonly preloadRetryMs: number;
  /** Time after a change of a group before it may be restarted with the next epoch. */
  readonly restartDelayMs: number;
  /** Members of the domain that may load weights concurrently; default: those of one group. */
  readonly maxLoads?: number;
  /** The same across all domains, as far as their holders receive each other's counts. */
  readonly maxLoadsOverall: number;
  /** Delay per rank before a domain tries to fill an open slot. */
  readonly slotRankDelayMs: number;
  /** Rows are read again after this long, in case another daemon's write was missed. */
  readonly rowRefreshMs: number;
}

/** Fewer unresponsive instances than this never count as an outage of a domain. */
export const MIN_OUTAGE_INSTANCES = 3;

/** Default settings. */
export const DOMAIN_SETTINGS: DomainSettings = {
  unresponsiveMs: 3_000,
  replaceAfterMs: 30_000,
  confirmMs: 5_000,
  outageShare: 0.5,
  outageDissolveMs: 600_000,
  dissolveMs: 180_000,
  drainTimeoutMs: 30_000,
  orderRetryMs: 1_000,
  preloadRetryMs: 180_000,
  restartDelayMs: 1_000,
  maxLoadsOverall: 64,
  slotRankDelayMs: 1_500,
  rowRefreshMs: 30_000,
};

/** The holder's view of one instance of the domain. */
export interface InstanceView {
  /** The instance as the platform lists it; absent while it does not. */
  readonly listing?: InstanceInfo;
  /** An operator or a peer asked for the instance to be drained. */
  readonly isDrainRequested: boolean;
  readonly report?: EngineReport;
  /** When the probe that returned the report was sent. */
  readonly reportedAt?: MonoTime;
  /** When its reports first showed the present state, group and epoch. */
  readonly changedAt?: MonoTime;
  /** When the first unanswered probe was sent; absent while it answers. */
  readonly unresponsiveSince?: MonoTime;
  /** Until then another daemon's observation shows it as healthy. */
  readonly peerConfirmedUntil?: MonoTime;
  /** The last order sent. */
  readonly order?: SentOrder;
}

/** An order that was sent; one with the same text is not repeated before `retryAt`. */
export interface SentOrder {
  readonly kind: PlannedOrder['kind'];
  readonly text: string;
  readonly retryAt: MonoTime;
}

/** A replica slot without a group, and how many domains precede this one in filling it. */
export interface OpenSlot {
  readonly model: ModelId;
  readonly slot: number;
  readonly rank: number;
}

/** The domain's lease as its holder knows it; valid before `validUntil`. */
export interface DomainLease {
  readonly fencing: FencingNumber;
  readonly fenceVersion: number;
  readonly validUntil: MonoTime;
}

/** What the holder of a domain knows and has in flight. */
export interface DomainState {
  readonly domain: DomainId;
  readonly settings: DomainSettings;
  readonly lease?: DomainLease;
  /** Whether the rows were read under the current fencing number. */
  readonly rows: 'unread' | 'reading' | 'read';
  readonly readAt: MonoTime;
  readonly groups: Readonly<Record<GroupId, Versioned<GroupRow>>>;
  readonly instanceRows: Readonly<Record<InstanceId, Versioned<InstanceRow>>>;
  readonly instances: Readonly<Record<InstanceId, InstanceView>>;
  readonly models: Readonly<Record<ModelId, ModelPlan>>;
  readonly openSlots: readonly OpenSlot[];
  /** By key: when each open slot was first seen open. */
  readonly openSince: Readonly<Record<string, MonoTime>>;
  readonly pending?: GroupTransaction;
  /** After a failed transaction, the earliest time of the next one. */
  readonly retryAt: MonoTime;
  /** By group: deadline of its drain. */
  readonly drainUntil: Readonly<Record<GroupId, MonoTime>>;
  /** By group: earliest restart. */
  readonly restartAt: Readonly<Record<GroupId, MonoTime>>;
  /** Start of an outage of the domain; absent while there is none. */
  readonly downSince?: MonoTime;
  /** Members loading weights in other domains, as their holders publish it. */
  readonly loadsElsewhere: number;
  /** Number of the next group or transaction of this process. */
  readonly seq: number;
}

/** A write to a group, instance or slot row; without `row` it deletes the row. */
export type GroupWrite =
  | { readonly kind: 'group'; readonly id: GroupId; readonly row?: GroupRow }
  | { readonly kind: 'instance'; readonly id: InstanceId; readonly row: InstanceRow }
  | {
      readonly kind: 'slot';
      readonly model: ModelId;
      readonly slot: number;
      readonly row?: SlotRow;
    };

/** A write that is conditional on the version of its row. */
export interface ConditionalWrite {
  readonly write: GroupWrite;
  /** Version that the row must have; omitted where the condition on the group's row suffices. */
  readonly version?: number;
}

/** Rows written atomically, on condition that the lease's fence row is unchanged. */
export interface GroupTransaction {
  readonly id: number;
  readonly reason: string;
  readonly fenceVersion: number;
  readonly writes: readonly ConditionalWrite[];
}

/** An order to an engine as planned here; the sender adds `OrderAuthority`. */
export type PlannedOrder =
  | {
      readonly kind: 'join';
      readonly group: GroupId;
      readonly epoch: Epoch;
      readonly model: ModelId;
      readonly rank: number;
      readonly members: readonly Member[];
    }
  | { readonly kind: 'drain'; readonly group: GroupId; readonly epoch: Epoch }
  | { readonly kind: 'release'; readonly group: GroupId; readonly epoch: Epoch }
  | { readonly kind: 'preload'; readonly model: ModelId };

/** Inputs of `reduceDomain`. */
export type DomainEvent =
  | { readonly kind: 'leased'; readonly lease: DomainLease }
  | { readonly kind: 'unleased' }
  | { readonly kind: 'configured'; readonly models: Readonly<Record<ModelId, ModelPlan>> }
  | { readonly kind: 'listed'; readonly instances: readonly InstanceInfo[] }
  | {
      readonly kind: 'read';
      readonly groups: readonly Versioned<GroupRow>[];
      readonly instances: readonly Versioned<InstanceRow>[];
    }
  | { readonly kind: 'read-failed' }
  | {
      readonly kind: 'reported';
      readonly instance: InstanceId;
      readonly report: EngineReport;
      readonly sentAt: MonoTime;
    }
  /** A probe that was sent then was not answered. */
  | { readonly kind: 'silent'; readonly instance: InstanceId; readonly sentAt: MonoTime }
  /** Another daemon's observation shows all members of the group as healthy until then. */
  | { readonly kind: 'vouched'; readonly group: GroupId; readonly until: MonoTime }
  /** An operator or a peer asks for the instance to be drained. */
  | { readonly kind: 'drain'; readonly instance: InstanceId }
  | {
      readonly kind: 'slots';
      readonly open: readonly OpenSlot[];
      readonly loadsElsewhere: number;
    }
  | {
      readonly kind: 'committed';
      readonly id: number;
      /** By key of each row written: its version after the commit. */
      readonly versions: Readonly<Record<string, number>>;
    }
  /** Nothing was written; `conflict` if a condition failed. */
  | { readonly kind: 'refused'; readonly id: number; readonly conflict: boolean }
  /** Whether the transaction was committed is unknown. */
  | { readonly kind: 'unsure'; readonly id: number }
  | { readonly kind: 'tick' };

/** Actions that `reduceDomain` asks for. */
export type DomainEffect =
  | { readonly kind: 'read'; readonly instances: readonly InstanceId[] }
  | { readonly kind: 'commit'; readonly transaction: GroupTransaction }
  | {
      readonly kind: 'order';
      readonly instance: InstanceId;
      readonly address: string;
      readonly order: PlannedOrder;
    };

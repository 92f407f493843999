/** State, events and effects of the holder of one fabric domain. */

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

/** When a silent member is replaced. */
export type ReplacePolicy = 'timeout' | 'preload' | 'wait';
/** Which instance replaces it. */
export type ChoosePolicy = 'lowest-id' | 'warm-first' | 'lend';
/** Whose weights are loaded first. */
export type LoadPolicy = 'arrival' | 'value-first';
/** What is kept free in a domain. */
export type SparePolicy = 'none' | 'one' | 'warm';

/** What the holder needs to know of a model. */
export interface ModelPlan {
  readonly id: ModelId;
  readonly membersPerReplica: number;
  readonly replicas: number;
  readonly weights: GroupWeights;
  readonly policies: PolicyNames;
}

export interface DomainSettings {
  /** A member unheard of for this long counts as silent. */
  readonly unresponsiveMs: number;
  /** Policy `timeout`: replaced after this much silence. */
  readonly replaceAfterMs: number;
  /** Policy `preload`: a warm spare takes over after this much silence. */
  readonly confirmMs: number;
  /** Share of the domain's grouped instances silent at once that makes the domain dark. */
  readonly outageShare: number;
  /** A domain dark for this long is given up: its groups may form elsewhere. */
  readonly outageDissolveMs: number;
  /** A group without a member, and without one to replace it, gives its instances back then. */
  readonly dissolveMs: number;
  /** Longest drain before a planned replacement or dissolution. */
  readonly drainTimeoutMs: number;
  /** Before the same order is sent again. */
  readonly orderRetryMs: number;
  /** Before an idle instance that still lacks weights is told again to fetch them. */
  readonly preloadRetryMs: number;
  /** Before a group that broke is started again with the next epoch. */
  readonly restartDelayMs: number;
  /** Members of the domain that may fetch weights at a time; left out: those of one group. */
  readonly maxLoads?: number;
  /** The same for all domains together, as far as their holders hear of each other. */
  readonly maxLoadsOverall: number;
  /** How much later each further domain tries for a free slot. */
  readonly slotRankDelayMs: number;
  /** Rows are read again after this long, should another's write have been missed. */
  readonly rowRefreshMs: number;
}

/** Fewer silent instances than this never make a domain dark. */
export const MIN_OUTAGE_INSTANCES = 3;

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

/** What is known of one instance of the domain. */
export interface InstanceView {
  readonly facts?: InstanceInfo;
  /** An operator's word, or a peer's, that it is leaving. */
  readonly isDrainRequested: boolean;
  readonly report?: EngineReport;
  /** When the probe that brought the report was sent. */
  readonly reportedAt?: MonoTime;
  /** Since when its reports name this state, group and epoch. */
  readonly changedAt?: MonoTime;
  /** Since when it gave no answer; absent while it does. */
  readonly silentSince?: MonoTime;
  /** Another daemon sees it well until then. */
  readonly peerConfirmedUntil?: MonoTime;
  /** The last order sent, and when it may be sent again. */
  readonly order?: SentOrder;
}

export interface SentOrder {
  readonly kind: PlannedOrder['kind'];
  readonly text: string;
  readonly retryAt: MonoTime;
}

/** A slot that no group fills and how many domains come before this one for it. */
export interface OpenSlot {
  readonly model: ModelId;
  readonly slot: number;
  readonly rank: number;
}

export interface DomainLease {
  readonly fencing: FencingNumber;
  readonly fenceVersion: number;
  readonly validUntil: MonoTime;
}

export interface DomainState {
  readonly domain: DomainId;
  readonly settings: DomainSettings;
  readonly lease?: DomainLease;
  /** Whether the rows were read under the present fencing number. */
  readonly rows: 'unread' | 'reading' | 'read';
  readonly readAt: MonoTime;
  readonly groups: Readonly<Record<GroupId, Versioned<GroupRow>>>;
  readonly instanceRows: Readonly<Record<InstanceId, Versioned<InstanceRow>>>;
  readonly instances: Readonly<Record<InstanceId, InstanceView>>;
  readonly models: Readonly<Record<ModelId, ModelPlan>>;
  readonly openSlots: readonly OpenSlot[];
  /** When each open slot was first seen open. */
  readonly openSince: Readonly<Record<string, MonoTime>>;
  readonly pending?: GroupTransaction;
  /** No transaction before this, after one that failed. */
  readonly retryAt: MonoTime;
  /** By group: when its drain ends at the latest. */
  readonly drainUntil: Readonly<Record<GroupId, MonoTime>>;
  /** By group: not started again before this. */
  readonly restartAt: Readonly<Record<GroupId, MonoTime>>;
  readonly darkSince?: MonoTime;
  /** Members fetching weights in other domains, as their holders say. */
  readonly loadsElsewhere: number;
  /** Numbers the groups and transactions made by this process. */
  readonly seq: number;
}

/** A condition or a write on one of the rows of groups. */
export type GroupWrite =
  | { readonly kind: 'group'; readonly id: GroupId; readonly row?: GroupRow }
  | { readonly kind: 'instance'; readonly id: InstanceId; readonly row: InstanceRow }
  | {
      readonly kind: 'slot';
      readonly model: ModelId;
      readonly slot: number;
      readonly row?: SlotRow;
    };

export interface ConditionalWrite {
  readonly write: GroupWrite;
  /** Version that the row must have; left out where the group's row guards it. */
  readonly version?: number;
}

/** Rows that change together, under the fencing number of the domain's lease. */
export interface GroupTransaction {
  readonly id: number;
  readonly reason: string;
  readonly fenceVersion: number;
  readonly writes: readonly ConditionalWrite[];
}

/** An order as the core decides it; the adapter adds the authority. */
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
  | { readonly kind: 'silent'; readonly instance: InstanceId; readonly sentAt: MonoTime }
  | { readonly kind: 'vouched'; readonly group: GroupId; readonly until: MonoTime }
  | { readonly kind: 'drain'; readonly instance: InstanceId }
  | {
      readonly kind: 'slots';
      readonly open: readonly OpenSlot[];
      readonly loadsElsewhere: number;
    }
  | {
      readonly kind: 'committed';
      readonly id: number;
      /** Version after the commit, by key of each row put. */
      readonly versions: Readonly<Record<string, number>>;
    }
  | { readonly kind: 'refused'; readonly id: number; readonly conflict: boolean }
  | { readonly kind: 'unsure'; readonly id: number }
  | { readonly kind: 'tick' };

export type DomainEffect =
  | { readonly kind: 'read'; readonly instances: readonly InstanceId[] }
  | { readonly kind: 'commit'; readonly transaction: GroupTransaction }
  | {
      readonly kind: 'order';
      readonly instance: InstanceId;
      readonly address: string;
      readonly order: PlannedOrder;
    };

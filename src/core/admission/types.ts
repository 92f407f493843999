/** What admission takes in, keeps and gives back. */

import type { CallerClass } from '../config/types';
import type { ModelId, MonoTime, OrganisationId, RequestId } from '../ids';

/** Names of the policies; see `policies.ts`. */
export type AdmissionPolicyName =
  'fair-worth' | 'fair-deadline' | 'shared-worth' | 'first-come' | 'limit-only';

export interface AdmissionOptions {
  readonly policy: AdmissionPolicyName;
  /** Queued requests per slot of a model, all organisations together. */
  readonly queuePerSlot: number;
  /** Least bound of a model's queue, whatever its slots. */
  readonly minQueue: number;
  /** Requests in flight, queued ones included, of one organisation on this daemon. */
  readonly organisationLimit: number;
  /** An organisation that used less than its share may make up for this much time, milliseconds. */
  readonly creditMs: number;
  /** Arrivals are remembered for about this long, to foresee denser ones, milliseconds. */
  readonly arrivalMemoryMs: number;
  /** The estimated wait is multiplied by this before it is held against the deadline. */
  readonly waitSafety: number;
  /** Least time after which a refused caller should come back, milliseconds. */
  readonly minRetryMs: number;
  /** Retry times are spread by up to this share. */
  readonly retryJitter: number;
  /** When to come back where a model has no capacity and none is expected, milliseconds. */
  readonly noCapacityRetryMs: number;
  /** How late expected capacity may be before those that wait for it are refused, milliseconds. */
  readonly expectedGraceMs: number;
}

export const ADMISSION_DEFAULTS: AdmissionOptions = {
  policy: 'fair-worth',
  queuePerSlot: 16,
  minQueue: 64,
  organisationLimit: 4_096,
  creditMs: 2_000,
  arrivalMemoryMs: 5_000,
  waitSafety: 1,
  minRetryMs: 100,
  retryJitter: 0.5,
  noCapacityRetryMs: 2_000,
  expectedGraceMs: 500,
};

/** A request that asks to be let in. */
export interface AdmissionRequest {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly class: CallerClass;
  /** The organisation's share of capacity relative to others; above 0. */
  readonly share: number;
  readonly model: ModelId;
  /** The answer is worth nothing after this. */
  readonly deadline: MonoTime;
  /** Expected time in a slot, milliseconds; above 0. */
  readonly estimateMs: number;
}

/** Why a request was refused. */
export type RefusalReason =
  | 'class-limit'
  | 'organisation-limit'
  | 'queue-full'
  | 'no-capacity'
  | 'deadline-unreachable'
  | 'deadline-passed'
  /** Given up for a request of greater worth, or of an organisation below its share. */
  | 'displaced';

export type RefusalCode = 'too-many-requests' | 'overloaded' | 'deadline-exceeded';

export interface Admitted {
  readonly kind: 'admitted';
}

export interface Queued {
  readonly kind: 'queued';
}

export interface Refused {
  readonly kind: 'refused';
  readonly code: RefusalCode;
  readonly reason: RefusalReason;
  /** When a new try may do better; jittered. */
  readonly retryAt: MonoTime;
}

export type Verdict = Admitted | Queued | Refused;

/** A queued request that is given up now. */
export interface RefusedRequest {
  readonly id: RequestId;
  readonly verdict: Refused;
}

/** What became of queued requests in a step. */
export interface QueueUpdate {
  readonly state: AdmissionState;
  /** Queued before, admitted now; in this order. */
  readonly admitted: readonly RequestId[];
  /** Queued before, refused now. */
  readonly refused: readonly RefusedRequest[];
}

/** The verdict on a new request, and what it meant for queued ones. */
export interface Admission extends QueueUpdate {
  readonly verdict: Verdict;
}

/** A request that holds a slot or waits for one. */
export interface Entry {
  readonly req: AdmissionRequest;
  readonly pool: Pool;
  readonly account: Account;
  /** Order of arrival. */
  readonly seq: number;
  /** Which of the organisation's buckets holds it; lower ones go first. */
  readonly bucket: number;
  /** Last instant at which it may get a slot. */
  readonly startBy: MonoTime;
  /** When it got its slot; `undefined` while queued. */
  startedAt: MonoTime | undefined;
}

/** One organisation's dealings with one model. */
export interface Account {
  readonly organisation: OrganisationId;
  readonly queue: OrganisationQueue;
  share: number;
  /** Start tag of its next request, in milliseconds of work per unit of share. */
  start: number;
  running: number;
  /** Work that comes in, all buckets together. */
  readonly arrivals: Rate;
}

/** Queued requests of one organisation, by bucket and deadline. */
export interface OrganisationQueue {
  /** Sparse: a bucket is made when first used. */
  readonly buckets: (Bucket | undefined)[];
  size: number;
}

export interface Bucket {
  readonly entries: Heap<Entry>;
  /** Estimated work of its entries, milliseconds. */
  workMs: number;
  /** Work that comes in for it, queued or not. */
  readonly arrivals: Rate;
}

/** Work that comes in per millisecond: a sum that fades. */
export interface Rate {
  value: number;
  at: MonoTime;
}

/** A binary heap from which any item can be taken. */
export interface Heap<T> {
  readonly items: T[];
  readonly places: Map<T, number>;
  readonly before: (a: T, b: T) => boolean;
}

/** Capacity of one model on this daemon, and who has and wants it. */
export interface Pool {
  readonly model: ModelId;
  slots: number;
  running: number;
  queued: number;
  /** Estimated work of all queued entries, milliseconds. */
  queuedMs: number;
  /** Sum of the shares of organisations with queued requests. */
  backloggedShare: number;
  /** Virtual time: the greatest start tag of a request that got a slot. */
  virtualTime: number;
  /** Moving averages of the time in a slot, measured and as estimated, milliseconds. */
  meanServiceMs: number;
  meanEstimateMs: number;
  /** Work that comes in, all organisations together. */
  readonly arrivals: Rate;
  /** When capacity is expected again; only while there is none. */
  expectedAt: MonoTime | undefined;
  readonly accounts: Map<OrganisationId, Account>;
  /** Organisations with queued requests, by start tag. */
  readonly byStartTag: Heap<Account>;
  /** The same, the longest queue for its share first. */
  readonly byQueueLength: Heap<Account>;
  /** All queued entries, by the last instant at which they may start. */
  readonly byStartBy: Heap<Entry>;
}

/** State of admission. A mutable record that one loop owns; see `docs/ADMISSION.md`. */
export interface AdmissionState {
  readonly opts: AdmissionOptions;
  readonly pools: Map<ModelId, Pool>;
  readonly entries: Map<RequestId, Entry>;
  /** Requests in flight, by class of an organisation and by organisation. */
  readonly inFlight: Map<string, number>;
  seq: number;
}

/** Options, requests, verdicts and state of admission. */

import type { CallerClass } from '../config/types';
import type { ModelId, MonoTime, OrganisationId, RequestId } from '../ids';

/** Names of the admission policies; see `policies.ts`. */
export type AdmissionPolicyName =
  'fair-worth' | 'fair-deadline' | 'shared-worth' | 'first-come' | 'limit-only';

/** Tuning of admission; see {@link ADMISSION_DEFAULTS}. */
export interface AdmissionOptions {
  readonly policy: AdmissionPolicyName;
  /** Maximum queued requests per slot of a model, over all organisations. */
  readonly queuePerSlot: number;
  /** Lower bound of a model's queue limit, however few slots it has. */
  readonly minQueue: number;
  /** Maximum requests in flight, including queued ones, of one organisation on this daemon. */
  readonly organisationLimit: number;
  /** Slot time that an organisation below its share may catch up on, milliseconds. */
  readonly creditMs: number;
  /**
   * Time constant of the arrival rates that predict denser requests, milliseconds; 0 disables them.
   */
  readonly arrivalMemoryMs: number;
  /** Factor on the estimated wait before it is compared with the deadline. */
  readonly waitSafety: number;
  /** Minimum time until a refused caller should retry, milliseconds. */
  readonly minRetryMs: number;
  /** Maximum jitter of a retry time, as a fraction of it. */
  readonly retryJitter: number;
  /** Time until a retry for a model without capacity, if none is expected, milliseconds. */
  readonly noCapacityRetryMs: number;
  /** How late expected capacity may be before requests waiting for it are refused, milliseconds. */
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

/** A request for admission. */
export interface AdmissionRequest {
  readonly id: RequestId;
  readonly organisation: OrganisationId;
  readonly class: CallerClass;
  /** Weight of the organisation's share of capacity, relative to other organisations; above 0. */
  readonly share: number;
  readonly model: ModelId;
  /** An answer after this has no worth. */
  readonly deadline: MonoTime;
  /** Estimated time in a slot, milliseconds; above 0. */
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
  /** Dropped for a request of greater worth, or of an organisation below its share. */
  | 'displaced';

/** Error code that a refused caller gets. */
export type RefusalCode = 'too-many-requests' | 'overloaded' | 'deadline-exceeded';

/** The request got a slot. */
export interface Admitted {
  readonly kind: 'admitted';
}

/** The request waits for a slot. */
export interface Queued {
  readonly kind: 'queued';
}

/** Refused, with the error code for the caller and the reason for logs and metrics. */
export interface Refused {
  readonly kind: 'refused';
  readonly code: RefusalCode;
  readonly reason: RefusalReason;
  /** Earliest instant at which a retry may succeed; jittered. */
  readonly retryAt: MonoTime;
}

export type Verdict = Admitted | Queued | Refused;

/** A queued request that was refused in this step. */
export interface RefusedRequest {
  readonly id: RequestId;
  readonly verdict: Refused;
}

/** Queued requests that were admitted or refused in a step. */
export interface QueueUpdate {
  readonly state: AdmissionState;
  /** Previously queued requests that were admitted, in this order. */
  readonly admitted: readonly RequestId[];
  /** Previously queued requests that were refused. */
  readonly refused: readonly RefusedRequest[];
}

/** The verdict on a new request, and its effect on queued ones. */
export interface Admission extends QueueUpdate {
  readonly verdict: Verdict;
}

/** A request that has a slot or waits for one. */
export interface Entry {
  readonly req: AdmissionRequest;
  readonly pool: Pool;
  readonly account: Account;
  /** Arrival order. */
  readonly seq: number;
  /** Index of its bucket in the organisation's queue; lower ones are served first. */
  readonly bucket: number;
  /** Latest start: the last instant at which it may get a slot. */
  readonly startBy: MonoTime;
  /** When it got its slot; `undefined` while queued. */
  startedAt: MonoTime | undefined;
}

/** Queue and usage of one organisation for one model. */
export interface Account {
  readonly organisation: OrganisationId;
  readonly queue: OrganisationQueue;
  share: number;
  /** Start tag of its next request, in milliseconds of work per unit of share. */
  start: number;
  running: number;
  /** Arrival rate over all buckets. */
  readonly arrivals: Rate;
}

/** Queued requests of one organisation, by bucket and deadline. */
export interface OrganisationQueue {
  /** Sparse: a bucket is created when first used. */
  readonly buckets: (Bucket | undefined)[];
  size: number;
}

/** Queued requests of similar worth density. */
export interface Bucket {
  readonly entries: Heap<Entry>;
  /** Estimated work of its entries, milliseconds. */
  workMs: number;
  /** Arrival rate of its requests, queued or admitted at once. */
  readonly arrivals: Rate;
}

/** Arrival rate in work per millisecond, as an exponentially decaying sum. */
export interface Rate {
  value: number;
  /** When `value` was last updated. */
  at: MonoTime;
}

/** A binary heap from which any item can be removed. */
export interface Heap<T> {
  readonly items: T[];
  /** Index of each item in `items`. */
  readonly places: Map<T, number>;
  readonly before: (a: T, b: T) => boolean;
}

/** Slots of one model on this daemon, and the requests that have or wait for them. */
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
  /** Moving averages of the measured and the estimated service time, milliseconds. */
  meanServiceMs: number;
  meanEstimateMs: number;
  /** Arrival rate over all organisations. */
  readonly arrivals: Rate;
  /** When capacity is expected again; set only while there is none. */
  expectedAt: MonoTime | undefined;
  readonly accounts: Map<OrganisationId, Account>;
  /** Accounts with queued requests, by start tag. */
  readonly byStartTag: Heap<Account>;
  /** The same, by queue length for their share, longest first. */
  readonly byQueueLength: Heap<Account>;
  /** All queued entries, by latest start. */
  readonly byStartBy: Heap<Entry>;
}

/** State of admission, updated in place by one event loop; see `docs/ADMISSION.md`. */
export interface AdmissionState {
  readonly opts: AdmissionOptions;
  readonly pools: Map<ModelId, Pool>;
  readonly entries: Map<RequestId, Entry>;
  /** Requests in flight, by class of an organisation and by organisation. */
  readonly inFlight: Map<string, number>;
  seq: number;
}

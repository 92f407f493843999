/** Options, state and events of routing. */

import type { RoutableGroup } from '../groups/types';
import type { AttemptId, GroupId, ModelId, MonoTime, OrganisationId } from '../ids';

/** Names of the routing policies; see `policies.ts`. */
export type RoutingPolicyName =
  | 'round-robin'
  | 'random'
  | 'least-in-flight'
  | 'least-estimated'
  | 'two-choices'
  | 'bounded-affinity'
  | 'affinity';

/** Tuning of routing; see {@link ROUTING_DEFAULTS}. */
export interface RoutingOptions {
  readonly policy: RoutingPolicyName;
  /** Assumed age of an engine's load report on arrival, milliseconds. */
  readonly reportLagMs: number;
  /** Half-life of a report's weight against the average of its model, milliseconds. */
  readonly reportHalfLifeMs: number;
  /** `bounded-affinity` skips a group whose load exceeds this multiple of the average. */
  readonly loadBound: number;
  /** Load, as a fraction of a batch, that a certain cache hit outweighs. */
  readonly cacheBonus: number;
  /** Least hit probability assumed for the home groups of a prefix, without any cache event. */
  readonly homePrior: number;
  /** Extra cost of load beyond a full batch, relative to load within it. */
  readonly overflowCost: number;
  /** Maximum prefixes kept; the least recently used are evicted first. */
  readonly maxPrefixes: number;
  /** Half-life of the probability that a prefix is still cached, milliseconds. */
  readonly cacheHalfLifeMs: number;
  /** A straggler's time to first token exceeds the median by this factor ... */
  readonly firstTokenFactor: number;
  /** ... and by this difference, milliseconds. */
  readonly firstTokenGapMs: number;
  /** The same for the time between tokens, which load and cache hits affect far less. */
  readonly interTokenFactor: number;
  readonly interTokenGapMs: number;
  /** Samples of the time to first token needed before a group can be ejected by it. */
  readonly firstTokenSamples: number;
  /** Samples of the time between tokens; fewer suffice, as each is an average over an answer. */
  readonly interTokenSamples: number;
  /** Maximum share of a model's groups that is ejected at a time. */
  readonly maxEjectedShare: number;
  /** Duration of the first ejection, milliseconds; doubles with each further one. */
  readonly ejectionMs: number;
  readonly maxEjectionMs: number;
  /** Time over which a readmitted group's traffic rises to its full share, milliseconds. */
  readonly rampMs: number;
  /** Interval at which a model's groups are evaluated for ejection, milliseconds. */
  readonly judgeEveryMs: number;
}

export const ROUTING_DEFAULTS: RoutingOptions = {
  policy: 'affinity',
  reportLagMs: 500,
  reportHalfLifeMs: 500,
  loadBound: 1.25,
  cacheBonus: 0.25,
  homePrior: 0.6,
  overflowCost: 2,
  maxPrefixes: 20_000,
  cacheHalfLifeMs: 60_000,
  firstTokenFactor: 6,
  firstTokenGapMs: 1_000,
  interTokenFactor: 2,
  interTokenGapMs: 5,
  firstTokenSamples: 8,
  interTokenSamples: 3,
  maxEjectedShare: 0.34,
  ejectionMs: 10_000,
  maxEjectionMs: 120_000,
  rampMs: 10_000,
  judgeEveryMs: 250,
};

/** This daemon's requests in flight on a group from `at` on. */
export interface LoadPoint {
  readonly at: MonoTime;
  readonly inFlight: number;
}

/** A moving average and its number of samples. */
export interface Average {
  value: number;
  samples: number;
}

/** Load of a group: from this daemon, and from others by the group's load reports. */
export interface GroupLoad {
  inFlight: number;
  /** Newest last; bounded in length. */
  readonly history: LoadPoint[];
  /** Requests from other daemons, by the last report. */
  peerLoad: number;
  reportedAt: MonoTime | undefined;
}

/** Routing state of one group. */
export interface GroupState {
  readonly id: GroupId;
  readonly model: ModelId;
  /** Hash of the id, for rendezvous hashing. */
  readonly hash: number;
  maxBatch: number;
  readonly load: GroupLoad;
  /**
   * Send times of streaming attempts that found a free slot and have no first token; oldest first.
   */
  readonly waiting: Map<AttemptId, MonoTime>;
  readonly firstTokenMs: Average;
  readonly interTokenMs: Average;
  /** Time between tokens relative to the median of the model; 1 unless it is clearly slower. */
  slowness: number;
  ejections: number;
  ejectedUntil: MonoTime | undefined;
  /** Sequence number of the last cache event applied. */
  cacheSeq: number;
  /** Gaps seen in the sequence numbers. */
  cacheGaps: number;
  lastSeen: MonoTime;
}

/** Routing state of one model. */
export interface ModelState {
  /** Position of the `round-robin` policy. */
  roundRobinIndex: number;
  nextEvaluationAt: MonoTime;
  /** Average load per group from other daemons. */
  meanPeerLoad: number;
}

/** An attempt in flight. */
export interface AttemptState {
  readonly group: GroupId;
  readonly sentAt: MonoTime;
  /** Whether a slot in the batch was estimated to be free, so that no queueing is measured. */
  readonly hadFreeSlot: boolean;
  readonly streams: boolean;
  firstTokenAt: MonoTime | undefined;
}

/** Probability that a group has a prefix cached, as of `at`. */
export interface CacheEstimate {
  readonly probability: number;
  readonly at: MonoTime;
  /** The group's `cacheGaps` at that time. */
  readonly gaps: number;
}

/**
 * State of routing, owned by one event loop: functions update it in place and return it (see
 * `docs/ROUTING.md` for the measurement behind that).
 */
export interface RoutingState {
  readonly opts: RoutingOptions;
  readonly groups: Map<GroupId, GroupState>;
  readonly models: Map<ModelId, ModelState>;
  readonly attempts: Map<AttemptId, AttemptState>;
  /** Cache estimates by affinity key, least recently used first. */
  readonly prefixes: Map<string, Map<GroupId, CacheEstimate>>;
  /** Calls of `chooseGroup` that had a candidate; triggers the sweep of removed groups. */
  choices: number;
}

/** A request that needs a group. */
export interface RouteRequest {
  /** Groups of one model. */
  readonly groups: readonly RoutableGroup[];
  /** Groups already tried. */
  readonly exclude: ReadonlySet<GroupId>;
  /** Keys of the prompt's prefixes, shortest first; may be empty. */
  readonly prefixKeys: readonly string[];
  readonly organisation: OrganisationId;
}

/** Result of a choice; `group` is `undefined` if there is no candidate. */
export interface Route {
  readonly state: RoutingState;
  readonly group: RoutableGroup | undefined;
}

/** An attempt was sent to a group. */
export interface SentEvent {
  readonly attempt: AttemptId;
  readonly group: GroupId;
  /** Whether the answer is streamed; only then does its first byte show the time to first token. */
  readonly streams?: boolean;
  /** The keys given to `chooseGroup`; treated as probably cached from now on. */
  readonly prefixKeys?: readonly string[];
  readonly organisation?: OrganisationId;
}

/** An attempt received its first token. */
export interface FirstTokenEvent {
  readonly attempt: AttemptId;
}

/** An attempt ended. */
export interface EndEvent {
  readonly attempt: AttemptId;
  /** Chunks or tokens received; omitted or 0 for an answer that was not streamed. */
  readonly tokens?: number;
}

/** Load reported by an engine, `reportLagMs` old on arrival. */
export interface LoadReport {
  readonly group: GroupId;
  readonly inFlight: number;
  readonly queued: number;
}

/** One cache event of an engine. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: 'stored' | 'evicted';
  /** An affinity key; see `affinityKey`. */
  readonly prefix: string;
}

/** A batch of cache events of one group. */
export interface CacheEvents {
  readonly group: GroupId;
  readonly events: readonly CacheEvent[];
}
